//! Structured logs of the process: one JSON object a line on standard output.

use std::sync::Arc;

use anyhow::Result;
use radishgauge_schema::settings::LogLevel;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

/// Makes the process's log write JSON lines of at least this severity.
///
/// # Errors
///
/// When the logger cannot be built.
pub fn open(level: LogLevel) -> Result<()> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let least = match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Unspecified | LogLevel::Info => Level::Info,
        LogLevel::Warn => Level::Warn,
        LogLevel::Error => Level::Error,
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(least))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes no log lines; for programs that open many daemons in one process.
///
/// # Errors
///
/// When the logger cannot be built.
pub fn silence() -> Result<()> {
    let logger = Logger::builder().level_filter(LevelFilter::Off).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
