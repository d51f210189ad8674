//! Checked content of the services text.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use units::{CostUnits, DataCentreName, FlowWeight, OrganisationName, RegionName, ServiceName};

use crate::error::ManifestFault;

/// SHA-256 of an organisation's bearer key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub [u8; 32]);

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl FromStr for KeyHash {
    type Err = ManifestFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return Err(ManifestFault::MalformedKeyHash);
        }
        let mut hash = [0; 32];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
        }
        Ok(Self(hash))
    }
}

fn hex_digit(digit: u8) -> Result<u8, ManifestFault> {
    (digit as char)
        .to_digit(16)
        .map(|value| value as u8)
        .ok_or(ManifestFault::MalformedKeyHash)
}

units::data! {
    /// What a service runs on.
    #[derive(Copy)]
    pub enum ServiceKind {
        /// A model engine; its name is the model's.
        Model,
        /// Any other HTTP service.
        Plain,
    }

    /// Rule for calls of a service.
    pub struct CallRule {
        /// HTTP method.
        pub method: String,
        /// Prefix of the path at the service.
        pub path: String,
        /// Whether a call that matches may run more than once.
        pub repeatable: bool,
    }

    /// A service of the fleet.
    pub struct ServiceSpec {
        /// What it runs on.
        pub kind: ServiceKind,
        /// Services that must have a live target for this one to be served.
        pub depends_on: Vec<ServiceName>,
        /// Most waiting requests of each organisation.
        pub max_waiting: u32,
        /// Largest cost of one request.
        pub max_cost: CostUnits,
        /// Rules for calls; calls without a rule may be repeated.
        pub calls: Vec<CallRule>,
    }

    /// An organisation that calls the fleet.
    pub struct OrganisationSpec {
        /// Share relative to other organisations.
        pub weight: FlowWeight,
        /// Hash of its bearer key.
        pub key_sha256: KeyHash,
    }

    /// Checked content of the services text.
    #[derive(Default)]
    pub struct FleetManifest {
        /// Regions.
        pub regions: BTreeSet<RegionName>,
        /// Data centres and their regions.
        pub data_centres: BTreeMap<DataCentreName, RegionName>,
        /// Services.
        pub services: BTreeMap<ServiceName, ServiceSpec>,
        /// Organisations.
        pub organisations: BTreeMap<OrganisationName, OrganisationSpec>,
    }
}
