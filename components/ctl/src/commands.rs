//! Dispatch of commands and their exit codes.

use std::path::Path;

use eyre::{Result, WrapErr};
use manifest::FleetManifest;

use crate::apply::apply;
use crate::connection::ControlConnection;
use crate::keys::keys;
use crate::members::members;
use crate::options::{Command, CtlOptions, MemberCommand};
use crate::orders::{OrderSubject, exclude};
use crate::status::status;

/// How a command ended, as an exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// It was done.
    Done = 0,
    /// It failed, or its outcome is not known.
    Failed = 1,
    /// The command line is faulty.
    Usage = 2,
    /// Another order came first.
    Conflict = 3,
    /// The services text is faulty.
    Invalid = 4,
}

/// What a command prints and how it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandReport {
    /// Text for standard output.
    pub output: String,
    /// Text for standard error.
    pub errors: String,
    /// How it ended.
    pub status: ExitStatus,
}

impl CommandReport {
    /// A command that was done.
    pub(crate) fn done(output: String) -> Self {
        Self {
            output,
            errors: String::new(),
            status: ExitStatus::Done,
        }
    }

    /// A faulty command line.
    pub(crate) fn usage(fault: String) -> Self {
        Self::error(fault, ExitStatus::Usage)
    }

    /// A command that ended otherwise.
    pub(crate) fn error(fault: String, status: ExitStatus) -> Self {
        Self {
            output: String::new(),
            errors: fault + "\n",
            status,
        }
    }
}

/// Runs a command.
pub async fn run(options: CtlOptions) -> CommandReport {
    match dispatch(options).await {
        Ok(report) => report,
        Err(error) => CommandReport::error(format!("{error:#}"), ExitStatus::Failed),
    }
}

async fn dispatch(options: CtlOptions) -> Result<CommandReport> {
    let connection = || ControlConnection::open(&options.connection_options);
    match &options.command {
        Command::Keys(command) => keys(&options.connection_options.keys, command),
        Command::Check { file } => check(file),
        Command::Apply(command) => apply(&connection()?, command, options.json).await,
        Command::Dc(command) => {
            let subject = OrderSubject::DataCentre;
            exclude(&connection()?, subject, command, options.json).await
        }
        Command::Target(command) => {
            let subject = OrderSubject::Target;
            exclude(&connection()?, subject, command, options.json).await
        }
        Command::Status => status(&connection()?, options.json).await,
        Command::Control(MemberCommand::Members) => members(&connection()?, options.json).await,
    }
}

/// Reads a file as text.
pub(crate) fn read_text(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("Failed to read {}", file.display()))
}

/// Parses a text, or reports all its faults.
pub(crate) fn parse(file: &Path, text: &str) -> Result<FleetManifest, CommandReport> {
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
    let manifest = match parse(file, &text) {
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
