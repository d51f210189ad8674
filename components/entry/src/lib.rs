//! Entry daemon: ends callers' HTTP and decides which target gets a request.

mod settings;

use std::net::SocketAddr;

pub use settings::{EntryLimits, EntrySettings};

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    http: SocketAddr,
    address: SocketAddr,
}

impl EntryHandle {
    /// Address for callers' HTTP.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Address for links of other entries.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Announces that the entry leaves, finishes its requests and stops.
    pub async fn leave(self) {}
}

/// Starts an entry.
pub async fn start(settings: EntrySettings) -> eyre::Result<EntryHandle> {
    Ok(EntryHandle {
        http: settings.http,
        address: settings.listen,
    })
}
