//! Spans reach the file.

use fastrace::Span;
use fastrace::collector::SpanContext;
use telemetry::{TraceSettings, start_traces, stop_traces};

/// Guards against spans that are collected but never written.
#[test]
fn spans_are_written_as_json_lines() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("spans.jsonl");
    start_traces(&TraceSettings {
        path: Some(path.clone()),
    })
    .unwrap();

    drop(Span::root("hop", SpanContext::random()).with_property(|| ("request", "7")));
    stop_traces();

    let text = std::fs::read_to_string(path).unwrap();
    let span: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    assert_eq!(span["name"], "hop");
    assert_eq!(span["fields"]["request"], "7");
}
