//! Structured logs of the process: one JSON object a line on standard output.

use std::num::NonZeroUsize;
use std::sync::Arc;

use anyhow::Result;
use radishgauge_schema::settings::LogLevel;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

/// Lines that wait for the reader of standard output; some seconds of an
/// ordinary volume.
const QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(512).unwrap();

/// Makes the process's log write JSON lines of at least this severity.
///
/// # Errors
///
/// When the logger cannot be built.
pub fn open(level: LogLevel) -> Result<()> {
    let stream = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    // A reader that is slow must not hold up a request: lines that find the
    // queue full are left out.
    let pool = ThreadPool::builder().capacity(QUEUED_LINES).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(stream)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
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
