//! Traits of requests that may make targets crash.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

units::data! {
    /// What requests that crash targets may have in common.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum RequestTrait {
        /// Part of the prompt, by its id.
        Part(u64),
        /// Organisation, method, path and body, by their hash.
        Content(u64),
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

/// Text that is not a [`RequestTrait`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("Failed to read trait {0:?}: expected part:HEX or content:HEX")]
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
