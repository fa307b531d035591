//! The rate-limited log of decisions on requests.
//!
//! Most lines would be about served requests, which give the least information,
//! so failures and refusals have a separate limit. Dropped lines are counted,
//! and the counts are logged.

use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use radishgauge_events::events;
use radishgauge_events::events::EventKind;

/// The greatest rate of lines about served requests, in lines per second.
const SERVED_LINES_PER_S: f64 = 4.0;

/// The greatest rate of lines about requests that were refused, failed or
/// retried, in lines per second.
const OTHER_LINES_PER_S: f64 = 25.0;

/// The length of the longest burst, in seconds of lines at the greatest rate.
const BURST_S: f64 = 2.0;

/// The least time between two events that report dropped lines.
const DROPPED_LINES_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct LineBudget {
    rate: f64,
    tokens: f64,
    filled: Duration,
    left_out: u64,
}

impl LineBudget {
    fn new(rate: f64) -> LineBudget {
        LineBudget {
            rate,
            tokens: rate * BURST_S,
            filled: Duration::ZERO,
            left_out: 0,
        }
    }

    fn take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + passed * self.rate).min(self.rate * BURST_S);
        if self.tokens < 1.0 {
            self.left_out += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
struct RecordState {
    served: LineBudget,
    other: LineBudget,
    said: Duration,
}

/// Writes lines about requests within the rate limits.
#[derive(Debug)]
pub struct RequestRecord {
    state: Mutex<RecordState>,
}

impl Default for RequestRecord {
    fn default() -> RequestRecord {
        RequestRecord {
            state: Mutex::new(RecordState {
                served: LineBudget::new(SERVED_LINES_PER_S),
                other: LineBudget::new(OTHER_LINES_PER_S),
                said: Duration::ZERO,
            }),
        }
    }
}

impl RequestRecord {
    /// Writes a line about a request that was served, if the limit allows it.
    pub fn served(&self, request: &str, fields: fmt::Arguments<'_>, now: Duration) {
        if self.allows(|state| &mut state.served, now) {
            events::REQUEST_SERVED.emit_request(request, fields);
        }
    }

    /// Writes a line of the given kind about any other decision on a request,
    /// if the limit allows it.
    pub fn other(
        &self,
        kind: &EventKind,
        request: &str,
        fields: fmt::Arguments<'_>,
        now: Duration,
    ) {
        if self.allows(|state| &mut state.other, now) {
            kind.emit_request(request, fields);
        }
    }

    fn allows<F>(&self, budget: F, now: Duration) -> bool
    where
        F: FnOnce(&mut RecordState) -> &mut LineBudget,
    {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_sub(state.said) >= DROPPED_LINES_INTERVAL {
            state.said = now;
            let served = std::mem::take(&mut state.served.left_out);
            let other = std::mem::take(&mut state.other.left_out);
            if served + other > 0 {
                events::LINES_DROPPED.emit(format_args!("served={served} other={other}"));
            }
        }
        budget(&mut state).take(now)
    }
}
