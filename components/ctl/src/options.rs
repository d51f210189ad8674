//! Command line of `bilberryctl`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Sends orders to the fleet and shows its state.
/// Exit codes: 0 done, 1 failed, 2 invalid command line, 3 conflict, 4 invalid services text
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct CtlOptions {
    /// Connection to the control nodes.
    #[bpaf(external)]
    pub connection_options: ConnectionOptions,
    /// Print JSON instead of tables
    #[bpaf(long)]
    pub json: bool,
    /// Command to run.
    #[bpaf(external)]
    pub command: Command,
}

/// Connection to the control nodes
#[derive(Debug, Clone, Bpaf)]
pub struct ConnectionOptions {
    /// Addresses of the control nodes, separated by commas
    #[bpaf(
        long,
        env("BILBERRY_CONTROLS"),
        argument("ADDRESSES"),
        fallback(String::new())
    )]
    pub controls: String,
    /// Folder of certificates and keys
    #[bpaf(
        long,
        env("BILBERRY_KEYS"),
        argument("FOLDER"),
        fallback(PathBuf::from("keys"))
    )]
    pub keys: PathBuf,
    /// Name for which the operator's certificate was issued
    #[bpaf(
        long,
        env("BILBERRY_OPERATOR"),
        argument("NAME"),
        fallback("operator".to_string())
    )]
    pub operator: String,
}

/// Commands
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Create certificates and keys
    #[bpaf(command)]
    Keys(#[bpaf(external(key_command))] KeyCommand),
    /// Check a services text without applying it
    #[bpaf(command)]
    Check {
        /// Services text
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Apply a services text
    #[bpaf(command)]
    Apply(#[bpaf(external(apply_options))] ApplyOptions),
    /// Take a data centre out, or bring it back in
    #[bpaf(command)]
    Dc(#[bpaf(external(order_options))] OrderOptions),
    /// Take a target out, or bring it back in
    #[bpaf(command)]
    Target(#[bpaf(external(order_options))] OrderOptions),
    /// Show the state of the fleet
    #[bpaf(command)]
    Status,
    /// Show or end the quarantine of requests that crash targets
    #[bpaf(command)]
    Quarantine(#[bpaf(external(quarantine_command))] QuarantineCommand),
    /// Move the traffic of a service to another software version
    #[bpaf(command)]
    Rollout(#[bpaf(external(rollout_command))] RolloutCommand),
    /// Show the control nodes
    #[bpaf(command)]
    Control(#[bpaf(external(member_command))] MemberCommand),
}

/// Commands for certificates and keys
#[derive(Debug, Clone, Bpaf)]
pub enum KeyCommand {
    /// Create the certificate authority, unless the key folder has one
    #[bpaf(command)]
    Init,
    /// Issue the certificate and key of a process
    #[bpaf(command)]
    Issue {
        /// Role: entry, agent, control or operator
        #[bpaf(positional("ROLE"))]
        role: String,
        /// Node name of the process
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Issue one certificate and key for all processes of a role
    #[bpaf(command)]
    IssueRole {
        /// Role: entry, agent, control or operator
        #[bpaf(positional("ROLE"))]
        role: String,
    },
}

/// Commands for the quarantine
#[derive(Debug, Clone, Bpaf)]
pub enum QuarantineCommand {
    /// List the traits whose requests are refused
    #[bpaf(command)]
    List,
    /// Forward requests with a trait again
    #[bpaf(command)]
    Lift {
        /// Service and trait, as the list shows them
        #[bpaf(positional("SERVICE/TRAIT"))]
        subject: String,
    },
}

/// Commands for roll-outs
#[derive(Debug, Clone, Bpaf)]
pub enum RolloutCommand {
    /// Start a roll-out, which ends in completed or rolled-back
    #[bpaf(command)]
    Start {
        /// Time limit in seconds
        #[bpaf(long, argument("SECONDS"))]
        duration: f64,
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Software version of the targets that get the traffic
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Show the newest roll-out of a service
    #[bpaf(command)]
    Status {
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// List the newest roll-out of each service
    #[bpaf(command)]
    List,
    /// Roll the roll-out of a service back
    #[bpaf(command)]
    Cancel {
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

/// Commands for the control nodes
#[derive(Debug, Clone, Bpaf)]
pub enum MemberCommand {
    /// List the members of the control group
    #[bpaf(command)]
    Members,
}

/// Options of `apply`
#[derive(Debug, Clone, Bpaf)]
pub struct ApplyOptions {
    /// Configuration version that must be in force; by default the current one
    #[bpaf(long, argument("VERSION"))]
    pub expect: Option<u64>,
    /// Id of the order, to repeat one whose reply was lost
    #[bpaf(long, argument("ID"))]
    pub order: Option<String>,
    /// Services text
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Whether a data centre or target is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionState {
    /// Taken out: it receives no new requests.
    Out,
    /// Brought back in: it receives new requests.
    In,
}

impl std::str::FromStr for ExclusionState {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "out" => Ok(Self::Out),
            "in" => Ok(Self::In),
            _ => Err(format!("Failed to read state {text:?}: expected out or in")),
        }
    }
}

/// Options of `dc` and `target`
#[derive(Debug, Clone, Bpaf)]
pub struct OrderOptions {
    /// Configuration version that must be in force; by default the current one
    #[bpaf(long, argument("VERSION"))]
    pub expect: Option<u64>,
    /// Id of the order, to repeat one whose reply was lost
    #[bpaf(long, argument("ID"))]
    pub order: Option<String>,
    /// State: out or in
    #[bpaf(positional("out|in"))]
    pub state: ExclusionState,
    /// Name of the data centre or target
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// Parser of the command line of `bilberryctl`.
pub fn options() -> bpaf::OptionParser<CtlOptions> {
    ctl_options()
}
