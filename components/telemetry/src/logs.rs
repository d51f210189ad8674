//! Logger that writes to standard error or standard output.

use eyre::{Result, WrapErr};
use log::LevelFilter;
use logforth::Append;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::bridge::log::LogBridge;
use logforth::layout::{JsonLayout, TextLayout};

/// Maximum number of lines in the queue of the writing thread.
const MAX_QUEUED_LINES: usize = 1_024;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// One line of plain text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

impl std::fmt::Display for LogFormat {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!(
                "Failed to read log format {text:?}: expected text or json"
            )),
        }
    }
}

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogOutput {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Settings of the logger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum severity of log lines.
    pub level: LevelFilter,
    /// Format of log lines.
    pub format: LogFormat,
    /// Destination of log lines.
    pub output: LogOutput,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            format: LogFormat::Text,
            output: LogOutput::Stderr,
        }
    }
}

/// Installs the logger of the process. Fails if the process already has one.
pub fn start_logs(settings: &LogSettings) -> Result<()> {
    let writer: Box<dyn Append> = match (settings.output, settings.format) {
        (LogOutput::Stderr, LogFormat::Text) => {
            Box::new(Stderr::default().with_layout(TextLayout::default().no_color()))
        }
        (LogOutput::Stderr, LogFormat::Json) => {
            Box::new(Stderr::default().with_layout(JsonLayout::default()))
        }
        (LogOutput::Stdout, LogFormat::Text) => {
            Box::new(Stdout::default().with_layout(TextLayout::default().no_color()))
        }
        (LogOutput::Stdout, LogFormat::Json) => {
            Box::new(Stdout::default().with_layout(JsonLayout::default()))
        }
    };
    // Requests must not wait for a slow reader of the logs, so lines are dropped when the queue is
    // full.
    let async_writer = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(MAX_QUEUED_LINES))
        .overflow_drop_incoming()
        .append(writer)
        .build();
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(async_writer))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))
        .wrap_err("Failed to install the logger: the process already has one")?;
    log::set_max_level(settings.level);
    Ok(())
}
