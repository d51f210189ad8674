//! Log lines on standard error or standard output.

use eyre::{Result, WrapErr};
use log::LevelFilter;
use logforth::Append;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::bridge::log::LogBridge;
use logforth::layout::{JsonLayout, TextLayout};

/// Lines that wait for the thread that writes them.
const QUEUED_LINES: usize = 1_024;

/// Form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object.
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
                "Failed to read log format {text:?}: want text or json"
            )),
        }
    }
}

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogOutput {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// What is logged, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// Form of a line.
    pub format: LogFormat,
    /// Where lines go.
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

/// Starts writing logs. Fails if the process already has a logger.
pub fn start_logs(settings: &LogSettings) -> Result<()> {
    let lines: Box<dyn Append> = match (settings.output, settings.format) {
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
    // A reader that stalls must not hold up requests, so lines beyond the queue are dropped.
    let append = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(QUEUED_LINES))
        .overflow_drop_incoming()
        .append(lines)
        .build();
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))
        .wrap_err("Failed to start logs: the process already has a logger")?;
    log::set_max_level(settings.level);
    Ok(())
}
