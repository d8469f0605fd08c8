//! Structured logs as text or JSON lines, on standard error or standard output.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use anyhow::Context;
use hickoryspan_core::types::ParseValueError;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{SinkPropAccess, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

use crate::line_queue::LineQueue;

/// Bytes of log lines that are queued for standard output at most.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl fmt::Display for LogFormat {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

impl FromStr for LogFormat {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ParseValueError::new("LogFormat", text, "text or json")),
        }
    }
}

/// Lowest severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Logs only failures.
    Error,
    /// Logs failures and conditions that may lead to them.
    Warn,
    /// Logs state changes and everything that `Warn` logs.
    #[default]
    Info,
    /// Logs individual requests and everything that `Info` logs.
    Debug,
    /// Logs everything.
    Trace,
}

impl LogLevel {
    const NAMES: [(Self, &'static str); 5] = [
        (Self::Error, "error"),
        (Self::Warn, "warn"),
        (Self::Info, "info"),
        (Self::Debug, "debug"),
        (Self::Trace, "trace"),
    ];

    fn to_filter(self) -> LevelFilter {
        LevelFilter::MoreSevereEqual(match self {
            Self::Error => spdlog::Level::Error,
            Self::Warn => spdlog::Level::Warn,
            Self::Info => spdlog::Level::Info,
            Self::Debug => spdlog::Level::Debug,
            Self::Trace => spdlog::Level::Trace,
        })
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = Self::NAMES.iter().find(|(level, _)| level == self).map(|(_, name)| *name);
        formatter.write_str(name.unwrap_or_default())
    }
}

impl FromStr for LogLevel {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::NAMES.iter().find(|(_, name)| *name == text).map(|(level, _)| *level).ok_or_else(
            || ParseValueError::new("LogLevel", text, "error, warn, info, debug or trace"),
        )
    }
}

fn build_stderr_sink(formatter: impl Formatter + 'static) -> anyhow::Result<StdStreamSink> {
    StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(formatter)
        .build()
        .context("install logs: build the sink")
}

/// Installs the default logger of the process, which writes to standard error.
pub fn install_logs(format: LogFormat, level: LogLevel) -> anyhow::Result<()> {
    let sink = match format {
        LogFormat::Text => build_stderr_sink(FullFormatter::new()),
        LogFormat::Json => build_stderr_sink(JsonFormatter::new()),
    }?;
    install_sink(sink, level)
}

/// Installs a default logger that writes JSON lines to standard output from its own thread. Lines are dropped while
/// the queue is full, so that a stalled reader of the output never blocks the process, not even at its end.
pub fn install_stdout_logs(level: LogLevel) -> anyhow::Result<()> {
    let sink = LineQueue::start(MAX_QUEUED_BYTES, std::io::stdout())
        .context("install logs: start the thread")?;
    sink.set_formatter(Box::new(JsonFormatter::new()));
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level.to_filter())
        // The output stream writes each complete line by itself, so lines need no flush.
        .flush_level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Critical))
        .build()
        .context("install logs: build the logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn install_sink(sink: StdStreamSink, level: LogLevel) -> anyhow::Result<()> {
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level.to_filter())
        .flush_level_filter(LevelFilter::All)
        .build()
        .context("install logs: build the logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
