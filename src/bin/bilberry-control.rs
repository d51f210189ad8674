//! Control daemon, which holds the replicated state and the node directory.

use std::path::PathBuf;

use bilberrycrank::options::{
    OptionReader, TelemetryOptions, TelemetrySettings, optional_flag, parse_or_exit,
    print_listen_address, telemetry_options, wait_for_stop,
};
use bpaf::{OptionParser, Parser, construct, long};
use control::{ControlArguments, ControlSettings};

struct ControlOptions {
    name: Option<String>,
    listen: Option<String>,
    data: Option<String>,
    keys: Option<String>,
    peers: Vec<String>,
    http: Option<String>,
    region: Option<String>,
    data_centre: Option<String>,
    telemetry: TelemetryOptions,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = parse_or_exit(&options());
    let mut reader = OptionReader::default();
    let settings = options.read(&mut reader);
    let (settings, telemetry) = reader.finish_or_exit(settings);
    telemetry.start()?;
    let mut node = control::start(settings).await?;
    print_listen_address("control", node.address());
    tokio::select! {
        result = node.failed() => return result,
        result = wait_for_stop() => result?,
    }
    node.stop().await;
    telemetry::stop_traces();
    Ok(())
}

fn options() -> OptionParser<ControlOptions> {
    let name = optional_flag(
        "name",
        "BILBERRY_NAME",
        "NAME",
        "Name of this node, as in its certificate",
    );
    let listen = optional_flag(
        "listen",
        "BILBERRY_LISTEN",
        "IP:PORT",
        "Local address for links from nodes and operators (UDP)",
    );
    let data = optional_flag(
        "data",
        "BILBERRY_DATA",
        "FOLDER",
        "Folder for the replicated state",
    );
    let keys = optional_flag(
        "keys",
        "BILBERRY_KEYS",
        "FOLDER",
        "Folder with the key files",
    );
    let peers = long("peer")
        .help(
            "Control node; repeat for each one, or list all in BILBERRY_PEERS, separated by commas",
        )
        .argument::<String>("NAME=IP:PORT")
        .many();
    let http = optional_flag(
        "http",
        "BILBERRY_HTTP",
        "IP:PORT",
        "Address for /healthz and /readyz (TCP); if it is not given, they are not served",
    );
    let region = optional_flag("region", "BILBERRY_REGION", "NAME", "Region of this host");
    let data_centre = optional_flag(
        "data-centre",
        "BILBERRY_DATA_CENTRE",
        "NAME",
        "Data centre of this host",
    );
    let telemetry = telemetry_options();
    construct!(ControlOptions {
        name,
        listen,
        data,
        keys,
        peers,
        http,
        region,
        data_centre,
        telemetry,
    })
    .to_options()
    .descr("Control node. On SIGTERM, it transfers leadership to another node and exits.")
}

impl ControlOptions {
    fn read(self, reader: &mut OptionReader) -> Option<(ControlSettings, TelemetrySettings)> {
        let telemetry = self.telemetry.read(reader, "bilberry.control");
        let peers = match self.peers.is_empty() {
            true => std::env::var("BILBERRY_PEERS").into_iter().collect(),
            false => self.peers,
        };
        let arguments = ControlArguments {
            name: self.name,
            listen: self.listen,
            data: self.data.map(PathBuf::from),
            keys: self.keys.map(PathBuf::from),
            peers,
            http: self.http,
            region: self.region,
            data_centre: self.data_centre,
        };
        match arguments.check() {
            Ok(settings) => Some((settings, telemetry?)),
            Err(faults) => {
                faults.into_iter().for_each(|fault| reader.add_fault(fault));
                None
            }
        }
    }
}
