//! Handshake message, the first frame of each stream.

use units::{Incarnation, NodeName};

/// Protocol version, which must be equal at both ends of a stream.
pub const PROTOCOL_VERSION: u16 = 11;

units::data! {
    /// Role of a process, stated in its certificate.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub enum NodeRole {
        /// Terminates callers' HTTP.
        Entry,
        /// Runs beside a target and is the only path to it.
        Agent,
        /// Member of the group that holds the replicated state.
        Control,
        /// Command line tool of the operator.
        Operator,
    }

    /// Purpose of a stream.
    #[derive(Copy)]
    pub enum StreamKind {
        /// Offers and claims between an entry and an agent; open as long as the connection.
        Session,
        /// One run of a request.
        Run,
        /// One request to a control node and its reply.
        Control,
        /// Raft messages between control nodes; open as long as the connection.
        Raft,
    }

    /// Handshake message, the first frame of each stream.
    pub struct Hello {
        /// Protocol version of the sender.
        pub version: u16,
        /// Role of the sender's process.
        pub role: NodeRole,
        /// Node name of the sender.
        pub name: NodeName,
        /// Incarnation of the sender's process.
        pub incarnation: Incarnation,
        /// Purpose of the stream.
        pub kind: StreamKind,
    }
}

impl NodeRole {
    /// All roles.
    pub const ALL: [Self; 4] = [Self::Entry, Self::Agent, Self::Control, Self::Operator];

    /// Role as written in certificates and file names.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Control => "control",
            Self::Operator => "operator",
        }
    }
}

impl std::fmt::Display for NodeRole {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for NodeRole {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|role| role.as_str() == text)
            .ok_or_else(|| format!("Failed to parse node role {text:?}"))
    }
}
