//! Rules that decide whether a call may run more than once.

use crate::spec::ServiceSpec;

impl ServiceSpec {
    /// Whether a call may run more than once.
    ///
    /// The rule with the longest matching path prefix decides. Some services accept methods in any
    /// case and paths with percent escapes or dot segments. To prevent a call from evading its rule
    /// by these, methods are compared without regard to case, and a call is repeatable only if the
    /// rules allow it both for the path as received and for the normalised path.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.is_path_repeatable(method, path)
            && self.is_path_repeatable(method, &normalised_path(path))
    }

    fn is_path_repeatable(&self, method: &str, path: &str) -> bool {
        self.calls
            .iter()
            .filter(|rule| rule.method.eq_ignore_ascii_case(method))
            .filter(|rule| path.starts_with(&rule.path))
            .max_by_key(|rule| rule.path.len())
            .is_none_or(|rule| rule.repeatable)
    }
}

/// The path without query and fragment, with percent escapes decoded, and with empty segments and
/// dot segments removed.
fn normalised_path(path: &str) -> String {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let decoded = percent_decoded(path);
    let mut segments: Vec<&str> = Vec::new();
    for segment in decoded.split(['/', '\\']) {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            segment => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}

/// Decodes the percent escapes of a path. Malformed escapes are left unchanged, and bytes that are
/// not UTF-8 become replacement characters.
fn percent_decoded(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let escape = bytes
            .get(position + 1..position + 3)
            .filter(|_| bytes[position] == b'%')
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escape {
            Some(byte) => {
                decoded.push(byte);
                position += 3;
            }
            None => {
                decoded.push(bytes[position]);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
