//! Services text: parsing, validation and differences.
//!
//! The operator describes regions, data centres, services and organisations in one TOML text.
//! [`FleetManifest::parse`] returns either the complete manifest or all faults of the text.

mod change;
mod check;
mod error;
mod reader;
mod repeat;
mod spec;
mod text;

pub use change::ManifestChange;
pub use error::{ManifestError, ManifestFault};
pub use spec::{CallRule, FleetManifest, KeyHash, OrganisationSpec, ServiceKind, ServiceSpec};
