//! Links between the processes of the system: QUIC connections with mutual TLS.
//!
//! Every process has a certificate issued by the operator's own authority for its role and node
//! name. Both ends verify the certificate of the other end; a peer without a valid certificate or
//! with the wrong role is rejected. Streams carry frames of the `wire` crate, the first of which is
//! a `Hello`.

mod endpoint;
mod error;
mod frames;
mod identity;
mod keys;

pub use endpoint::{LinkEndpoint, LinkStream, LinkTraffic, PeerLink};
pub use error::LinkError;
pub use frames::{FrameReader, FrameWriter};
pub use identity::{LinkIdentity, PeerCertificate};
pub use keys::{KeyAuthority, KeyError, KeyFiles};
