//! Validated content of the services text.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use units::{CostUnits, DataCentreName, FlowWeight, OrganisationName, RegionName, ServiceName};

use crate::error::ManifestFault;

/// SHA-256 of an organisation's bearer key; its text form has 64 hexadecimal digits.
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
    /// Kind of a service's targets.
    #[derive(Copy)]
    pub enum ServiceKind {
        /// Model engines. The service has the name of the model.
        Model,
        /// Plain HTTP services.
        Plain,
    }

    /// Rule that decides whether calls of a service may be repeated.
    pub struct CallRule {
        /// HTTP method in upper case.
        pub method: String,
        /// Path prefix at the service.
        pub path: String,
        /// Whether a matching call may run more than once.
        pub repeatable: bool,
    }

    /// Settings of a service.
    pub struct ServiceSpec {
        /// Kind of the service's targets.
        pub kind: ServiceKind,
        /// Services that must have a live target; otherwise requests to this service are refused.
        pub depends_on: Vec<ServiceName>,
        /// Maximum number of waiting requests of each organisation.
        pub max_waiting: u32,
        /// Maximum cost of one request.
        pub max_cost: CostUnits,
        /// Rules for repeating calls; a call that matches no rule may be repeated.
        pub calls: Vec<CallRule>,
    }

    /// Settings of an organisation.
    pub struct OrganisationSpec {
        /// Weight of its share, relative to other organisations.
        pub weight: FlowWeight,
        /// Hash of its bearer key.
        pub key_sha256: KeyHash,
    }

    /// Validated content of the services text.
    #[derive(Default)]
    pub struct FleetManifest {
        /// Names of the regions.
        pub regions: BTreeSet<RegionName>,
        /// Region of each data centre.
        pub data_centres: BTreeMap<DataCentreName, RegionName>,
        /// Settings of each service.
        pub services: BTreeMap<ServiceName, ServiceSpec>,
        /// Settings of each organisation.
        pub organisations: BTreeMap<OrganisationName, OrganisationSpec>,
    }
}
