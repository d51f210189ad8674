//! Numbered log events, metrics and traces.
