//! Server-sent events of a streamed chat completion.

use serde_json::Value;

/// What one event carries.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StreamEvent {
    /// Part of the text.
    Text(String),
    /// An error with its outcome, if one is named.
    Error(Value),
    /// The end of the stream.
    Done,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Adds bytes, and returns the events that are complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                events.extend(read_event(data.trim_start()));
            }
        }
        events
    }
}

fn read_event(data: &str) -> Option<StreamEvent> {
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
