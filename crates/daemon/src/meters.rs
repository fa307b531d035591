//! Counters of one daemon, sent by cadence to a statsd receiver.
//!
//! Calls only add to atomics; the control thread sends the sums at an interval,
//! so that a slow receiver costs a call nothing.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::UdpMetricSink;

macro_rules! meters {
    ($($name:ident: $doc:literal,)*) => {
        /// What a daemon counts since its start.
        #[derive(Debug, Default)]
        pub struct CallMeters {
            $(#[doc = $doc] pub $name: AtomicU64,)*
        }

        impl CallMeters {
            /// Returns the name, meaning and present value of each counter.
            pub fn values(&self) -> Vec<(&'static str, &'static str, u64)> {
                vec![$((stringify!($name), $doc, self.$name.load(Ordering::Relaxed)),)*]
            }
        }
    };
}

meters! {
    calls: "Calls that entered this daemon from callers.",
    answered: "Calls answered by a target.",
    refused: "Calls refused with the verdict \"not run\".",
    may_have_run: "Calls that ended with the verdict \"may have run\".",
    attempts: "Attempts sent to receiving daemons.",
    retries: "Attempts beyond the first of a call.",
    received: "Attempts received for targets of this host.",
    shed: "Attempts refused by admission.",
    cancelled: "Calls that their caller gave up.",
    replayed: "Answers repeated for an idempotency key.",
    control_sent: "UDP payload bytes sent on control sessions.",
    control_received: "UDP payload bytes received on control sessions.",
    platform_calls: "Calls to the platform, waiting watches included.",
    versions: "Configuration versions that came into force.",
}

/// Adds one to a counter.
pub fn count(meter: &AtomicU64) {
    meter.fetch_add(1, Ordering::Relaxed);
}

/// Sends counters to a statsd receiver.
pub struct MeterSender {
    client: StatsdClient,
    sent: Vec<u64>,
}

impl MeterSender {
    /// The interval at which counters are sent.
    pub const INTERVAL: Duration = Duration::from_secs(10);

    /// Opens the socket towards a receiver.
    ///
    /// # Errors
    ///
    /// When no UDP socket can be bound.
    pub fn open(receiver: SocketAddr, host: &str, failure_domain: &str) -> Result<MeterSender> {
        let any = if receiver.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(any).context("bind the metrics socket")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(receiver, socket)?;
        let client = StatsdClient::builder("radishgauge", sink)
            .with_tag("host", host)
            .with_tag("failure_domain", failure_domain)
            .build();
        let sent = Vec::new();
        Ok(MeterSender { client, sent })
    }

    /// Sends what was counted since the last call, and the version in force.
    ///
    /// # Errors
    ///
    /// When the receiver cannot be reached; the counts are then sent next time.
    pub fn send(&mut self, meters: &CallMeters, revision: u64) -> Result<()> {
        let values = meters.values();
        self.sent.resize(values.len(), 0);
        for ((name, _, value), sent) in values.into_iter().zip(&mut self.sent) {
            let added = i64::try_from(value - *sent)?;
            if added > 0 {
                self.client.count(name, added)?;
                *sent = value;
            }
        }
        self.client.gauge("revision", revision)?;
        Ok(())
    }
}
