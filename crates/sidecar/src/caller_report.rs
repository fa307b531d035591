//! Reports the connections of callers that were closed, as metrics and in the log.

use std::time::Duration;

use radishgauge_events::events;
use radishgauge_net::caller_registry::ClosedCounts;
use radishgauge_net::connection_table::CloseReason;

use crate::metrics::SidecarMetrics;

/// The least time between two log lines.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// What was reported of the connections that were closed.
#[derive(Debug, Default)]
pub(crate) struct CallerReport {
    /// The counts that the metrics have.
    counted: ClosedCounts,
    /// The counts up to the last log line.
    logged: ClosedCounts,
    /// When the last line was written.
    line_written: Option<Duration>,
}

impl CallerReport {
    /// Adds new closings to the metrics, and writes a line about those that gave way: at
    /// once about the first ones, and then at intervals.
    pub(crate) fn update(&mut self, metrics: &SidecarMetrics, counts: ClosedCounts, now: Duration) {
        for reason in CloseReason::ALL {
            let new = counts.of(reason) - self.counted.of(reason);
            metrics.add_closed_connections(reason.name(), new);
        }
        let refused = counts.refused - self.counted.refused;
        metrics.add_closed_connections("refused", refused);
        self.counted = counts;
        let is_due = |written| now >= written + LINE_INTERVAL;
        if self.line_written.is_none_or(is_due) && self.has_news(&counts) {
            self.write_line(&counts);
            self.logged = counts;
            self.line_written = Some(now);
        }
    }

    /// Returns whether connections gave way that no line is about.
    fn has_news(&self, counts: &ClosedCounts) -> bool {
        counts.given_way() > self.logged.given_way()
    }

    fn write_line(&self, counts: &ClosedCounts) {
        let new = |reason| counts.of(reason) - self.logged.of(reason);
        events::CALLERS_CLOSED.emit(format_args!(
            "silent={} idle={} slow_sender={} slow_reader={} refused={}",
            new(CloseReason::Silent),
            new(CloseReason::Idle),
            new(CloseReason::SlowSender),
            new(CloseReason::SlowReader),
            counts.refused - self.logged.refused,
        ));
    }
}
