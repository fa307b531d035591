//! The catalogue of numbered log events.
//!
//! Operators search and alert by number, so the meaning of a number never
//! changes, and the number of a removed event is never reused. docs/events.md is
//! generated from this catalogue, and a test fails when it is out of date.

use std::fmt;

use spdlog::Level;

/// One kind of log event.
#[derive(Debug)]
pub struct EventKind {
    /// The number that identifies the kind; 1001 is logged as `RG1001`.
    pub number: u16,
    /// The severity with which the event is logged.
    pub level: Level,
    /// What happened, in a few words.
    pub title: &'static str,
    /// The names of the event's fields, separated by commas.
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

        /// All kinds of events, ordered by number.
        pub const CATALOGUE: &[EventKind] = &[$($name),*];
    };
}

catalogue! {
    STARTED = 1001, Info, "daemon started", "host, failure_domain, callers, peers, operators", "None.";
    STOPPING = 1002, Info, "graceful stop started", "running", "None; new calls are refused with \"not run\".";
    STOPPED = 1003, Info, "daemon stopped", "cut_off, took_ms", "If cut_off is not 0, calls outlived the stop deadline: raise policy.stop_deadline_s.";
    PAUSED = 1004, Warn, "daemon was paused", "late_ms", "Check the host for CPU starvation or suspension; the daemon checks that its version is current before it continues.";
    ISOLATED = 1005, Warn, "no neighbour answered after a pause", "", "The daemon serves with the version that it has; check the network of the host.";
    FRESHNESS_CONFIRMED = 1006, Info, "a neighbour answered after a pause", "", "None.";
    VERSION_IN_FORCE = 2001, Info, "configuration version in force", "revision, source, took_ms, unconfirmed", "None. An unconfirmed version came from the platform alone; no peer confirmed it.";
    VERSION_REFUSED = 2002, Error, "configuration version refused", "revision, reasons", "Correct the files and publish a greater revision; the last accepted version stays in force.";
    VERSION_CONFLICT = 2003, Error, "one revision with two different contents", "revision, root, other", "Two operators published the same revision; publish a greater one.";
    VALUE_REJECTED = 2004, Warn, "value does not match its digest", "key, source", "Expected while the platform returns torn values; if it persists, check the platform or the named peer.";
    PLATFORM_FAILED = 2005, Warn, "platform does not answer", "key, error", "Check the platform; the version in force stays.";
    ROLES_CHANGED = 2007, Info, "roles changed", "roles", "None.";
    HOST_CHANGED = 2101, Info, "state of a host changed", "host, state, incarnation", "None.";
    PEER_UP = 3001, Debug, "peer session opened", "host, failure_domain, address", "None.";
    PEER_DOWN = 3002, Debug, "peer session closed", "host, reason", "None.";
    PEER_REFUSED = 3003, Error, "peer refused", "address, reason", "The peer has no valid key, or claims a host or failure domain that its certificate does not name; check its keys.";
    PEER_SILENT = 3004, Warn, "peer session does not respond", "host", "Calls on the session have ended with a verdict; check the network path between the two hosts.";
    MESSAGE_REJECTED = 3005, Warn, "message rejected", "host, reason", "The peer sent an oversize or malformed message; check its release.";
    DIAL_FAILED = 3006, Debug, "connection to a peer failed", "address", "None for a host that is being replaced; otherwise check the network path.";
    TARGET_COLD = 4001, Warn, "target is in cold start", "service, limit", "None; its limit doubles with each step while its answers are good.";
    TARGET_CRASHED = 4002, Error, "target crashed with calls under way", "service, calls", "Check the target's own logs.";
    REQUEST_QUARANTINED = 4003, Error, "request quarantined", "service, fingerprint", "The request crashed two targets; find it at the caller by its fingerprint.";
    OVERLOADED = 4004, Warn, "calls are shed", "refused", "Add workers or reduce the load; see the page on overload.";
    REQUEST_REJECTED = 4005, Warn, "malformed or oversize request", "reason", "The caller's request was refused and did not run.";
    TELEMETRY_FAILED = 5001, Warn, "telemetry cannot be sent", "receiver, error", "Check the receiver; calls are not affected.";
    SIDECAR_STARTED = 6001, Info, "sidecar started", "host, failure_domain, service, callers, peers, target, store, transport", "None. The platform issues no keys, so daemons communicate in plain text.";
    SIDECAR_STOPPING = 6002, Info, "sidecar stop started", "running, waiting", "None; the sidecar reports that it is not ready, and still serves requests that arrive.";
    SIDECAR_STOPPED = 6003, Info, "sidecar stopped", "took_ms, cut_off", "If cut_off is not 0, requests outlived the stop deadline.";
    SETTINGS_RELOADED = 6004, Info, "settings reloaded", "service, target", "None.";
    SETTINGS_REFUSED = 6005, Error, "settings refused", "fault", "Correct the field; the previous settings stay in force.";
    READY_CHANGED = 6006, Info, "readiness changed", "ready, reason", "None.";
    SETTING_UNAPPLIED = 6007, Warn, "changed setting is not applied", "field, in_force, in_file", "Restart the daemon, which then uses the value of the file.";
    CALLERS_CLOSED = 6008, Warn, "connections of callers gave way", "silent, idle, slow_sender, slow_reader, refused", "None if callers misbehave. The counts are those since the last such line. If ordinary callers are among them, compare the connections with clients.connections and the memory with limits.memoryMb; see OPERATIONS.md.";
    STORE_LOST = 6101, Warn, "store cannot be read", "error, revision", "Check the platform's store; the daemon keeps its state, or receives it from peers.";
    STORE_REGAINED = 6102, Info, "store can be read again", "revision, away_ms", "None.";
    ITEM_UNREADABLE = 6103, Warn, "store item cannot be decoded", "item", "If the item is op/config, correct the field that the line names and publish a greater version; the version in force stays. Else none: another program wrote the item, and it is ignored.";
    PLATFORM_STATE_CHANGED = 6104, Info, "platform state changed", "change, source, health, revision", "None.";
    STATE_RECEIVED = 6105, Info, "state received from a peer", "peer, from, to", "None; the store could not be read in time.";
    STATE_EXCHANGE_FAILED = 6106, Debug, "state exchange with a peer failed", "peer, error", "None while other peers answer.";
    STATE_SOURCE_CHANGED = 6107, Info, "daemon receives the platform's state in another way", "role, revision", "None; the daemon reads the store itself, or follows the daemon on the named host.";
    STATE_IGNORED = 6108, Warn, "received state is ignored", "read, known", "None if a newer state has arrived meanwhile; if it recurs, a part of the fleet or the store is in an earlier era.";
    STORE_RESTORED = 6109, Warn, "store has come back from a copy", "from, to, kept, source", "What the store has lost must be written again; `kept` items hold meanwhile. Positions are written as era/revision.";
    STATE_UNCONFIRMED = 6110, Warn, "state is not confirmed by the store in time", "age_ms, role, revision", "The daemon may lack changes that are in force elsewhere. If RG6101 names no fault of the store, look at the daemon that `role` names and at the one that it follows in turn.";
    STATE_CONFIRMED = 6111, Info, "state is confirmed by the store again", "after_ms, role, revision", "None.";
    STORE_MOVED = 6112, Info, "store is read at another address", "from, to, revision", "None; the settings name the new address. The known state and its position are kept.";
    LAST_WORD_KEPT = 6113, Info, "store has an earlier entry of a target than its last one", "word, revision", "None; the store has done a write of the target late. What the target said last holds, and other daemons are told, until it writes again.";
    TARGET_DOWN = 6201, Warn, "target is down", "error", "Check the target's own logs.";
    TARGET_UP = 6202, Info, "target is up", "target, cold_ms", "None.";
    TARGET_RESTART_SUSPECTED = 6203, Info, "target is treated as cold until its next health check", "reason", "None; it may have crashed and restarted.";
    TARGET_RATE_LIMITED = 6204, Info, "target declares a rate limit", "target, per_second", "Find out what the target lacks; its owner sends it no more than this rate.";
    TARGET_RATE_LIMIT_LIFTED = 6205, Info, "target declares no rate limit any more", "target", "None.";
    TARGET_RATE_LIMIT_UNREADABLE = 6206, Warn, "target's rate limit cannot be read", "target, known", "Correct the target; the limit in `known` stays in force.";
    TARGET_LEAVING = 6207, Info, "target says that it leaves", "target, incarnation, registered", "None; it gets no new requests, whatever its registration says.";
    TARGET_ENDED = 6208, Warn, "target has ended", "end, cut_off, suspected, connection", "Check the target's own logs. `suspected` are the requests that may have caused it; see the page on requests that end targets.";
    REQUEST_SUSPECTED = 6209, Warn, "targets end under a request", "fingerprint, ends, quarantined", "If `quarantined` is true, find the request at its caller by the fingerprint in RG6303 and RG6306.";
    REQUEST_CLEARED = 6210, Info, "a request under which targets had ended ran well", "fingerprint, ends, target, status, run_ms", "None; it is suspected no longer.";
    SUSPECT_EXCHANGE_FAILED = 6211, Debug, "exchange of suspected requests with a peer failed", "peer, error", "None while other peers answer.";
    QUARANTINE_LEARNED = 6212, Warn, "a request is quarantined by news of a peer", "fingerprint, ends", "As for RG6209. The time since that line at the owner is the delay of the news.";
    REQUEST_SERVED = 6301, Info, "request answered", "route, tenant, target, status, attempts, line, took_ms, version, revision", "None.";
    REQUEST_REFUSED = 6302, Info, "request refused, not run", "route, tenant, place, owner, urgency, competes_as, line, retry_after_ms, tried, took_ms, left_ms, version, revision", "If frequent, see the page on overload.";
    REQUEST_FAILED = 6303, Warn, "request failed, may have run", "route, tenant, target, reason, fingerprint, status, attempts, took_ms, version, revision", "Search for the request in the logs of the target's host.";
    REQUEST_RETRIED = 6304, Info, "request retried", "route, target, reason, attempt", "None; the retry counts against the retry budget.";
    OWNER_REFUSED = 6305, Info, "owner refused a request", "target, reason, urgency, waiting_priority, occupied, limit, wait_ms", "None; the sender tries another target.";
    TARGET_REQUEST_FAILED = 6306, Warn, "request failed at the target, may have run", "target, reason, fingerprint, took_ms", "Check the target's own logs. Equal requests have the same fingerprint, whatever their IDs.";
    OFFER_REFUSED = 6309, Info, "owner refused an offered request", "target, reason, retry_after_ms", "None; the body was not sent, and the sender tries another target. If frequent, the target or its host's link is fully used.";
    OFFER_FAILED = 6310, Info, "offer of a request failed", "peer, error", "The body was not sent, and the request goes to another target. Check the peer's host.";
    REQUEST_UNAUTHORIZED = 6311, Info, "request without a valid key refused, not run", "route, reason", "If a tenant's callers are refused, check that the configuration in force has their key; see the page on tenants. The key itself is never logged.";
    QUOTA_REFUSED = 6312, Info, "request refused by its tenant's rate limit, not run", "tenant, cause, per_second, burst, left, owner, grant_age_ms, retry_after_ms", "None if the tenant sends more than its limit; else see \"a tenant says that it is refused below its limit\" in OPERATIONS.md.";
    QUOTA_HOST_LOST = 6313, Info, "host does not answer about rate limits", "host, domain, error", "None if the host is being replaced; the next host of its failure domain owns the limits of its tenants meanwhile.";
    QUOTA_RESTARTED = 6314, Info, "buckets of rate limits start anew", "idle_ms, buckets", "None if rare; the process did not run for idle_ms, and other daemons may have taken its buckets over. Check the host for CPU starvation.";
    LINES_DROPPED = 6401, Info, "log lines dropped", "served, other, items", "None; the rate of log lines about requests is limited.";
}

impl EventKind {
    /// Writes one event with its fields to the process's log.
    ///
    /// Fields never contain the path, key or body of a request: logs may leave the
    /// region, and data of a request with home regions must not. Of a tenant they
    /// contain at most the name that the configuration gives it, never a key.
    pub fn emit(&self, fields: fmt::Arguments<'_>) {
        spdlog::log!(self.level, "RG{} {}", self.number, self.title, kv: {
            event = self.number,
            detail = fields.to_string(),
        });
    }
}

impl EventKind {
    /// Writes one event about a request, with the ID of the request.
    pub fn emit_request(&self, request: &str, fields: fmt::Arguments<'_>) {
        spdlog::log!(self.level, "RG{} {}", self.number, self.title, kv: {
            event = self.number,
            request = request.to_owned(),
            detail = fields.to_string(),
        });
    }
}

/// Returns the expected text of docs/events.md.
pub fn reference() -> String {
    let mut page = String::from(
        "# Log events\n\nEach log line contains the number of its event. \
         This page is generated from `crates/events/src/events.rs`; \
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
