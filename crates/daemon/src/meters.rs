//! The counters of one daemon, sent by cadence to a statsd receiver.
//!
//! Calls only increment atomics; the control thread sends the counts at an
//! interval, so that a slow receiver does not delay calls.

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
        /// The counters of a daemon since its start.
        #[derive(Debug, Default)]
        pub struct CallMeters {
            $(#[doc = $doc] pub $name: AtomicU64,)*
        }

        impl CallMeters {
            /// Returns the name, the description and the current value of each
            /// counter.
            pub fn values(&self) -> Vec<(&'static str, &'static str, u64)> {
                vec![$((stringify!($name), $doc, self.$name.load(Ordering::Relaxed)),)*]
            }
        }
    };
}

meters! {
    calls: "Calls received from callers by this daemon as entry daemon.",
    answered: "Calls answered by a target.",
    refused: "Calls refused with the verdict \"not run\".",
    may_have_run: "Calls that ended with the verdict \"may have run\".",
    attempts: "Attempts to send a call to a target's daemon.",
    retries: "Retries: attempts after the first one of a call.",
    received: "Attempts received for targets on this host.",
    shed: "Received attempts refused by the checks before admission or by admission control.",
    cancelled: "Calls cancelled by their caller.",
    replayed: "Stored responses sent again for an idempotency key.",
    control_sent: "UDP payload bytes sent on control sessions.",
    control_received: "UDP payload bytes received on control sessions.",
    platform_calls: "Reads and watches of the platform.",
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
    /// The interval at which the counters are sent.
    pub const INTERVAL: Duration = Duration::from_secs(10);

    /// Opens a socket to a receiver; every metric is tagged with the host and the
    /// failure domain.
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

    /// Sends the increase of each counter since the last call, and the revision in
    /// force.
    ///
    /// # Errors
    ///
    /// When the receiver cannot be reached; the counts not sent are sent next time.
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
