//! Replicated state: configuration, exclusions, fencing numbers and call records.
