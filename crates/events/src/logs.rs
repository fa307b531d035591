//! Setup of the process's log: one JSON object per line on standard output.

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

/// The number of lines that are queued for the reader of standard output; a few
/// seconds of a normal log volume.
const QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(512).unwrap();

/// Makes the process's log write events of at least this severity as JSON lines.
///
/// # Errors
///
/// When the logger cannot be built.
pub fn open(level: LogLevel) -> Result<()> {
    let stream = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    // A slow reader of the log must not delay a request, so lines are dropped
    // while the queue is full.
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

/// Disables the process's log; for programs that run many daemons in one process.
///
/// # Errors
///
/// When the logger cannot be built.
pub fn silence() -> Result<()> {
    let logger = Logger::builder().level_filter(LevelFilter::Off).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
