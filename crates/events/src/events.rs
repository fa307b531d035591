//! The catalogue of numbered log events.
//!
//! Operators search and alert by number, so a number never changes its meaning
//! and is never used again. docs/events.md is written from this catalogue, and
//! a test fails when the two differ.

use std::fmt;

use spdlog::Level;

/// One kind of log event.
#[derive(Debug)]
pub struct EventKind {
    /// The number that names the kind, as in `RG1001`.
    pub number: u16,
    /// The severity.
    pub level: Level,
    /// What happened, in a few words.
    pub title: &'static str,
    /// The names of the fields that the event carries.
    pub fields: &'static str,
    /// What an operator should do.
    pub action: &'static str,
}

macro_rules! catalogue {
    ($($name:ident = $number:literal, $level:ident, $title:literal, $fields:literal, $action:literal;)*) => {
        $(
            #[doc = concat!("Event RG", $number, ": ", $title, ".")]
            pub const $name: EventKind = EventKind {
                number: $number,
                level: Level::$level,
                title: $title,
                fields: $fields,
                action: $action,
            };
        )*

        /// All kinds of events, in the order of their numbers.
        pub const CATALOGUE: &[EventKind] = &[$($name),*];
    };
}

catalogue! {
    STARTED = 1001, Info, "daemon started", "host, failure_domain, callers, peers, operators", "None.";
    STOPPING = 1002, Info, "graceful stop began", "running", "None; new calls are refused with \"not run\".";
    STOPPED = 1003, Info, "daemon stopped", "cut_off, took_ms", "If cut_off is not 0, calls outlived the stop deadline: raise policy.stop_deadline_s.";
    PAUSED = 1004, Warn, "daemon was paused", "late_ms", "Look for CPU starvation or suspension of the host; the daemon checks its version before it goes on.";
    ISOLATED = 1005, Warn, "no neighbour answered after a pause", "", "The daemon serves what it has; look at the network of the host.";
    FRESH_AGAIN = 1006, Info, "a neighbour answered after a pause", "", "None.";
    VERSION_IN_FORCE = 2001, Info, "configuration version in force", "revision, source, took_ms, unconfirmed", "None. An unconfirmed version was taken from the platform without a peer.";
    VERSION_REFUSED = 2002, Error, "configuration version refused", "revision, reasons", "Correct the files and publish a greater revision; the last accepted version stays in force.";
    VERSION_CONFLICT = 2003, Error, "two contents with one revision", "revision, root, other", "Two operators published the same revision; publish a greater one.";
    VALUE_REJECTED = 2004, Warn, "value does not match its digest", "key, source", "Expected while the platform is torn; if it goes on, look at the platform or the peer named.";
    PLATFORM_FAILED = 2005, Warn, "platform does not answer", "key, error", "Look at the platform; versions in force stay.";
    ROLES_CHANGED = 2007, Info, "roles changed", "roles", "None.";
    HOST_CHANGED = 2101, Info, "state of a host changed", "host, state, incarnation", "None.";
    PEER_UP = 3001, Debug, "peer session opened", "host, failure_domain, address", "None.";
    PEER_DOWN = 3002, Debug, "peer session closed", "host, reason", "None.";
    PEER_REFUSED = 3003, Error, "peer refused", "address, reason", "A peer has no valid key, or claims another host or failure domain than its certificate; look at its keys.";
    PEER_SILENT = 3004, Warn, "peer session is silent", "host", "Calls on the session got their verdict; look at the path between the two hosts.";
    MESSAGE_REJECTED = 3005, Warn, "message rejected", "host, reason", "A peer sent an oversize or malformed message; look at its release.";
    DIAL_FAILED = 3006, Debug, "peer cannot be dialled", "address", "None for a host that is being replaced; else look at the path.";
    TARGET_COLD = 4001, Warn, "target is in cold start", "service, limit", "None; its limit doubles with each step while answers are good.";
    TARGET_CRASHED = 4002, Error, "target crashed with calls under way", "service, calls", "Look at the target's own logs.";
    REQUEST_QUARANTINED = 4003, Error, "request quarantined", "service, fingerprint", "A request crashed two targets; find it by its fingerprint at the caller.";
    OVERLOADED = 4004, Warn, "calls are shed", "refused", "Add workers, or lower the load; see the page on overload.";
    REQUEST_REJECTED = 4005, Warn, "malformed or oversize request", "reason", "The caller's request was refused; nothing of it ran.";
    TELEMETRY_FAILED = 5001, Warn, "telemetry cannot be sent", "receiver, error", "Look at the receiver; calls are not affected.";
    SIDECAR_STARTED = 6001, Info, "sidecar started", "host, failure_domain, service, callers, peers, target, store, transport", "None. The platform hands out no keys, so daemons talk to each other in plain text there.";
    SIDECAR_STOPPING = 6002, Info, "sidecar stop began", "running, waiting", "None; it is not ready from here on, and serves what still comes.";
    SIDECAR_STOPPED = 6003, Info, "sidecar stopped", "took_ms, cut_off", "If cut_off is not 0, requests outlived the stop deadline.";
    SETTINGS_RELOADED = 6004, Info, "settings reloaded", "service, target", "None.";
    SETTINGS_REFUSED = 6005, Error, "settings refused", "fault", "Correct the field; the settings before stay in force.";
    READY_CHANGED = 6006, Info, "readiness changed", "ready, reason", "None.";
    STORE_LOST = 6101, Warn, "store lost", "error, revision", "Look at the platform's store; the state stays as it was, or peers tell it.";
    STORE_REGAINED = 6102, Info, "store regained", "revision, away_ms", "None.";
    ITEM_UNREADABLE = 6103, Warn, "item of the store cannot be read", "item", "Another writer left it; it names no target and changes nothing.";
    BELIEF_CHANGED = 6104, Info, "belief changed", "change, source, revision", "None.";
    STATE_TOLD = 6105, Info, "state taken from a peer", "peer, from, to", "None; the store could not be read in time.";
    PEER_STATE_FAILED = 6106, Debug, "peer did not tell its state", "peer, error", "None while other peers do.";
    TARGET_DOWN = 6201, Warn, "target is down", "error", "Look at the target's own logs.";
    TARGET_UP = 6202, Info, "target is up", "target, cold_ms", "None.";
    TARGET_UNSURE = 6203, Info, "target is taken for cold until it was asked", "reason", "None; it may have crashed and started again.";
    REQUEST_SERVED = 6301, Info, "request answered", "route, target, status, attempts, took_ms, version, revision", "None.";
    REQUEST_REFUSED = 6302, Info, "request refused, not run", "route, place, owner, retry_after_ms, tried, took_ms, left_ms, version, revision", "If many: see the page on overload.";
    REQUEST_FAILED = 6303, Warn, "request failed, may have run", "route, target, reason, status, attempts, took_ms, version, revision", "Look for the request's lines at the target's host.";
    REQUEST_REPEATED = 6304, Info, "request sent again", "route, target, reason, attempt", "None; counts against the retry budget.";
    OWNER_REFUSED = 6305, Info, "owner refused a request", "target, reason, occupied, limit, wait_ms", "None; its sender tries another target.";
    OWNER_FAILED = 6306, Warn, "target did not answer a request well", "target, reason, took_ms", "Look at the target's own logs.";
    BODY_REFUSED = 6307, Info, "owner refused a long body, not sent", "retry_after_ms", "None; its sender tries another target. If many: the host's link is full.";
    BODY_UNASKED = 6308, Info, "no lease for a long body, not sent", "peer, error", "None; its sender tries another target. Look at the peer's host.";
    LINES_LEFT_OUT = 6401, Info, "log lines left out", "served, other", "None; the volume of the log is bounded.";
}

