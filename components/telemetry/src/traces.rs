//! Trace spans as JSON lines in a file.
//!
//! Spans are those of the `tracing` crate. A [`SpanRecorder`] gives each one the ids of the W3C trace
//! context and writes it when it closes. Without a file no subscriber is set and spans cost nothing.

use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use eyre::{Result, WrapErr};
use serde_json::{Map, Value, json};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::registry::{LookupSpan, Registry};

/// Field of a span that holds the trace context of a caller in another process.
const REMOTE_FIELD: &str = "traceparent";

/// Where spans go.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TraceSettings {
    /// File that spans are appended to. Without one, spans are dropped.
    pub path: Option<PathBuf>,
}

/// Writer of the spans of this process; set once by [`start_traces`].
static SPAN_WRITER: OnceLock<Mutex<BufWriter<File>>> = OnceLock::new();

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
    SPAN_WRITER.get_or_init(|| Mutex::new(BufWriter::new(file)));
    let subscriber = Registry::default().with(SpanRecorder);
    tracing::subscriber::set_global_default(subscriber)
        .wrap_err("Failed to start traces: the process already collects spans")
}

/// Writes the spans collected so far; called before the process exits.
pub fn stop_traces() {
    if let Some(writer) = SPAN_WRITER.get() {
        let mut writer = writer.lock().expect("no holder of the span writer panics");
        // A full disk must not stop the daemon, so spans that cannot be written are dropped.
        let _ = writer.flush();
    }
}

/// Place in a trace, as in the header `traceparent`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// Id of the trace.
    pub trace_id: u128,
    /// Id of the span.
    pub span_id: u64,
}

impl TraceContext {
    /// Reads the value of the header `traceparent`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
        if version != "00" || trace.len() != 32 || span.len() != 16 {
            return None;
        }
        Some(Self {
            trace_id: u128::from_str_radix(trace, 16).ok()?,
            span_id: u64::from_str_radix(span, 16).ok()?,
        })
    }

    /// The context of a span of this process; none while no spans are collected.
    pub fn of(span: &tracing::Span) -> Option<Self> {
        span.with_subscriber(|(id, dispatch)| {
            let registry = dispatch.downcast_ref::<Registry>()?;
            let record = registry.span(id)?;
            let extensions = record.extensions();
            extensions.get::<SpanRecord>().map(SpanRecord::context)
        })
        .flatten()
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }
}

/// What is kept of an open span.
struct SpanRecord {
    trace_id: u128,
    span_id: u64,
    parent_id: u64,
    begun: Instant,
    begun_at: SystemTime,
    fields: Map<String, Value>,
}

impl SpanRecord {
    fn context(&self) -> TraceContext {
        TraceContext {
            trace_id: self.trace_id,
            span_id: self.span_id,
        }
    }

    fn line(&self, name: &str) -> Value {
        let since = self.begun_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        json!({
            "trace": format!("{:032x}", self.trace_id),
            "span": format!("{:016x}", self.span_id),
            "parent": format!("{:016x}", self.parent_id),
            "name": name,
            "begin_ns": since.as_nanos() as u64,
            "duration_ns": self.begun.elapsed().as_nanos() as u64,
            "fields": self.fields,
        })
    }
}

/// Layer that writes each span when it closes.
struct SpanRecorder;

impl<S> Layer<S> for SpanRecorder
where
    S: tracing::Subscriber + for<'a> LookupSpan<'a>,
{
    fn on_new_span(&self, attributes: &Attributes<'_>, id: &Id, context: Context<'_, S>) {
        let Some(span) = context.span(id) else {
            return;
        };
        let mut fields = FieldReader::default();
        attributes.record(&mut fields);
        let local = span.parent().and_then(|parent| {
            let extensions = parent.extensions();
            extensions.get::<SpanRecord>().map(SpanRecord::context)
        });
        let parent = fields.remote.or(local);
        span.extensions_mut().insert(SpanRecord {
            trace_id: parent.map_or_else(rand::random, |parent| parent.trace_id),
            span_id: rand::random(),
            parent_id: parent.map_or(0, |parent| parent.span_id),
            begun: Instant::now(),
            begun_at: SystemTime::now(),
            fields: fields.values,
        });
    }

    fn on_close(&self, id: Id, context: Context<'_, S>) {
        let Some(span) = context.span(&id) else {
            return;
        };
        let extensions = span.extensions();
        if let (Some(record), Some(writer)) = (extensions.get::<SpanRecord>(), SPAN_WRITER.get()) {
            let mut writer = writer.lock().expect("no holder of the span writer panics");
            let _ = writeln!(writer, "{}", record.line(span.name()));
        }
    }
}

/// Reads the fields of a span.
#[derive(Default)]
struct FieldReader {
    remote: Option<TraceContext>,
    values: Map<String, Value>,
}

impl Visit for FieldReader {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == REMOTE_FIELD {
            self.remote = TraceContext::parse(value);
        } else {
            self.values.insert(field.name().into(), value.into());
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.record_str(field, &format!("{value:?}"));
    }
}
