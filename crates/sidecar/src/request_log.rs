//! The rate-limited log of decisions on requests, and of items that cannot be read.
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
use radishgauge_platform::items::ItemFault;

/// The greatest rate of lines about served requests, in lines per second.
const SERVED_LINES_PER_S: f64 = 4.0;

/// The greatest rate of lines about requests that were refused, failed or
/// retried, in lines per second.
const OTHER_LINES_PER_S: f64 = 25.0;

/// The greatest rate of lines about items of the store that cannot be read, in lines
/// per second.
const ITEM_LINES_PER_S: f64 = 2.0;

/// The length of the longest burst, in seconds of lines at the greatest rate.
const BURST_S: f64 = 2.0;

/// The least time between two events that report dropped lines.
const DROPPED_LINES_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct LineBudget {
    rate: f64,
    tokens: f64,
    refilled_at: Duration,
    dropped: u64,
}

impl LineBudget {
    fn new(rate: f64) -> LineBudget {
        LineBudget {
            rate,
            tokens: rate * BURST_S,
            refilled_at: Duration::ZERO,
            dropped: 0,
        }
    }

    fn try_spend(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + passed * self.rate).min(self.rate * BURST_S);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
struct RequestLogState {
    served: LineBudget,
    other: LineBudget,
    items: LineBudget,
    last_report: Duration,
}

/// Writes lines about requests within the rate limits.
#[derive(Debug)]
pub struct RequestLog {
    state: Mutex<RequestLogState>,
}

impl Default for RequestLog {
    fn default() -> RequestLog {
        RequestLog {
            state: Mutex::new(RequestLogState {
                served: LineBudget::new(SERVED_LINES_PER_S),
                other: LineBudget::new(OTHER_LINES_PER_S),
                items: LineBudget::new(ITEM_LINES_PER_S),
                last_report: Duration::ZERO,
            }),
        }
    }
}

impl RequestLog {
    /// Writes a line about a request that was served, if the limit allows it.
    pub fn log_served(&self, request: &str, fields: fmt::Arguments<'_>, now: Duration) {
        if self.allows(|state| &mut state.served, now) {
            events::REQUEST_SERVED.emit_request(request, fields);
        }
    }

    /// Writes a line of the given kind about any other decision on a request,
    /// if the limit allows it.
    pub fn log_other(
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

    /// Writes a line about an item of the store that cannot be read, and returns whether
    /// the limit allowed it. Other writers may leave any number of such items at once.
    pub fn log_item(&self, fault: &ItemFault, now: Duration) -> bool {
        let is_allowed = self.allows(|state| &mut state.items, now);
        if is_allowed {
            events::ITEM_UNREADABLE.emit(format_args!("item={fault}"));
        }
        is_allowed
    }

    fn allows<F>(&self, budget: F, now: Duration) -> bool
    where
        F: FnOnce(&mut RequestLogState) -> &mut LineBudget,
    {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_sub(state.last_report) >= DROPPED_LINES_INTERVAL {
            state.last_report = now;
            let served = std::mem::take(&mut state.served.dropped);
            let other = std::mem::take(&mut state.other.dropped);
            let items = std::mem::take(&mut state.items.dropped);
            if served + other + items > 0 {
                events::LINES_DROPPED
                    .emit(format_args!("served={served} other={other} items={items}"));
            }
        }
        budget(&mut state).try_spend(now)
    }
}
