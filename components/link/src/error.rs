//! Errors of links.

use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;
use wire::{CodecError, NodeRole, PROTOCOL_VERSION};

/// Error of a link.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The UDP socket cannot be bound to the local address.
    #[error("Failed to bind UDP address {address}")]
    Bind {
        /// Local address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The handshake with the peer failed or timed out.
    #[error("Failed to complete the handshake with {address}: {reason}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// The connection was closed by the peer or timed out.
    #[error("Failed to use the connection to {address}: {reason}")]
    Lost {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// The stream failed, or the frames on it are incomplete. Agents send this text to entries.
    #[error("Failed to transfer a frame: {0}")]
    Stream(String),
    /// A frame could not be encoded or decoded. Agents send this text to entries.
    #[error("Failed to read a frame")]
    Codec(#[from] CodecError),
    /// The peer's certificate was issued for another role or node name.
    #[error("Failed to accept peer {address}: its certificate is not valid for {expected}")]
    WrongPeer {
        /// Address of the peer.
        address: SocketAddr,
        /// Expected role, or role and node name.
        expected: String,
    },
    /// The peer uses another protocol version.
    #[error("Failed to accept protocol version {version} of the peer: expected {PROTOCOL_VERSION}")]
    WrongVersion {
        /// Protocol version of the peer.
        version: u16,
    },
    /// The peer's role may not open this kind of stream.
    #[error("Failed to accept a stream: role {0} may not open this kind of stream")]
    Forbidden(NodeRole),
    /// A key file cannot be read.
    #[error("Failed to read key file {path}")]
    KeyFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A certificate or key is invalid, or TLS cannot be configured with it.
    #[error("Failed to use a certificate or key: {0}")]
    Certificate(String),
}
