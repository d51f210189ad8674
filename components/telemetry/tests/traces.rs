//! Spans reach the file.

use telemetry::{TraceContext, TraceSettings, start_traces, stop_traces};
use tracing::info_span;

/// Guards against spans that are collected but never written, and against hops that lose their
/// place in the caller's trace.
#[test]
fn spans_are_written_as_json_lines() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("spans.jsonl");
    start_traces(&TraceSettings {
        path: Some(path.clone()),
    })
    .unwrap();
    let remote = TraceContext {
        trace_id: 0xabc,
        span_id: 0x12,
    };

    let hop = info_span!("hop", traceparent = %remote, request = "7");
    let inner = hop.in_scope(|| info_span!("inner"));
    let passed_on = TraceContext::of(&inner).unwrap();
    drop(inner);
    drop(hop);
    stop_traces();

    let text = std::fs::read_to_string(path).unwrap();
    let spans: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(spans[1]["name"], "hop");
    assert_eq!(spans[1]["fields"]["request"], "7");
    assert_eq!(spans[1]["parent"], format!("{:016x}", 0x12));
    assert_eq!(spans[0]["parent"], spans[1]["span"]);
    assert_eq!(spans[0]["trace"], spans[1]["trace"]);
    assert_eq!(passed_on.trace_id, 0xabc);
    assert_eq!(TraceContext::parse(&passed_on.to_string()), Some(passed_on));
}
