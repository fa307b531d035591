//! A network link between two failure domains or regions.
//!
//! Datagrams pass through a relay that delays or drops them, so that daemons on
//! one machine see the latency and loss of daemons at different sites.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The size of the receive buffer in bytes, enough for any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// The number of datagrams in transit in one direction. Further datagrams are
/// dropped, as by a router whose queue is full.
const QUEUE_DATAGRAMS: usize = 65_536;

/// The properties of a link; they apply to both directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkConfig {
    /// The one-way latency.
    pub delay: Duration,
    /// The number of datagrams in a thousand that are dropped.
    pub loss_per_mille: u32,
    /// The seed of the random choice of dropped datagrams.
    pub seed: u64,
}

/// The traffic of a link since it was opened; bytes are those of UDP payloads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkStats {
    /// Bytes sent to the target.
    pub forward_bytes: u64,
    /// Datagrams sent to the target.
    pub forward_datagrams: u64,
    /// Bytes sent back by the target.
    pub backward_bytes: u64,
    /// Datagrams sent back by the target.
    pub backward_datagrams: u64,
    /// Datagrams dropped, at random or because the link was cut.
    pub dropped: u64,
}

/// Relays datagrams from its own loopback address to a target and back.
pub struct LinkStandIn {
    address: SocketAddr,
    shared: Arc<LinkShared>,
    task: AbortHandle,
}

struct LinkShared {
    state: Mutex<LinkState>,
}

struct LinkState {
    config: LinkConfig,
    cut: bool,
    loss_rng: Pcg64Mcg,
    stats: LinkStats,
    path_tasks: Vec<AbortHandle>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkDirection {
    Forward,
    Backward,
}

impl LinkStandIn {
    /// Opens a link to a target. Daemons send to [`LinkStandIn::address`] instead
    /// of the target's address.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port is free.
    pub async fn open(target: SocketAddr, config: LinkConfig) -> io::Result<LinkStandIn> {
        let socket = Arc::new(UdpSocket::bind(loopback()).await?);
        let address = socket.local_addr()?;
        let shared = Arc::new(LinkShared {
            state: Mutex::new(LinkState {
                config,
                cut: false,
                loss_rng: Pcg64Mcg::seed_from_u64(config.seed),
                stats: LinkStats::default(),
                path_tasks: Vec::new(),
            }),
        });
        let task = tokio::spawn(relay(socket, target, shared.clone()));
        Ok(LinkStandIn {
            address,
            shared,
            task: task.abort_handle(),
        })
    }

    /// Returns the address at which the link accepts datagrams for the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all datagrams while set.
    pub fn set_cut(&self, cut: bool) {
        self.shared.state().cut = cut;
    }

    /// Changes the one-way latency of later datagrams.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.state().config.delay = delay;
    }

    /// Changes the number of datagrams in a thousand that are dropped.
    pub fn set_loss(&self, per_mille: u32) {
        self.shared.state().config.loss_per_mille = per_mille;
    }

    /// Returns the traffic since the link was opened.
    pub fn stats(&self) -> LinkStats {
        self.shared.state().stats
    }
}

impl Drop for LinkStandIn {
    fn drop(&mut self) {
        self.task.abort();
        for task in self.shared.state().path_tasks.drain(..) {
            task.abort();
        }
    }
}

impl LinkShared {
    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a datagram and returns the time of its delivery, or `None` if it is
    /// dropped.
    fn schedule(&self, bytes: usize, direction: LinkDirection) -> Option<Instant> {
        let mut state = self.state();
        let lost = state.config.loss_per_mille;
        if state.cut || (lost > 0 && state.loss_rng.random_range(0..1000) < lost) {
            state.stats.dropped += 1;
            return None;
        }
        let stats = &mut state.stats;
        let (byte_count, datagram_count) = match direction {
            LinkDirection::Forward => (&mut stats.forward_bytes, &mut stats.forward_datagrams),
            LinkDirection::Backward => (&mut stats.backward_bytes, &mut stats.backward_datagrams),
        };
        *byte_count += bytes as u64;
        *datagram_count += 1;
        Some(Instant::now() + state.config.delay)
    }
}

/// Relays datagrams through a separate socket for each client address, so that
/// the target's datagrams can be returned to the right client.
async fn relay(socket: Arc<UdpSocket>, target: SocketAddr, shared: Arc<LinkShared>) {
    let mut paths: HashMap<SocketAddr, mpsc::Sender<(Instant, Vec<u8>)>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // A client closed its socket; the others are still served.
            continue;
        };
        let Some(due) = shared.schedule(length, LinkDirection::Forward) else {
            continue;
        };
        let path = match paths.entry(from) {
            Entry::Occupied(path) => path.into_mut(),
            Entry::Vacant(vacant_path) => {
                match open_path(socket.clone(), from, target, &shared).await {
                    Ok(path) => vacant_path.insert(path),
                    Err(_) => continue,
                }
            }
        };
        // A datagram is dropped if the queue is full.
        let _ = path.try_send((due, buffer[..length].to_vec()));
    }
}

async fn open_path(
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    target: SocketAddr,
    shared: &Arc<LinkShared>,
) -> io::Result<mpsc::Sender<(Instant, Vec<u8>)>> {
    let target_socket = Arc::new(UdpSocket::bind(loopback()).await?);
    target_socket.connect(target).await?;
    let (forward, mut due_forward) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUE_DATAGRAMS);
    let (backward, mut due_backward) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUE_DATAGRAMS);
    let sending = target_socket.clone();
    let tasks = [
        tokio::spawn(async move {
            while let Some((due, datagram)) = due_forward.recv().await {
                tokio::time::sleep_until(due).await;
                let _ = sending.send(&datagram).await;
            }
        }),
        tokio::spawn(async move {
            while let Some((due, datagram)) = due_backward.recv().await {
                tokio::time::sleep_until(due).await;
                let _ = socket.send_to(&datagram, client).await;
            }
        }),
        tokio::spawn({
            let shared = shared.clone();
            async move {
                let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
                loop {
                    // An error means that nothing listens at the target's address
                    // now; the target may start again.
                    if let Ok(length) = target_socket.recv(&mut buffer).await
                        && let Some(due) = shared.schedule(length, LinkDirection::Backward)
                    {
                        let _ = backward.try_send((due, buffer[..length].to_vec()));
                    }
                }
            }
        }),
    ];
    shared
        .state()
        .path_tasks
        .extend(tasks.iter().map(|task| task.abort_handle()));
    Ok(forward)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
