//! Timings and limits of the control protocol, as typed values.
//!
//! The schema defines ranges and defaults together with their reasons. A field
//! that is 0 gets the schema's default, since 0 is outside every range.

use std::time::Duration;

use radishgauge_schema::descriptors;
use radishgauge_schema::settings::DaemonPolicy;

/// The values of [`DaemonPolicy`] with defaults filled in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlPolicy {
    /// The average time between two exchanges of heads.
    pub exchange_interval: Duration,
    /// The delay between two readers of consecutive rank.
    pub reader_stagger: Duration,
    /// The number of relays of a failure domain.
    pub relays: usize,
    /// The number of neighbours that a daemon connects to.
    pub neighbours: usize,
    /// How long a newly started daemon waits for peers before it reads from the
    /// platform.
    pub alone_after: Duration,
    /// The lateness of an event above which the process counts as paused.
    pub stale_after: Duration,
    /// The longest time that a watch waits at the platform.
    pub watch: Duration,
    /// The number of full transfers that a daemon serves at once.
    pub transfers: usize,
}

impl From<&DaemonPolicy> for ControlPolicy {
    fn from(policy: &DaemonPolicy) -> ControlPolicy {
        let ms = |value, name| Duration::from_millis(or_default(value, name));
        ControlPolicy {
            exchange_interval: ms(policy.exchange_interval_ms, "exchange_interval_ms"),
            reader_stagger: ms(policy.reader_stagger_ms, "reader_stagger_ms"),
            relays: or_default(policy.relays.into(), "relays") as usize,
            neighbours: or_default(policy.neighbours.into(), "neighbours") as usize,
            alone_after: ms(policy.alone_after_ms, "alone_after_ms"),
            stale_after: ms(policy.stale_after_ms, "stale_after_ms"),
            watch: Duration::from_secs(or_default(policy.watch_s, "watch_s")),
            transfers: or_default(policy.transfers.into(), "transfers") as usize,
        }
    }
}

impl Default for ControlPolicy {
    fn default() -> ControlPolicy {
        ControlPolicy::from(&DaemonPolicy::default())
    }
}

fn or_default(value: u64, name: &str) -> u64 {
    if value != 0 {
        return value;
    }
    let message = descriptors::message("radishgauge.settings.v1.DaemonPolicy");
    message
        .and_then(|message| message.get_field_by_name(name))
        .and_then(|field| descriptors::rule(&field).default.parse().ok())
        .expect("the schema gives each policy number a default")
}
