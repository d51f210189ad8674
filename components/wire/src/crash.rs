//! Crash reports of entries, and the quarantine that control derives from them.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use units::{Incarnation, NodeName, ServiceName};

use crate::usage::FlowId;

units::number!(
    /// Id of one start of a control node that finds the causes of crashes.
    HomeId(u64)
);

units::data! {
    /// What requests that crash targets may have in common.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum RequestTrait {
        /// Part of the prompt, by its id.
        Part(u64),
        /// Organisation, method, path and body, by their hash.
        Content(u64),
    }

    /// A trait of the requests to one service.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ServiceTrait {
        /// Service of the requests.
        pub service: ServiceName,
        /// Trait of the requests.
        pub request_trait: RequestTrait,
    }

    /// Request without a complete response that was at a target when the target crashed.
    pub struct CrashSuspect {
        /// Organisation and service of the request.
        pub flow: FlowId,
        /// Time since the request was sent to the target, in milliseconds.
        pub sent_ms: u64,
        /// Whether the entry had sent the request to another target before.
        pub is_retry: bool,
        /// Traits of the request.
        pub traits: Vec<RequestTrait>,
    }

    /// Crash of a target, as observed by one entry.
    pub struct CrashObservation {
        /// Target that crashed.
        pub target: NodeName,
        /// Incarnation of the process that crashed.
        pub incarnation: Incarnation,
        /// Service of the target.
        pub service: ServiceName,
        /// Time since the crash, in milliseconds.
        pub age_ms: u64,
        /// Requests of the entry that were at the target, except those that it has reported before.
        pub suspects: Vec<CrashSuspect>,
    }

    /// Number of complete responses of a service.
    pub struct ServedCount {
        /// Service that responded.
        pub service: ServiceName,
        /// Number of responses since the last report.
        pub responses: u64,
        /// Time since the first of them, in milliseconds.
        pub age_ms: u64,
    }

    /// Latest complete response to requests with a trait.
    pub struct TraitSuccess {
        /// Trait of the requests.
        pub subject: ServiceTrait,
        /// Time since the response was complete, in milliseconds.
        pub age_ms: u64,
    }

    /// Trait whose requests are refused.
    pub struct QuarantinedTrait {
        /// Trait of the refused requests.
        pub subject: ServiceTrait,
        /// Organisations whose requests are refused; empty for all.
        pub flows: Vec<FlowId>,
        /// Time until one request is admitted as a trial, in milliseconds; 0 if a trial is due.
        pub trial_ms: u64,
        /// Interval between the crash that caused the quarantine and its trial, in milliseconds.
        pub interval_ms: u64,
        /// Number of crashes for which the trait is held responsible.
        pub crashes: u64,
    }

    /// What an entry has observed since its last report, sent to the control node that finds the
    /// causes of crashes.
    pub struct CrashReport {
        /// Control node from which the entry has its quarantine, if any.
        pub source: Option<HomeId>,
        /// Crashes that this control node does not know yet.
        pub observations: Vec<CrashObservation>,
        /// Complete responses of each service.
        pub served: Vec<ServedCount>,
        /// Complete responses to requests with a suspected trait.
        pub successes: Vec<TraitSuccess>,
        /// Quarantine that the entry applies.
        pub quarantine: Vec<QuarantinedTrait>,
        /// Quarantined traits whose requests the entry has refused since its last report.
        pub refused: Vec<ServiceTrait>,
    }

    /// Reply to a [`CrashReport`].
    pub struct QuarantineReply {
        /// Replying control node.
        pub source: HomeId,
        /// Traits that may have caused crashes. The entry reports complete responses to them, and sends
        /// requests with them to no second target.
        pub suspected: Vec<ServiceTrait>,
        /// Quarantine in force.
        pub quarantine: Vec<QuarantinedTrait>,
        /// Traits of which the entry admits one request as a trial.
        pub trials: Vec<ServiceTrait>,
    }
}

impl fmt::Display for RequestTrait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "part:{id:x}"),
            Self::Content(hash) => write!(f, "content:{hash:x}"),
        }
    }
}

/// Text that is not a [`RequestTrait`] or [`ServiceTrait`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("Failed to read trait {0:?}: expected SERVICE/part:HEX or SERVICE/content:HEX")]
pub struct TraitError(pub String);

impl FromStr for RequestTrait {
    type Err = TraitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = |_: ParseIntError| TraitError(text.into());
        let hex = |digits| u64::from_str_radix(digits, 16).map_err(error);
        match text.split_once(':') {
            Some(("part", digits)) => hex(digits).map(Self::Part),
            Some(("content", digits)) => hex(digits).map(Self::Content),
            _ => Err(TraitError(text.into())),
        }
    }
}

impl fmt::Display for ServiceTrait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.request_trait)
    }
}

impl FromStr for ServiceTrait {
    type Err = TraitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (service, request_trait) = text
            .rsplit_once('/')
            .ok_or_else(|| TraitError(text.into()))?;
        Ok(Self {
            service: service.into(),
            request_trait: request_trait.parse()?,
        })
    }
}
