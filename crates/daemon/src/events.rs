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

/// Returns the text of docs/events.md.
pub fn reference() -> String {
    let mut page = String::from(
        "# Log events\n\nEach log line carries the number of its event. \
         This page is written from `crates/daemon/src/events.rs`; \
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
