//! The open connections of callers, and which of them gives way to another.
//!
//! A connection that has never sent a complete request gives way first, then the one that
//! has waited longest for its next request. A connection with a request under way gives
//! way only if its caller is late: it has transferred nothing for a time, or fewer bytes
//! than the least rate asks for. A request that runs keeps its connection, as its caller can do nothing but
//! wait.

use std::time::Duration;

use slotmap::SlotMap;

/// The fraction of the greatest lateness that is tolerated when no memory is free: a caller
/// that transfers all the time is not late.
const LEAST_TOLERANCE: f64 = 0.02;

slotmap::new_key_type! {
    /// Names an open connection.
    pub struct ConnectionKey;
}

/// What happens on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No complete head of a request has arrived since the connection was opened.
    Fresh,
    /// The next request is awaited.
    Idle,
    /// A request is arriving.
    Receiving,
    /// A request has arrived, and its answer is awaited.
    Serving,
    /// An answer is being written.
    Answering,
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// It gives way: it has never sent a complete request.
    Silent,
    /// It gives way: its next request was awaited longest.
    Idle,
    /// It gives way: its caller sends a request too slowly.
    SlowSender,
    /// It gives way: its caller reads an answer too slowly.
    SlowReader,
    /// No request has arrived for the time that is allowed.
    Expired,
}

impl CloseReason {
    /// All reasons, in the order of their numbers.
    pub const ALL: [CloseReason; 5] = [
        CloseReason::Silent,
        CloseReason::Idle,
        CloseReason::SlowSender,
        CloseReason::SlowReader,
        CloseReason::Expired,
    ];

    /// Returns the name of the reason in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Silent => "silent",
            CloseReason::Idle => "idle",
            CloseReason::SlowSender => "slow_sender",
            CloseReason::SlowReader => "slow_reader",
            CloseReason::Expired => "expired",
        }
    }

    /// Returns whether the connection holds bytes that a reset frees at once.
    pub(crate) fn needs_reset(self) -> bool {
        matches!(self, CloseReason::SlowSender | CloseReason::SlowReader)
    }
}

/// A connection that is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClosingConnection {
    /// The connection.
    pub key: ConnectionKey,
    /// Why it gives way.
    pub reason: CloseReason,
}

/// What the callers of a listener may do with their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableLimits {
    /// The greatest number of open connections.
    pub places: usize,
    /// How late a caller may be when its place is needed, or all memory is free.
    pub stall: Duration,
    /// The least number of bytes a second that a caller sends of a request or takes of an
    /// answer.
    pub least_rate: u32,
}

#[derive(Debug, Clone, Copy)]
struct TableEntry {
    phase: ConnectionPhase,
    /// When the phase began.
    since: Duration,
    /// The bytes that were transferred in the phase.
    moved: u64,
    /// When bytes were last transferred, or the phase began.
    progress: Duration,
}

impl TableEntry {
    fn begin(phase: ConnectionPhase, now: Duration) -> TableEntry {
        TableEntry {
            phase,
            since: now,
            moved: 0,
            progress: now,
        }
    }
}

/// The open connections of a listener. Times are those of one clock.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: TableLimits,
    entries: SlotMap<ConnectionKey, TableEntry>,
}

impl ConnectionTable {
    /// Returns a table without connections.
    pub fn new(limits: TableLimits) -> ConnectionTable {
        ConnectionTable {
            limits,
            entries: SlotMap::with_key(),
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a connection if there is a place for it.
    pub fn open(&mut self, now: Duration) -> Option<ConnectionKey> {
        if self.entries.len() >= self.limits.places {
            return None;
        }
        let entry = TableEntry::begin(ConnectionPhase::Fresh, now);
        Some(self.entries.insert(entry))
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        self.entries.remove(key);
    }

    /// Records that another phase of a connection begins.
    pub fn enter(&mut self, key: ConnectionKey, phase: ConnectionPhase, now: Duration) {
        if let Some(entry) = self.entries.get_mut(key) {
            *entry = TableEntry::begin(phase, now);
        }
    }

    /// Returns the phase of a connection; `None` if it was closed.
    pub fn phase(&self, key: ConnectionKey) -> Option<ConnectionPhase> {
        self.entries.get(key).map(|entry| entry.phase)
    }

    /// Records bytes of a request or an answer that were transferred.
    pub fn record_moved(&mut self, key: ConnectionKey, bytes: usize, now: Duration) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.moved += bytes as u64;
            entry.progress = now;
        }
    }

    /// Returns the connection that gives way to a new one; `None` if all are in use by
    /// callers that are in time.
    pub fn place_victim(&self, now: Duration) -> Option<ClosingConnection> {
        self.longest(ConnectionPhase::Fresh, CloseReason::Silent, now)
            .or_else(|| self.longest(ConnectionPhase::Idle, CloseReason::Idle, now))
            .or_else(|| self.late_victim(self.limits.stall, now))
    }

    /// Returns the connection that gives way when this fraction of the memory is free. The
    /// less is free, the less late a caller may be.
    pub fn memory_victim(&self, free: f64, now: Duration) -> Option<ClosingConnection> {
        let tolerance = self.limits.stall.mul_f64(free.clamp(LEAST_TOLERANCE, 1.0));
        self.late_victim(tolerance, now)
    }

    /// Returns the connections on which the next request was awaited for `limit` or longer.
    pub fn expired(&self, limit: Duration, now: Duration) -> Vec<ClosingConnection> {
        let is_expired = |entry: &TableEntry| now.saturating_sub(entry.since) >= limit;
        let awaits_request = |entry: &TableEntry| {
            matches!(entry.phase, ConnectionPhase::Fresh | ConnectionPhase::Idle)
        };
        self.entries
            .iter()
            .filter(|(_, entry)| awaits_request(entry) && is_expired(entry))
            .map(|(key, _)| ClosingConnection {
                key,
                reason: CloseReason::Expired,
            })
            .collect()
    }

    /// Returns the connection that has been in a phase longest.
    fn longest(
        &self,
        phase: ConnectionPhase,
        reason: CloseReason,
        now: Duration,
    ) -> Option<ClosingConnection> {
        let in_phase = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.phase == phase);
        let (key, _) = in_phase.max_by_key(|(_, entry)| now.saturating_sub(entry.since))?;
        Some(ClosingConnection { key, reason })
    }

    /// Returns the connection whose caller is latest, by more than `tolerance`.
    fn late_victim(&self, tolerance: Duration, now: Duration) -> Option<ClosingConnection> {
        let late = self.entries.iter().filter_map(|(key, entry)| {
            let reason = match entry.phase {
                ConnectionPhase::Receiving => CloseReason::SlowSender,
                ConnectionPhase::Answering => CloseReason::SlowReader,
                _ => return None,
            };
            let lateness = self.lateness(entry, now);
            let closing = ClosingConnection { key, reason };
            (lateness > tolerance).then_some((lateness, closing))
        });
        late.max_by_key(|(lateness, _)| *lateness)
            .map(|(_, closing)| closing)
    }

    /// Returns how late a caller is: the time without any transfer, or the time by which
    /// the transfer lags behind the least rate.
    fn lateness(&self, entry: &TableEntry, now: Duration) -> Duration {
        let rate = f64::from(self.limits.least_rate.max(1));
        let in_time = Duration::from_secs_f64(entry.moved as f64 / rate);
        let lag = now.saturating_sub(entry.since).saturating_sub(in_time);
        lag.max(now.saturating_sub(entry.progress))
    }
}
