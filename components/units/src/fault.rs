//! Text of errors.

use std::error::Error;

/// An error with its causes, for libraries whose errors show only the outermost.
pub fn error_chain(error: &(dyn Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |&error| error.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
