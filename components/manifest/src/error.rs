//! Faults of a services text.

use thiserror::Error;

/// What is wrong with a value.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ManifestFault {
    /// The text is not TOML.
    #[error("{0}")]
    Syntax(String),
    /// The key is not part of the format.
    #[error("the key is unknown")]
    UnknownKey,
    /// A key is missing in the table.
    #[error("the key {0} is missing")]
    MissingKey(&'static str),
    /// The value has another type.
    #[error("expected {0}")]
    WrongType(&'static str),
    /// The value is outside its range.
    #[error("expected a value {0}")]
    OutOfRange(&'static str),
    /// The name was used before.
    #[error("the name is used twice")]
    DuplicateName,
    /// Two organisations have the same key.
    #[error("the key hash is used twice")]
    DuplicateKeyHash,
    /// The name has characters that names may not have.
    #[error("a name has 1 to 64 letters, digits, '.', '_' or '-'")]
    MalformedName,
    /// The region is not listed.
    #[error("the region is not listed")]
    UnknownRegion,
    /// The service is not listed.
    #[error("the service is not listed")]
    UnknownDependency,
    /// The service depends on itself.
    #[error("the service depends on itself through {0}")]
    DependencyCycle(String),
    /// The key hash is not a SHA-256 in hexadecimal.
    #[error("a key hash has 64 hexadecimal digits")]
    MalformedKeyHash,
}

/// A fault and its place in the text.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("Failed to accept {value:?} at line {line}, column {column}: {fault}")]
pub struct ManifestError {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// The faulty value as it stands in the text.
    pub value: String,
    /// What is wrong with it.
    pub fault: ManifestFault,
}

/// Longest value that an error repeats, in characters.
const MAX_VALUE: usize = 80;

impl ManifestError {
    /// Creates the error for a range of bytes of the text.
    pub(crate) fn at(text: &str, span: std::ops::Range<usize>, fault: ManifestFault) -> Self {
        let start = floor_boundary(text, span.start);
        let end = floor_boundary(text, span.end.max(start));
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let value = text[start..end].lines().next().unwrap_or_default();
        Self {
            line: before.matches('\n').count() + 1,
            column: text[line_start..start].chars().count() + 1,
            value: value.chars().take(MAX_VALUE).collect(),
            fault,
        }
    }
}

/// The last character boundary that is not after the offset.
fn floor_boundary(text: &str, offset: usize) -> usize {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    offset
}
