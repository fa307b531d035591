//! A link between two failure domains or regions.
//!
//! Datagrams pass through a relay that delays, loses or stops them, so that
//! several daemons on one machine can be as far apart as on two sites.

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

/// The longest datagram.
const DATAGRAM: usize = 65_536;
/// Datagrams on their way in one direction; more are lost, as on a full router.
const QUEUE: usize = 65_536;

/// The properties of a link, the same in both directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkConfig {
    /// The time that a datagram takes one way.
    pub delay: Duration,
    /// How many datagrams of a thousand are lost.
    pub loss_per_mille: u32,
    /// The seed of the losses.
    pub seed: u64,
}

/// What passed a link since its start, in UDP payload bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkStats {
    /// Bytes from the diallers to the target.
    pub forward_bytes: u64,
    /// Datagrams from the diallers to the target.
    pub forward_datagrams: u64,
    /// Bytes from the target to the diallers.
    pub backward_bytes: u64,
    /// Datagrams from the target to the diallers.
    pub backward_datagrams: u64,
    /// Datagrams that were lost or stopped.
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
    losses: Pcg64Mcg,
    stats: LinkStats,
    returns: Vec<AbortHandle>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkWay {
    Forward,
    Backward,
}

impl LinkStandIn {
    /// Opens a link to a target; daemons dial [`LinkStandIn::address`] instead of it.
    ///
    /// # Errors
    ///
    /// When no loopback port is free.
    pub async fn open(target: SocketAddr, config: LinkConfig) -> io::Result<LinkStandIn> {
        let socket = Arc::new(UdpSocket::bind(loopback()).await?);
        let address = socket.local_addr()?;
        let shared = Arc::new(LinkShared {
            state: Mutex::new(LinkState {
                config,
                cut: false,
                losses: Pcg64Mcg::seed_from_u64(config.seed),
                stats: LinkStats::default(),
                returns: Vec::new(),
            }),
        });
        let task = tokio::spawn(relay(socket, target, shared.clone()));
        Ok(LinkStandIn {
            address,
            shared,
            task: task.abort_handle(),
        })
    }

    /// The address to dial.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops all datagrams while set.
    pub fn set_cut(&self, cut: bool) {
        self.shared.state().cut = cut;
    }

    /// Changes the delay of later datagrams.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.state().config.delay = delay;
    }

    /// Changes how many datagrams of a thousand are lost.
    pub fn set_loss(&self, per_mille: u32) {
        self.shared.state().config.loss_per_mille = per_mille;
    }

    /// What passed since the start.
    pub fn stats(&self) -> LinkStats {
        self.shared.state().stats
    }
}

impl Drop for LinkStandIn {
    fn drop(&mut self) {
        self.task.abort();
        for task in self.shared.state().returns.drain(..) {
            task.abort();
        }
    }
}

impl LinkShared {
    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a datagram; returns when it is due, or `None` when it is lost.
    fn pass(&self, bytes: usize, way: LinkWay) -> Option<Instant> {
        let mut state = self.state();
        let lost = state.config.loss_per_mille;
        if state.cut || (lost > 0 && state.losses.random_range(0..1000) < lost) {
            state.stats.dropped += 1;
            return None;
        }
        let stats = &mut state.stats;
        let (passed, datagrams) = match way {
            LinkWay::Forward => (&mut stats.forward_bytes, &mut stats.forward_datagrams),
            LinkWay::Backward => (&mut stats.backward_bytes, &mut stats.backward_datagrams),
        };
        *passed += bytes as u64;
        *datagrams += 1;
        Some(Instant::now() + state.config.delay)
    }
}

/// Gives each dialler a socket of its own towards the target, so that the
/// target's datagrams find their way back.
async fn relay(socket: Arc<UdpSocket>, target: SocketAddr, shared: Arc<LinkShared>) {
    let mut paths: HashMap<SocketAddr, mpsc::Sender<(Instant, Vec<u8>)>> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // A dialler that went away; the others go on.
            continue;
        };
        let Some(due) = shared.pass(length, LinkWay::Forward) else {
            continue;
        };
        let path = match paths.entry(from) {
            Entry::Occupied(path) => path.into_mut(),
            Entry::Vacant(unknown) => {
                match open_path(socket.clone(), from, target, &shared).await {
                    Ok(path) => unknown.insert(path),
                    Err(_) => continue,
                }
            }
        };
        // A full queue loses the datagram.
        let _ = path.try_send((due, buffer[..length].to_vec()));
    }
}

async fn open_path(
    socket: Arc<UdpSocket>,
    dialler: SocketAddr,
    target: SocketAddr,
    shared: &Arc<LinkShared>,
) -> io::Result<mpsc::Sender<(Instant, Vec<u8>)>> {
    let far = Arc::new(UdpSocket::bind(loopback()).await?);
    far.connect(target).await?;
    let (forward, mut due_forward) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUE);
    let (backward, mut due_backward) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUE);
    let sending = far.clone();
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
                let _ = socket.send_to(&datagram, dialler).await;
            }
        }),
        tokio::spawn({
            let shared = shared.clone();
            async move {
                let mut buffer = vec![0; DATAGRAM];
                loop {
                    // An error says that the target is not there now; it may return.
                    if let Ok(length) = far.recv(&mut buffer).await
                        && let Some(due) = shared.pass(length, LinkWay::Backward)
                    {
                        let _ = backward.try_send((due, buffer[..length].to_vec()));
                    }
                }
            }
        }),
    ];
    shared
        .state()
        .returns
        .extend(tasks.iter().map(|task| task.abort_handle()));
    Ok(forward)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
