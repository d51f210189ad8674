//! Cost of a response, counted while it streams.

use serde_json::Value;
use units::CostUnits;

use crate::settings::TargetKind;

/// Longest line or whole body that is parsed; more is counted by its size.
const MAX_TEXT: usize = 1 << 20;

/// Bytes of text taken as one token where the engine reports no usage.
const TOKEN_BYTES: usize = 4;

/// Counts the cost of one response. The cost never falls.
pub trait CostMeter: Send {
    /// Counts the next bytes of the body and returns the cost so far.
    fn feed(&mut self, bytes: &[u8]) -> CostUnits;

    /// Ends the count and returns the whole cost.
    fn finish(&mut self) -> CostUnits;
}

/// Creates the meter for a response of a target.
pub fn meter_for(kind: TargetKind, content_type: &str) -> Box<dyn CostMeter> {
    match kind {
        TargetKind::Plain => Box::new(CallMeter),
        TargetKind::Model if is_event_stream(content_type) => Box::new(EventMeter::default()),
        TargetKind::Model => Box::new(BodyMeter::default()),
    }
}

/// Whether a response streams its tokens as server-sent events.
pub(crate) fn is_event_stream(content_type: &str) -> bool {
    content_type.starts_with("text/event-stream")
}

/// One unit for each call.
struct CallMeter;

impl CostMeter for CallMeter {
    fn feed(&mut self, _bytes: &[u8]) -> CostUnits {
        CostUnits(1)
    }

    fn finish(&mut self) -> CostUnits {
        CostUnits(1)
    }
}

/// Counts server-sent events with content as tokens.
#[derive(Default)]
struct EventMeter {
    line: Vec<u8>,
    tokens: u64,
}

impl EventMeter {
    fn end_line(&mut self) {
        if let Some(data) = self.line.strip_prefix(b"data:")
            && let Ok(event) = serde_json::from_slice::<Value>(data.trim_ascii())
        {
            self.tokens += u64::from(has_content(&event));
            self.tokens = self.tokens.max(usage_tokens(&event));
        }
        self.line.clear();
    }
}

impl CostMeter for EventMeter {
    fn feed(&mut self, bytes: &[u8]) -> CostUnits {
        for byte in bytes {
            if *byte == b'\n' {
                self.end_line();
            } else if self.line.len() < MAX_TEXT {
                self.line.push(*byte);
            }
        }
        CostUnits(self.tokens)
    }

    fn finish(&mut self) -> CostUnits {
        self.end_line();
        CostUnits(self.tokens)
    }
}

/// Reads the usage of a whole response.
#[derive(Default)]
struct BodyMeter {
    body: Vec<u8>,
    size: usize,
}

impl CostMeter for BodyMeter {
    fn feed(&mut self, bytes: &[u8]) -> CostUnits {
        let room = MAX_TEXT - self.body.len();
        self.body.extend_from_slice(&bytes[..bytes.len().min(room)]);
        self.size += bytes.len();
        CostUnits(0)
    }

    fn finish(&mut self) -> CostUnits {
        let tokens = match serde_json::from_slice::<Value>(&self.body) {
            Ok(response) => usage_tokens(&response).max(content_size(&response)),
            Err(_) => self.size.div_ceil(TOKEN_BYTES) as u64,
        };
        CostUnits(tokens)
    }
}

fn has_content(event: &Value) -> bool {
    let choices = event["choices"].as_array().into_iter().flatten();
    choices
        .filter_map(|choice| choice["delta"]["content"].as_str())
        .any(|content| !content.is_empty())
}

fn usage_tokens(response: &Value) -> u64 {
    response["usage"]["completion_tokens"].as_u64().unwrap_or(0)
}

/// Tokens of the content by its size, only where the engine reports no usage.
fn content_size(response: &Value) -> u64 {
    if response["usage"].is_object() {
        return 0;
    }
    let choices = response["choices"].as_array().into_iter().flatten();
    choices
        .filter_map(|choice| choice["message"]["content"].as_str())
        .map(|content| content.len().div_ceil(TOKEN_BYTES) as u64)
        .sum()
}
