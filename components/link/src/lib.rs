//! Links between the processes of the system: QUIC with certificates on both sides.
//!
//! Every process has a certificate of the operator's own authority that names its role and its
//! name. Both ends check the other's: a peer without a valid certificate or with the wrong role is
//! refused. Streams carry the frames of the `wire` crate and begin with its `Hello`.

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
