//! Recording of spans in a file.

use telemetry::{TraceContext, TraceSettings, start_traces, stop_traces};
use tracing::info_span;

/// Guards against spans that are recorded but never written, and against spans that are not linked
/// to their parent in the same or another process.
#[test]
fn spans_are_written_as_json_lines() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("spans.jsonl");
    start_traces(&TraceSettings {
        path: Some(path.clone()),
    })
    .unwrap();
    let remote_parent = TraceContext {
        trace_id: 0xabc,
        span_id: 0x12,
    };

    let outer = info_span!("hop", traceparent = %remote_parent, request = "7");
    let inner = outer.in_scope(|| info_span!("inner"));
    let inner_context = TraceContext::of(&inner).unwrap();
    drop(inner);
    drop(outer);
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
    assert_eq!(inner_context.trace_id, 0xabc);
    assert_eq!(
        TraceContext::parse(&inner_context.to_string()),
        Some(inner_context)
    );
}
