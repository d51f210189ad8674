//! Trace spans as JSON lines in a file.

use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Write};
use std::path::PathBuf;

use eyre::{Result, WrapErr};
use fastrace::collector::{Config, Reporter, SpanRecord};
use serde_json::{Map, Value, json};

/// Where spans go.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TraceSettings {
    /// File that spans are appended to. Without one, spans are dropped.
    pub path: Option<PathBuf>,
}

/// Starts collecting spans. Without a path nothing is collected.
pub fn start_traces(settings: &TraceSettings) -> Result<()> {
    let Some(path) = &settings.path else {
        return Ok(());
    };
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .wrap_err_with(|| format!("Failed to open trace file {}", path.display()))?;
    let reporter = FileReporter {
        writer: BufWriter::new(file),
    };
    fastrace::set_reporter(reporter, Config::default());
    Ok(())
}

/// Writes the spans collected so far; called before the process exits.
pub fn stop_traces() {
    fastrace::flush();
}

struct FileReporter {
    writer: BufWriter<File>,
}

impl Reporter for FileReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        // A full disk must not stop the daemon, so spans that cannot be written are dropped.
        for span in spans {
            let _ = writeln!(self.writer, "{}", span_line(&span));
        }
        let _ = self.writer.flush();
    }
}

fn span_line(span: &SpanRecord) -> Value {
    let fields: Map<String, Value> = span
        .properties
        .iter()
        .map(|(key, value)| (key.to_string(), Value::from(value.as_ref())))
        .collect();
    json!({
        "trace": format!("{:032x}", span.trace_id.0),
        "span": format!("{:016x}", span.span_id.0),
        "parent": format!("{:016x}", span.parent_id.0),
        "name": span.name,
        "begin_ns": span.begin_time_unix_ns,
        "duration_ns": span.duration_ns,
        "fields": fields,
    })
}
