//! A receiver of statsd metrics.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// What arrived for one metric name.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MetricTotals {
    /// How many samples.
    pub samples: u64,
    /// The sum of the values.
    pub sum: f64,
    /// The last value.
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
    /// Binds a free port.
    ///
    /// # Errors
    ///
    /// When no loopback port is free.
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

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what arrived for a metric.
    pub fn metric(&self, name: &str) -> Option<MetricTotals> {
        let metrics = self.metrics.lock().unwrap_or_else(PoisonError::into_inner);
        metrics.get(name).copied()
    }

    /// Returns all metric names in the order of their first arrival.
    pub fn names(&self) -> Vec<String> {
        let metrics = self.metrics.lock().unwrap_or_else(PoisonError::into_inner);
        metrics.keys().cloned().collect()
    }

    /// Waits until a metric has arrived.
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
