//! Command line of `bilberryctl`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Sends orders to the fleet and shows its state.
/// Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 invalid text
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct CtlOptions {
    /// Where and as whom to connect.
    #[bpaf(external)]
    pub connection_options: ConnectionOptions,
    /// Print JSON instead of tables
    #[bpaf(long)]
    pub json: bool,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// Where and as whom to connect.
#[derive(Debug, Clone, Bpaf)]
pub struct ConnectionOptions {
    /// Addresses of control nodes, separated by commas
    #[bpaf(
        long,
        env("BILBERRY_CONTROLS"),
        argument("ADDRESSES"),
        fallback(String::new())
    )]
    pub controls: String,
    /// Key folder
    #[bpaf(
        long,
        env("BILBERRY_KEYS"),
        argument("FOLDER"),
        fallback(PathBuf::from("keys"))
    )]
    pub keys: PathBuf,
    /// Name of the operator, as in the certificate
    #[bpaf(
        long,
        env("BILBERRY_OPERATOR"),
        argument("NAME"),
        fallback("operator".to_string())
    )]
    pub operator: String,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Make certificates and keys
    #[bpaf(command)]
    Keys(#[bpaf(external(key_command))] KeyCommand),
    /// Check a services text without sending it
    #[bpaf(command)]
    Check {
        /// The text
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a services text in force
    #[bpaf(command)]
    Apply(#[bpaf(external(apply_options))] ApplyOptions),
    /// Take a data centre out, or bring it in
    #[bpaf(command)]
    Dc(#[bpaf(external(order_options))] OrderOptions),
    /// Take a target out, or bring it in
    #[bpaf(command)]
    Target(#[bpaf(external(order_options))] OrderOptions),
    /// Show the state of the fleet
    #[bpaf(command)]
    Status,
    /// Show the control nodes
    #[bpaf(command)]
    Control(#[bpaf(external(member_command))] MemberCommand),
}

/// What to do with keys.
#[derive(Debug, Clone, Bpaf)]
pub enum KeyCommand {
    /// Create the authority in the key folder
    #[bpaf(command)]
    Init,
    /// Issue the certificate and key of a process
    #[bpaf(command)]
    Issue {
        /// entry, agent, control or operator
        #[bpaf(positional("ROLE"))]
        role: String,
        /// Name of the process
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Issue one certificate and key for all processes of a role
    #[bpaf(command)]
    IssueRole {
        /// entry, agent, control or operator
        #[bpaf(positional("ROLE"))]
        role: String,
    },
}

/// What to show of the control nodes.
#[derive(Debug, Clone, Bpaf)]
pub enum MemberCommand {
    /// List the members of the group
    #[bpaf(command)]
    Members,
}

/// Options of `apply`.
#[derive(Debug, Clone, Bpaf)]
pub struct ApplyOptions {
    /// Version that the text was written for; without it the version in force
    #[bpaf(long, argument("VERSION"))]
    pub expect: Option<u64>,
    /// Id of an order whose answer was lost
    #[bpaf(long, argument("ID"))]
    pub order: Option<String>,
    /// The text
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Whether something is taken out or brought in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionState {
    /// It gets no new work.
    Out,
    /// It gets new work.
    In,
}

impl std::str::FromStr for ExclusionState {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "out" => Ok(Self::Out),
            "in" => Ok(Self::In),
            _ => Err(format!("Failed to read {text:?}: want out or in")),
        }
    }
}

/// Options of `dc` and `target`.
#[derive(Debug, Clone, Bpaf)]
pub struct OrderOptions {
    /// Version that the order was made for; without it the version in force
    #[bpaf(long, argument("VERSION"))]
    pub expect: Option<u64>,
    /// Id of an order whose answer was lost
    #[bpaf(long, argument("ID"))]
    pub order: Option<String>,
    /// out or in
    #[bpaf(positional("out|in"))]
    pub state: ExclusionState,
    /// The data centre or target
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// Parser of the command line.
pub fn options() -> bpaf::OptionParser<CtlOptions> {
    ctl_options()
}
