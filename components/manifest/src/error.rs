//! Faults of a services text and their positions.

use thiserror::Error;

/// Reason why a value of the text is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ManifestFault {
    /// The text is not TOML.
    #[error("{0}")]
    Syntax(String),
    /// The format has no such key.
    #[error("the key is unknown")]
    UnknownKey,
    /// A required key is missing from the table.
    #[error("the key {0} is missing")]
    MissingKey(&'static str),
    /// The value is not of the expected type.
    #[error("expected {0}")]
    WrongType(&'static str),
    /// The value is not in the allowed range.
    #[error("expected a value {0}")]
    OutOfRange(&'static str),
    /// An earlier table of the same kind has the same name.
    #[error("the name is used twice")]
    DuplicateName,
    /// An earlier organisation has the same key hash.
    #[error("the key hash is used twice")]
    DuplicateKeyHash,
    /// The name is empty, too long or contains a character that is not allowed.
    #[error("a name has 1 to 64 letters, digits, '.', '_' or '-'")]
    MalformedName,
    /// A data centre refers to a region that is not listed.
    #[error("the region is not listed")]
    UnknownRegion,
    /// A service depends on a service that is not listed.
    #[error("the service is not listed")]
    UnknownDependency,
    /// A service depends on itself, directly or through the given service.
    #[error("the service depends on itself through {0}")]
    DependencyCycle(String),
    /// The key hash is not a SHA-256 hash of 64 hexadecimal digits.
    #[error("a key hash has 64 hexadecimal digits")]
    MalformedKeyHash,
}

/// A fault and its position in the text.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("Failed to accept {value:?} at line {line}, column {column}: {fault}")]
pub struct ManifestError {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
    /// First line of the invalid value as written in the text; truncated if it is long.
    pub value: String,
    /// Reason why the value is not accepted.
    pub fault: ManifestFault,
}

/// Length to which an error truncates the value, in characters.
const MAX_VALUE_CHARS: usize = 80;

impl ManifestError {
    /// Creates the error for a byte range of the text.
    pub(crate) fn at(text: &str, span: std::ops::Range<usize>, fault: ManifestFault) -> Self {
        let start = floor_boundary(text, span.start);
        let end = floor_boundary(text, span.end.max(start));
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let value = text[start..end].lines().next().unwrap_or_default();
        Self {
            line: before.matches('\n').count() + 1,
            column: text[line_start..start].chars().count() + 1,
            value: value.chars().take(MAX_VALUE_CHARS).collect(),
            fault,
        }
    }
}

/// Highest character boundary at or before the offset.
fn floor_boundary(text: &str, offset: usize) -> usize {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    offset
}
