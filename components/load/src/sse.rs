//! Parser of the server-sent events of a streamed chat completion.

use serde_json::Value;

/// A parsed server-sent event.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StreamEvent {
    /// Next part of the text.
    Text(String),
    /// JSON body with an `error` object, which may name an outcome.
    Error(Value),
    /// End marker `[DONE]`.
    Done,
}

/// Incremental parser. Events without text or error are skipped.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Appends bytes and returns the events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                events.extend(parse_event(data.trim_start()));
            }
        }
        events
    }
}

fn parse_event(data: &str) -> Option<StreamEvent> {
    if data == "[DONE]" {
        return Some(StreamEvent::Done);
    }
    let value: Value = serde_json::from_str(data).ok()?;
    if value.get("error").is_some() {
        return Some(StreamEvent::Error(value));
    }
    let text = value["choices"][0]["delta"]["content"].as_str()?;
    Some(StreamEvent::Text(text.to_string()))
}
