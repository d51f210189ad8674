//! Execution of commands, and their exit codes.

use std::path::Path;

use eyre::{Result, WrapErr};
use manifest::FleetManifest;

use crate::apply::apply;
use crate::connection::ControlConnection;
use crate::keys::run_key_command;
use crate::members::list_members;
use crate::options::{Command, CtlOptions, MemberCommand, QuarantineCommand};
use crate::orders::{OrderSubject, set_exclusion};
use crate::quarantine::{lift_quarantine, list_quarantine};
use crate::rollout::run_rollout_command;
use crate::status::show_status;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed, or its outcome is unknown.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The configuration has changed since the version that the order expects.
    Conflict = 3,
    /// The services text is invalid.
    Invalid = 4,
}

/// Output and exit code of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandReport {
    /// Text to print to standard output.
    pub output: String,
    /// Text to print to standard error.
    pub errors: String,
    /// Exit code of the process.
    pub status: ExitStatus,
}

impl CommandReport {
    pub(crate) fn done(output: String) -> Self {
        Self {
            output,
            errors: String::new(),
            status: ExitStatus::Done,
        }
    }

    /// Report of an invalid command line.
    pub(crate) fn usage(message: String) -> Self {
        Self::error(message, ExitStatus::Usage)
    }

    pub(crate) fn error(message: String, status: ExitStatus) -> Self {
        Self {
            output: String::new(),
            errors: message + "\n",
            status,
        }
    }
}

/// Runs a command. The caller prints the report; only the id of an order, its changes and warnings
/// are printed to standard error before the order is sent.
pub async fn run(options: CtlOptions) -> CommandReport {
    match dispatch(options).await {
        Ok(report) => report,
        Err(error) => CommandReport::error(format!("{error:#}"), ExitStatus::Failed),
    }
}

async fn dispatch(options: CtlOptions) -> Result<CommandReport> {
    let connect = || ControlConnection::open(&options.connection_options);
    match &options.command {
        Command::Keys(command) => run_key_command(&options.connection_options.keys, command),
        Command::Check { file } => check(file),
        Command::Apply(command) => apply(&connect()?, command, options.json).await,
        Command::Dc(command) => {
            let subject = OrderSubject::DataCentre;
            set_exclusion(&connect()?, subject, command, options.json).await
        }
        Command::Target(command) => {
            let subject = OrderSubject::Target;
            set_exclusion(&connect()?, subject, command, options.json).await
        }
        Command::Status => show_status(&connect()?, options.json).await,
        Command::Quarantine(QuarantineCommand::List) => {
            list_quarantine(&connect()?, options.json).await
        }
        Command::Quarantine(QuarantineCommand::Lift { subject }) => {
            lift_quarantine(&connect()?, subject).await
        }
        Command::Rollout(command) => run_rollout_command(&connect()?, command, options.json).await,
        Command::Control(MemberCommand::Members) => list_members(&connect()?, options.json).await,
    }
}

pub(crate) fn read_text(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("Failed to read {}", file.display()))
}

/// Parses a services text; the error is a report of all its faults.
pub(crate) fn parse_manifest(file: &Path, text: &str) -> Result<FleetManifest, CommandReport> {
    FleetManifest::parse(text).map_err(|faults| {
        let lines = faults
            .iter()
            .map(|fault| format!("{}: {fault}", file.display()));
        let lines: Vec<String> = lines.collect();
        CommandReport::error(lines.join("\n"), ExitStatus::Invalid)
    })
}

fn check(file: &Path) -> Result<CommandReport> {
    let text = read_text(file)?;
    let manifest = match parse_manifest(file, &text) {
        Ok(manifest) => manifest,
        Err(report) => return Ok(report),
    };
    Ok(CommandReport::done(format!(
        "{} regions, {} data centres, {} services, {} organisations\n",
        manifest.regions.len(),
        manifest.data_centres.len(),
        manifest.services.len(),
        manifest.organisations.len()
    )))
}
