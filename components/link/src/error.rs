//! Faults of links.

use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;
use wire::{CodecError, NodeRole};

/// Fault of a link.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The local address cannot be used.
    #[error("Failed to bind {address}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The endpoint cannot connect now.
    #[error("Failed to connect to {address}: {reason}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The connection is lost.
    #[error("Failed to use the connection to {address}: {reason}")]
    Lost {
        /// The address.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// A frame cannot be read or written.
    #[error("Failed to transfer a frame: {0}")]
    Stream(String),
    /// A frame is faulty.
    #[error("Failed to read a frame")]
    Codec(#[from] CodecError),
    /// The peer's certificate names another role or name.
    #[error("Failed to accept peer {address}: its certificate does not name {expected}")]
    WrongPeer {
        /// The address.
        address: SocketAddr,
        /// The role or name that was expected.
        expected: String,
    },
    /// The peer speaks another version of the protocol.
    #[error("Failed to speak with a peer of protocol version {version}")]
    WrongVersion {
        /// Version of the peer.
        version: u16,
    },
    /// The peer's role may not open this kind of stream.
    #[error("Failed to serve a stream: role {0} may not open it")]
    Forbidden(NodeRole),
    /// A key file cannot be read.
    #[error("Failed to read key file {path}")]
    KeyFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A key or certificate is faulty.
    #[error("Failed to use certificate or key: {0}")]
    Certificate(String),
}