impl EventKind {
    /// Writes one event with its fields to the process's log.
    ///
    /// Fields never carry the path, tenant, key or body of a request: a request
    /// with home regions must not be logged elsewhere, and logs travel.
    pub fn emit(&self, fields: fmt::Arguments<'_>) {
        spdlog::log!(self.level, "RG{} {}", self.number, self.title, kv: {
            event = self.number,
            detail = fields.to_string(),
        });
    }
}

impl EventKind {
    /// Writes one event that concerns a request, by the identity that its caller
    /// gave it.
    pub fn emit_request(&self, request: &str, fields: fmt::Arguments<'_>) {
        spdlog::log!(self.level, "RG{} {}", self.number, self.title, kv: {
            event = self.number,
            request = request.to_owned(),
            detail = fields.to_string(),
        });
    }
}

/// Returns the text of docs/events.md.
pub fn reference() -> String {
    let mut page = String::from(
        "# Log events\n\nEach log line carries the number of its event. \
         This page is written from `crates/events/src/events.rs`; \
         `UPDATE_DOCS=1 cargo test -p radishgauge-daemon --test events` rewrites it.\n\n\
         | event | level | title | fields | what to do |\n|---|---|---|---|---|\n",
    );
    for kind in CATALOGUE {
        let level = format!("{:?}", kind.level).to_lowercase();
        page += &format!(
            "| RG{} | {level} | {} | {} | {} |\n",
            kind.number, kind.title, kind.fields, kind.action
        );
    }
    page
}
