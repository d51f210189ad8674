//! Cost of a response, counted while its body arrives.

use serde_json::Value;
use units::CostUnits;

use crate::settings::TargetKind;

/// Maximum number of bytes of an event line or of a whole body that are kept for parsing. A longer
/// line is not counted, and a larger body is counted by its size.
const MAX_TEXT_BYTES: usize = 1 << 20;

/// Bytes of text that count as one token if the engine reports no usage.
const BYTES_PER_TOKEN: usize = 4;

/// Counts the cost of one response. The cost never decreases.
pub trait CostMeter: Send {
    /// Adds the next bytes of the body and returns the cost so far.
    fn feed(&mut self, bytes: &[u8]) -> CostUnits;

    /// Ends the body and returns its total cost.
    fn finish(&mut self) -> CostUnits;
}

/// Creates the meter for a response with this content type from a target of this kind.
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

/// Counts one unit per call.
struct CallMeter;

impl CostMeter for CallMeter {
    fn feed(&mut self, _bytes: &[u8]) -> CostUnits {
        CostUnits(1)
    }

    fn finish(&mut self) -> CostUnits {
        CostUnits(1)
    }
}

/// Counts each server-sent event with content as one token, unless the usage that the engine
/// reports is higher.
#[derive(Default)]
struct EventMeter {
    line: Vec<u8>,
    tokens: u64,
}

impl EventMeter {
    fn finish_line(&mut self) {
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
                self.finish_line();
            } else if self.line.len() < MAX_TEXT_BYTES {
                self.line.push(*byte);
            }
        }
        CostUnits(self.tokens)
    }

    fn finish(&mut self) -> CostUnits {
        self.finish_line();
        CostUnits(self.tokens)
    }
}

/// Counts the tokens of a response that is sent as a whole: the usage that the engine reports, or
/// an estimate from the size.
#[derive(Default)]
struct BodyMeter {
    body: Vec<u8>,
    received_bytes: usize,
}

impl CostMeter for BodyMeter {
    fn feed(&mut self, bytes: &[u8]) -> CostUnits {
        let remaining_bytes = MAX_TEXT_BYTES - self.body.len();
        self.body
            .extend_from_slice(&bytes[..bytes.len().min(remaining_bytes)]);
        self.received_bytes += bytes.len();
        CostUnits(0)
    }

    fn finish(&mut self) -> CostUnits {
        let tokens = match serde_json::from_slice::<Value>(&self.body) {
            Ok(response) => usage_tokens(&response).max(estimate_content_tokens(&response)),
            Err(_) => self.received_bytes.div_ceil(BYTES_PER_TOKEN) as u64,
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

/// Estimates the tokens from the size of the content; 0 if the engine reports usage.
fn estimate_content_tokens(response: &Value) -> u64 {
    if response["usage"].is_object() {
        return 0;
    }
    let choices = response["choices"].as_array().into_iter().flatten();
    choices
        .filter_map(|choice| choice["message"]["content"].as_str())
        .map(|content| content.len().div_ceil(BYTES_PER_TOKEN) as u64)
        .sum()
}
