//! Control daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};
use control::ControlArguments;
use telemetry::LogSettings;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code of faulty settings.
const USAGE: u8 = 2;

/// Width of the help text in characters.
const HELP_WIDTH: usize = 100;

/// Runs a control node of the fleet
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Name of this node, as in its certificate
    #[bpaf(long, env("BILBERRY_NAME"), argument("NAME"))]
    name: Option<String>,
    /// UDP address for links
    #[bpaf(long, env("BILBERRY_LISTEN"), argument("ADDRESS"))]
    listen: Option<String>,
    /// Data folder
    #[bpaf(long, env("BILBERRY_DATA"), argument("FOLDER"))]
    data: Option<PathBuf>,
    /// Key folder
    #[bpaf(long, env("BILBERRY_KEYS"), argument("FOLDER"))]
    keys: Option<PathBuf>,
    /// Another control node; BILBERRY_PEERS holds several, separated by commas
    #[bpaf(long, argument("NAME=ADDRESS"))]
    peer: Vec<String>,
    /// TCP address for /healthz and /readyz
    #[bpaf(long, env("BILBERRY_HTTP"), argument("ADDRESS"))]
    http: Option<String>,
    /// Region of this host
    #[bpaf(long, env("BILBERRY_REGION"), argument("NAME"))]
    region: Option<String>,
    /// Data centre of this host
    #[bpaf(long, env("BILBERRY_DATA_CENTRE"), argument("NAME"))]
    data_centre: Option<String>,
}

impl Options {
    fn into_arguments(self) -> ControlArguments {
        let listed = std::env::var("BILBERRY_PEERS").ok();
        let peers = match self.peer.is_empty() {
            true => listed.into_iter().collect(),
            false => self.peer,
        };
        ControlArguments {
            name: self.name,
            listen: self.listen,
            data: self.data,
            keys: self.keys,
            peers,
            http: self.http,
            region: self.region,
            data_centre: self.data_centre,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => USAGE.into(),
                _ => ExitCode::SUCCESS,
            };
        }
    };
    let settings = match options.into_arguments().check() {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return USAGE.into();
        }
    };
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: control::ControlSettings) -> eyre::Result<()> {
    telemetry::start_logs(&LogSettings::default())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut handle = control::start(settings).await?;
    tokio::select! {
        result = handle.failed() => return result,
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    handle.stop().await;
    Ok(())
}
