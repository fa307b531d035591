//! Shares of scarce capacity: which kinds of requests go first, and how much the
//! others still get.
//!
//! Kinds of requests are served in the order of their urgency, so the most urgent
//! ones lose least. A kind that is served far less often than all requests
//! together is treated as one of the most urgent until it has caught up. This is
//! strict priority with a proportional loss-rate floor, after the proportional
//! differentiated services of Dovrolis, Stoica and Ramanathan. The rule only orders
//! requests that compete, so it never leaves capacity unused.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// The least served fraction of a kind, relative to the served fraction of all
/// requests. Callers count a kind as starved below a quarter.
const FLOOR_FRACTION: f64 = 0.35;

/// The time constant with which counted requests lose their weight. It contains
/// several requests even of routes with few of them.
const COUNT_DECAY_TIME: Duration = Duration::from_secs(10);

/// The weight of arrivals from which a kind counts as present.
const MIN_PRESENT_WEIGHT: f64 = 0.5;

/// The greatest number of services whose requests are counted.
const MAX_SERVICES: usize = 1024;

/// The greatest number of kinds that are counted at the same time.
const MAX_KINDS: usize = 256;

/// Requests that are served equally often.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// The name of the route.
    pub route: SmolStr,
    /// The priority of the request, or for a call the priority of the request on
    /// whose behalf it is made; 0 is the most urgent.
    pub urgency: u32,
    /// Whether a target makes the requests.
    pub is_call: bool,
}

/// The decaying numbers of requests that arrived and were served.
#[derive(Debug, Clone, Copy, Default)]
struct ServedCounts {
    arrived: f64,
    served: f64,
    at: Duration,
}

impl ServedCounts {
    fn at(&self, now: Duration) -> ServedCounts {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let weight = (-age / COUNT_DECAY_TIME.as_secs_f64()).exp();
        ServedCounts {
            arrived: self.arrived * weight,
            served: self.served * weight,
            at: now,
        }
    }

    fn record(&mut self, served: bool, now: Duration) {
        *self = self.at(now);
        self.arrived += 1.0;
        if served {
            self.served += 1.0;
        }
    }
}

/// How often each kind of request was served recently.
#[derive(Debug, Default)]
pub struct ServedShares {
    kinds: IndexMap<RequestKind, ServedCounts>,
    all: ServedCounts,
}

impl ServedShares {
    /// Counts a request of a kind, and whether it was served.
    pub fn record(&mut self, kind: &RequestKind, served: bool, now: Duration) {
        self.all.record(served, now);
        if let Some(counts) = self.kinds.get_mut(kind) {
            counts.record(served, now);
            return;
        }
        if self.kinds.len() >= MAX_KINDS {
            self.kinds
                .retain(|_, counts| counts.at(now).arrived >= MIN_PRESENT_WEIGHT);
        }
        if self.kinds.len() < MAX_KINDS {
            let mut counts = ServedCounts::default();
            counts.record(served, now);
            self.kinds.insert(kind.clone(), counts);
        }
    }

    /// Returns the urgency with which the next request of a kind competes: its own,
    /// or that of the most urgent recent kind while it is served too rarely.
    pub fn effective_urgency(&self, kind: &RequestKind, now: Duration) -> u32 {
        if !self.is_below_floor(kind, now) {
            return kind.urgency;
        }
        self.kinds
            .iter()
            .filter(|(_, counts)| counts.at(now).arrived >= MIN_PRESENT_WEIGHT)
            .map(|(kind, _)| kind.urgency)
            .fold(kind.urgency, u32::min)
    }

    /// Returns whether one more served request leaves a kind at or below its floor.
    fn is_below_floor(&self, kind: &RequestKind, now: Duration) -> bool {
        let Some(counts) = self.kinds.get(kind) else {
            return false;
        };
        let counts = counts.at(now);
        let all = self.all.at(now);
        let floor = FLOOR_FRACTION * all.served / all.arrived.max(1.0);
        counts.served + 1.0 <= floor * (counts.arrived + 1.0)
    }
}

/// How often each kind of request was served recently, by service. Services are
/// counted separately because their requests do not compete.
#[derive(Debug, Default)]
pub struct ServiceShares {
    services: IndexMap<SmolStr, ServedShares>,
}

impl ServiceShares {
    /// Counts a request of a kind for a service, and whether it was served.
    pub fn record(&mut self, service: &SmolStr, kind: &RequestKind, served: bool, now: Duration) {
        if let Some(shares) = self.services.get_mut(service) {
            shares.record(kind, served, now);
        } else if self.services.len() < MAX_SERVICES {
            let shares = self.services.entry(service.clone()).or_default();
            shares.record(kind, served, now);
        }
    }

    /// Returns the urgency with which the next request of a kind competes at a
    /// service; see [`ServedShares::effective_urgency`].
    pub fn effective_urgency(&self, service: &str, kind: &RequestKind, now: Duration) -> u32 {
        let shares = self.services.get(service);
        shares.map_or(kind.urgency, |shares| shares.effective_urgency(kind, now))
    }
}
