//! Formatting of errors.

use std::error::Error;

/// Formats an error and its sources, joined by colons, for errors whose `Display` omits the source.
pub fn error_chain(error: &(dyn Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |&error| error.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
