//! Trace spans as JSON lines in a file.
//!
//! Spans are those of the `tracing` crate. [`SpanRecorder`] assigns the ids of the W3C trace
//! context to each span and writes the span when it closes. Without a file no subscriber is
//! installed, so that spans have no cost.

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

/// Field of a span with the trace context of its parent span in another process.
const REMOTE_PARENT_FIELD: &str = "traceparent";

/// Destination of spans.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TraceSettings {
    /// File to which spans are appended. Without a file, spans are not recorded.
    pub path: Option<PathBuf>,
}

/// File writer of this process, set by [`start_traces`].
static SPAN_WRITER: OnceLock<Mutex<BufWriter<File>>> = OnceLock::new();

/// Starts recording spans, if the settings name a file. Fails if the process already has a
/// subscriber for spans.
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
        .wrap_err("Failed to start traces: the process already has a subscriber for spans")
}

/// Flushes the recorded spans to the file; must be called before the process exits.
pub fn stop_traces() {
    if let Some(writer) = SPAN_WRITER.get() {
        let mut writer = writer
            .lock()
            .expect("no thread panics while it holds the lock");
        // The daemon must keep running when the disk is full, so write errors are ignored.
        let _ = writer.flush();
    }
}

/// W3C trace context of a span, formatted like the header `traceparent`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// Trace id.
    pub trace_id: u128,
    /// Span id.
    pub span_id: u64,
}

impl TraceContext {
    /// Parses the value of the header `traceparent`; `None` if it is invalid.
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

    /// Context of a span of this process; `None` if spans are not recorded.
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

/// Data of an open span.
struct SpanRecord {
    trace_id: u128,
    span_id: u64,
    parent_id: u64,
    start: Instant,
    start_time: SystemTime,
    fields: Map<String, Value>,
}

impl SpanRecord {
    fn context(&self) -> TraceContext {
        TraceContext {
            trace_id: self.trace_id,
            span_id: self.span_id,
        }
    }

    fn to_json(&self, name: &str) -> Value {
        let since_epoch = self
            .start_time
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        json!({
            "trace": format!("{:032x}", self.trace_id),
            "span": format!("{:016x}", self.span_id),
            "parent": format!("{:016x}", self.parent_id),
            "name": name,
            "begin_ns": since_epoch.as_nanos() as u64,
            "duration_ns": self.start.elapsed().as_nanos() as u64,
            "fields": self.fields,
        })
    }
}

/// Subscriber layer that writes each span when it closes.
struct SpanRecorder;

impl<S> Layer<S> for SpanRecorder
where
    S: tracing::Subscriber + for<'a> LookupSpan<'a>,
{
    fn on_new_span(&self, attributes: &Attributes<'_>, id: &Id, context: Context<'_, S>) {
        let Some(span) = context.span(id) else {
            return;
        };
        let mut visitor = FieldVisitor::default();
        attributes.record(&mut visitor);
        let local_parent = span.parent().and_then(|parent| {
            let extensions = parent.extensions();
            extensions.get::<SpanRecord>().map(SpanRecord::context)
        });
        let parent = visitor.remote_parent.or(local_parent);
        span.extensions_mut().insert(SpanRecord {
            trace_id: parent.map_or_else(rand::random, |parent| parent.trace_id),
            span_id: rand::random(),
            parent_id: parent.map_or(0, |parent| parent.span_id),
            start: Instant::now(),
            start_time: SystemTime::now(),
            fields: visitor.fields,
        });
    }

    fn on_close(&self, id: Id, context: Context<'_, S>) {
        let Some(span) = context.span(&id) else {
            return;
        };
        let extensions = span.extensions();
        if let (Some(record), Some(writer)) = (extensions.get::<SpanRecord>(), SPAN_WRITER.get()) {
            let mut writer = writer
                .lock()
                .expect("no thread panics while it holds the lock");
            let _ = writeln!(writer, "{}", record.to_json(span.name()));
        }
    }
}

/// Visitor that separates the remote parent from the other fields of a span.
#[derive(Default)]
struct FieldVisitor {
    remote_parent: Option<TraceContext>,
    fields: Map<String, Value>,
}

impl Visit for FieldVisitor {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == REMOTE_PARENT_FIELD {
            self.remote_parent = TraceContext::parse(value);
        } else {
            self.fields.insert(field.name().into(), value.into());
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.record_str(field, &format!("{value:?}"));
    }
}
