//! A stand-in for a statsd server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// The samples received for one metric name.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MetricTotals {
    /// The number of samples.
    pub samples: u64,
    /// The sum of the samples' values.
    pub sum: f64,
    /// The value of the latest sample.
    pub last: f64,
}

/// Receives metric lines `name:value|type` over UDP on loopback.
pub struct StatsdStandIn {
    address: SocketAddr,
    metrics: Arc<Mutex<IndexMap<String, MetricTotals>>>,
    changed: watch::Receiver<u64>,
    task: AbortHandle,
}

impl StatsdStandIn {
    /// Starts a receiver on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port is free.
    pub async fn start() -> io::Result<StatsdStandIn> {
        let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = socket.local_addr()?;
        let metrics: Arc<Mutex<IndexMap<String, MetricTotals>>> = Arc::default();
        let (changes, changed) = watch::channel(0);
        let received = metrics.clone();
        let task = tokio::spawn(async move {
            let mut buffer = vec![0; 65_536];
            while let Ok(length) = socket.recv(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..length]);
                let mut metrics = received.lock().unwrap_or_else(PoisonError::into_inner);
                for (name, value) in text.lines().filter_map(sample) {
                    let totals = metrics.entry(name.to_owned()).or_default();
                    totals.samples += 1;
                    totals.sum += value;
                    totals.last = value;
                }
                drop(metrics);
                changes.send_modify(|change| *change += 1);
            }
        });
        Ok(StatsdStandIn {
            address,
            metrics,
            changed,
            task: task.abort_handle(),
        })
    }

    /// Returns the UDP address on which metrics are received.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the totals of a metric, or `None` if no sample has arrived.
    pub fn metric(&self, name: &str) -> Option<MetricTotals> {
        let metrics = self.metrics.lock().unwrap_or_else(PoisonError::into_inner);
        metrics.get(name).copied()
    }

    /// Returns all metric names in the order of their first arrival.
    pub fn names(&self) -> Vec<String> {
        let metrics = self.metrics.lock().unwrap_or_else(PoisonError::into_inner);
        metrics.keys().cloned().collect()
    }

    /// Waits until a sample of a metric has arrived, and returns its totals.
    pub async fn wait_for(&self, name: &str) -> MetricTotals {
        let mut changed = self.changed.clone();
        loop {
            changed.borrow_and_update();
            if let Some(totals) = self.metric(name) {
                return totals;
            }
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

impl Drop for StatsdStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn sample(line: &str) -> Option<(&str, f64)> {
    let (name, rest) = line.split_once(':')?;
    let value = rest.split('|').next()?.parse().ok()?;
    Some((name, value))
}
