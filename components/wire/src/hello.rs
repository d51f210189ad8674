//! First frame of each stream.

use units::{Incarnation, NodeName};

/// Version of the protocol; both ends must have the same.
pub const PROTOCOL_VERSION: u16 = 2;

units::data! {
    /// Role of a process, named in its certificate.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub enum NodeRole {
        /// Ends callers' HTTP.
        Entry,
        /// Stands beside a target.
        Agent,
        /// Holds the replicated state.
        Control,
        /// The operator's tool.
        Operator,
    }

    /// What a stream carries.
    #[derive(Copy)]
    pub enum StreamKind {
        /// Offers and claims between an entry and an agent; lasts as long as the connection.
        Session,
        /// One run of a request.
        Run,
        /// One request to control and its reply.
        Control,
        /// Raft messages between control nodes; lasts as long as the connection.
        Raft,
    }

    /// First frame of each stream.
    pub struct Hello {
        /// Version of the sender's protocol.
        pub version: u16,
        /// Role of the sender.
        pub role: NodeRole,
        /// Name of the sender.
        pub name: NodeName,
        /// Start of the sender's process.
        pub incarnation: Incarnation,
        /// What the stream carries.
        pub kind: StreamKind,
    }
}

impl NodeRole {
    /// All roles.
    pub const ALL: [Self; 4] = [Self::Entry, Self::Agent, Self::Control, Self::Operator];

    /// The role as it stands in certificates and file names.
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
            .ok_or_else(|| format!("Failed to read role {text:?}"))
    }
}
