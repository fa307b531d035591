//! The sessions that carry calls to other daemons.
//!
//! Calls don't use the sessions of the control thread, which closes them
//! according to its own rules. A session is dialled on first use, shared by all
//! calls to that daemon, and probed only while calls wait for an answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use radishgauge_net::PeerEndpoint;
use radishgauge_net::PeerError;
use radishgauge_net::PeerFault;
use radishgauge_net::PeerSession;
use radishgauge_traffic::session::PING_TIMEOUT;
use radishgauge_traffic::session::ProbeAction;
use radishgauge_traffic::session::SessionProbe;
use tokio::sync::Notify;

use crate::clock::ProcessClock;
use crate::events;

/// A session of the pool and the state of its liveness probe.
pub struct CallSession {
    peer_session: PeerSession,
    probe: Mutex<SessionProbe>,
    waiting: Notify,
    clock: Arc<dyn ProcessClock>,
}

impl CallSession {
    /// Returns the session over which calls and requests are sent.
    pub fn peer_session(&self) -> &PeerSession {
        &self.peer_session
    }

    /// Counts a call as waiting for its answer until the returned value is
    /// dropped.
    pub fn begin_wait(self: &Arc<Self>) -> WaitingCall {
        self.with_probe(|probe, now| probe.call_sent(now));
        self.waiting.notify_one();
        WaitingCall {
            session: Arc::clone(self),
        }
    }

    /// Checks with a ping that an idle session still works, before it is used for a
    /// call that must not be sent twice.
    ///
    /// # Errors
    ///
    /// When the peer does not answer the ping; no byte of the call was sent.
    pub async fn ping_if_idle(&self, repeatable: bool) -> Result<(), PeerError> {
        if !self.with_probe(|probe, now| probe.needs_ping(repeatable, now)) {
            return Ok(());
        }
        match self.peer_session.ping(PING_TIMEOUT).await {
            Ok(()) => {
                self.with_probe(SessionProbe::received);
                Ok(())
            }
            Err(error) => {
                self.peer_session.close("silent");
                Err(PeerError::unsent(error.fault))
            }
        }
    }

    fn with_probe<F, R>(&self, action: F) -> R
    where
        F: FnOnce(&mut SessionProbe, Duration) -> R,
    {
        let now = self.clock.now();
        action(
            &mut self.probe.lock().unwrap_or_else(PoisonError::into_inner),
            now,
        )
    }

    /// Pings the peer while calls wait; ends when the session is closed, or closes
    /// it when the peer does not answer.
    async fn watch(self: Arc<Self>) {
        while !self.peer_session.is_closed() {
            match self.with_probe(SessionProbe::tick) {
                ProbeAction::Wait(None) => tokio::select! {
                    () = self.waiting.notified() => {}
                    _ = self.peer_session.closed() => return,
                },
                ProbeAction::Wait(Some(until)) => {
                    tokio::time::sleep(until.saturating_sub(self.clock.now())).await;
                }
                ProbeAction::Ping => {
                    let session = Arc::clone(&self);
                    tokio::spawn(async move {
                        if session.peer_session.ping(2 * PING_TIMEOUT).await.is_ok() {
                            session.with_probe(SessionProbe::received);
                        }
                    });
                }
                ProbeAction::Silent => {
                    events::PEER_SILENT
                        .emit(format_args!("host={}", self.peer_session.peer().host));
                    self.peer_session.close("silent");
                    return;
                }
            }
        }
    }
}

/// A call that waits for its answer; the wait ends when the value is dropped.
pub struct WaitingCall {
    session: Arc<CallSession>,
}

impl WaitingCall {
    /// Records that a piece of the answer arrived.
    pub fn received(&self) {
        self.session.with_probe(SessionProbe::received);
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.session.with_probe(|probe, _| probe.call_ended());
    }
}

#[derive(Default)]
struct PoolEntry {
    current: ArcSwapOption<CallSession>,
    dialling: tokio::sync::Mutex<()>,
}

/// The sessions that carry calls, by peer address.
pub struct SessionPool {
    endpoint: PeerEndpoint,
    clock: Arc<dyn ProcessClock>,
    entries: RwLock<HashMap<SocketAddr, Arc<PoolEntry>>>,
}

impl SessionPool {
    /// Returns an empty pool that dials from `endpoint`.
    pub fn new(endpoint: PeerEndpoint, clock: Arc<dyn ProcessClock>) -> SessionPool {
        let entries = RwLock::default();
        SessionPool {
            endpoint,
            clock,
            entries,
        }
    }

    /// Returns the session to an address; the first of several concurrent users
    /// dials, and the others wait for the result.
    ///
    /// # Errors
    ///
    /// When the peer cannot be reached; nothing was sent.
    pub async fn get(&self, address: SocketAddr) -> Result<Arc<CallSession>, PeerError> {
        let entry = self.entry(address);
        if let Some(session) = open_session(&entry) {
            return Ok(session);
        }
        let _dialling = entry.dialling.lock().await;
        if let Some(session) = open_session(&entry) {
            return Ok(session);
        }
        let peer_session = self.endpoint.dial(address).await?;
        let session = Arc::new(CallSession {
            peer_session,
            probe: Mutex::new(SessionProbe::new(self.clock.now())),
            waiting: Notify::new(),
            clock: Arc::clone(&self.clock),
        });
        tokio::spawn(Arc::clone(&session).watch());
        entry.current.store(Some(Arc::clone(&session)));
        Ok(session)
    }

    /// Closes the sessions to addresses for which `needed` returns `false` and on
    /// which no call waits.
    pub fn retain<F>(&self, needed: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|address, entry| {
            let busy = entry
                .current
                .load()
                .as_ref()
                .is_some_and(|session| session.with_probe(|probe, _| probe.is_waiting()));
            let keep = busy || needed(address);
            if !keep && let Some(session) = entry.current.swap(None) {
                session.peer_session.close("no longer needed");
            }
            keep
        });
    }

    fn entry(&self, address: SocketAddr) -> Arc<PoolEntry> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = entries.get(&address) {
            return Arc::clone(entry);
        }
        drop(entries);
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(entries.entry(address).or_default())
    }
}

fn open_session(entry: &PoolEntry) -> Option<Arc<CallSession>> {
    let session = entry.current.load_full()?;
    (!session.peer_session.is_closed()).then_some(session)
}

/// Returns whether a dial or request failed because one side refused the other's
/// identity or handshake, which is logged for operators.
pub fn is_refused(fault: &PeerFault) -> bool {
    matches!(
        fault,
        PeerFault::Tls(_) | PeerFault::Identity { .. } | PeerFault::Refused(_)
    )
}
