//! Opens and closes the connections of a listener's callers, as their table decides.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slotmap::SecondaryMap;
use tokio::sync::watch;

use crate::byte_budget::BudgetShare;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::MemoryRelief;
use crate::byte_budget::RELIEF_TURNS;
use crate::clock::ProcessClock;
use crate::connection_table::CloseReason;
use crate::connection_table::ClosingConnection;
use crate::connection_table::ConnectionKey;
use crate::connection_table::ConnectionPhase;
use crate::connection_table::ConnectionTable;
use crate::connection_table::TableLimits;

/// The memory in bytes of an open connection: its task, and its buffers for short heads and
/// answers.
pub const CONNECTION_BYTES: usize = 16 * 1024;

/// The memory in bytes of a request under way, without its long head and its body.
pub const REQUEST_BYTES: usize = 16 * 1024;

/// The memory in bytes of the buffer for long answers of one connection, which is kept until
/// the connection is closed.
pub const OUTBOX_BYTES: usize = 64 * 1024;

/// The memory for what callers make a listener hold besides bodies.
#[derive(Debug, Clone)]
pub struct CallerBudgets {
    /// The memory for long heads, until their requests have been answered.
    pub heads: Arc<ByteBudget>,
    /// The memory for connections, their requests, and their buffers for long answers.
    pub connections: Arc<ByteBudget>,
    /// The memory for answers, until they have been written.
    pub answers: Arc<ByteBudget>,
}

/// How many connections gave way, by reason, and how many were refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClosedCounts {
    /// The connections that gave way, in the order of [`CloseReason::ALL`].
    pub closed: [u64; CloseReason::ALL.len()],
    /// The connections that were refused for want of a place or of memory.
    pub refused: u64,
}

impl ClosedCounts {
    /// Returns the number of connections that were closed for a reason.
    pub fn of(&self, reason: CloseReason) -> u64 {
        self.closed[reason as usize]
    }

    /// Returns the number of connections that gave way or were refused.
    pub fn given_way(&self) -> u64 {
        let closed: u64 = self.closed.iter().sum();
        closed - self.of(CloseReason::Expired) + self.refused
    }
}

/// What a new connection lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shortage {
    Place,
    Memory,
}

/// The connections of a listener's callers.
pub struct CallerRegistry {
    clock: Arc<dyn ProcessClock>,
    budgets: OnceLock<CallerBudgets>,
    state: Mutex<RegistryState>,
    refused: AtomicU64,
}

#[derive(Debug)]
struct RegistryState {
    table: ConnectionTable,
    /// Tells each connection when it is to be closed.
    signals: SecondaryMap<ConnectionKey, watch::Sender<Option<CloseReason>>>,
    /// The number of connections that were told to close and still hold their memory.
    closing: usize,
    /// The connections that were told to close, by reason.
    closed: [u64; CloseReason::ALL.len()],
}

impl RegistryState {
    /// Tells a connection that it is to be closed, and counts it once.
    fn signal(&mut self, closing: ClosingConnection) {
        let Some(signal) = self.signals.get(closing.key) else {
            return;
        };
        signal.send_replace(Some(closing.reason));
        // The connection is no longer chosen.
        self.signals.remove(closing.key);
        self.table.close(closing.key);
        self.closing += 1;
        self.closed[closing.reason as usize] += 1;
    }
}

impl fmt::Debug for CallerRegistry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerRegistry")
            .field("counts", &self.closed_counts())
            .finish_non_exhaustive()
    }
}

impl CallerRegistry {
    pub(crate) fn new(limits: TableLimits, clock: Arc<dyn ProcessClock>) -> CallerRegistry {
        CallerRegistry {
            clock,
            budgets: OnceLock::new(),
            state: Mutex::new(RegistryState {
                table: ConnectionTable::new(limits),
                signals: SecondaryMap::new(),
                closing: 0,
                closed: [0; CloseReason::ALL.len()],
            }),
            refused: AtomicU64::new(0),
        }
    }

    /// Sets the memory for the callers' connections, once. A budget that runs short closes
    /// the connection whose caller is latest.
    pub fn set_budgets(self: &Arc<Self>, budgets: CallerBudgets) {
        let relief: Arc<dyn MemoryRelief> = self.clone();
        for budget in [&budgets.heads, &budgets.connections, &budgets.answers] {
            budget.set_relief(&relief);
        }
        // A second call would leave bytes of the first budgets uncounted, so it has no effect.
        let _ = self.budgets.set(budgets);
    }

    /// Closes the connections on which no request has arrived for `limit` or longer.
    pub fn close_idle(&self, limit: Duration) {
        let now = self.clock.now();
        let mut state = self.state();
        for closing in state.table.expired(limit, now) {
            state.signal(closing);
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state().table.len()
    }

    /// Returns how many connections gave way or were refused so far.
    pub fn closed_counts(&self) -> ClosedCounts {
        ClosedCounts {
            closed: self.state().closed,
            refused: self.refused.load(Ordering::Relaxed),
        }
    }

    /// Opens a connection. If no place or memory is left, others give way; `None` if none
    /// of them does.
    pub(crate) async fn open(self: &Arc<Self>) -> Option<CallerPlace> {
        for _ in 0..RELIEF_TURNS {
            let shortage = match self.try_open() {
                Ok(place) => return Some(place),
                Err(shortage) => shortage,
            };
            let gives_way = match shortage {
                Shortage::Place => self.make_place(),
                Shortage::Memory => self.free_memory().await,
            };
            if !gives_way {
                break;
            }
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        None
    }

    fn try_open(self: &Arc<Self>) -> Result<CallerPlace, Shortage> {
        let mut share = BudgetShare::new(self.connection_budget());
        if !share.extend(CONNECTION_BYTES) {
            return Err(Shortage::Memory);
        }
        let now = self.clock.now();
        let mut state = self.state();
        let key = state.table.open(now).ok_or(Shortage::Place)?;
        let (signal, closed) = watch::channel(None);
        state.signals.insert(key, signal);
        Ok(CallerPlace {
            registry: Arc::clone(self),
            key,
            closed,
            _share: share,
        })
    }

    /// Closes the connection that gives way to a new one, if there is one, and waits until
    /// its task can have freed its memory. Nobody else is closed before that.
    async fn free_memory(&self) -> bool {
        let is_closing = self.state().closing > 0;
        let gives_way = is_closing || self.make_place();
        if gives_way {
            tokio::task::yield_now().await;
        }
        gives_way
    }

    /// Closes the connection that gives way to a new one, if there is one.
    fn make_place(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let victim = state.table.place_victim(now);
        if let Some(victim) = victim {
            state.signal(victim);
        }
        victim.is_some()
    }

    /// Returns the memory for a request under way; `None` if there is not enough.
    pub(crate) async fn request_share(&self) -> Option<BudgetShare<Arc<ByteBudget>>> {
        let mut share = BudgetShare::new(self.connection_budget());
        for _ in 0..RELIEF_TURNS {
            if share.extend(REQUEST_BYTES) {
                return Some(share);
            }
            if !self.free_memory().await {
                break;
            }
        }
        None
    }

    /// Returns the memory for the buffer of long answers; `None` if there is not enough.
    pub(crate) fn outbox_share(&self) -> Option<BudgetShare<Arc<ByteBudget>>> {
        let mut share = BudgetShare::new(self.connection_budget());
        share.extend(OUTBOX_BYTES).then_some(share)
    }

    pub(crate) fn head_budget(&self) -> Option<&Arc<ByteBudget>> {
        self.budgets.get().map(|budgets| &budgets.heads)
    }

    fn connection_budget(&self) -> Option<Arc<ByteBudget>> {
        let budgets = self.budgets.get();
        budgets.map(|budgets| Arc::clone(&budgets.connections))
    }

    fn state(&self) -> MutexGuard<'_, RegistryState> {
        // Every operation leaves the state consistent, so poisoning is ignored.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MemoryRelief for CallerRegistry {
    fn relieve(&self, free: f64) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.closing > 0 {
            // Their memory will be free before another connection has to be closed.
            return;
        }
        if let Some(victim) = state.table.memory_victim(free, now) {
            state.signal(victim);
        }
    }
}

/// The place of one open connection; dropping it frees the place and its memory.
#[derive(Debug)]
pub(crate) struct CallerPlace {
    registry: Arc<CallerRegistry>,
    key: ConnectionKey,
    closed: watch::Receiver<Option<CloseReason>>,
    _share: BudgetShare<Arc<ByteBudget>>,
}

impl CallerPlace {
    pub(crate) fn registry(&self) -> &Arc<CallerRegistry> {
        &self.registry
    }

    /// Records that another phase of the connection begins.
    pub(crate) fn enter(&self, phase: ConnectionPhase) {
        let now = self.registry.clock.now();
        self.registry.state().table.enter(self.key, phase, now);
    }

    /// Records that a request begins to arrive on a connection that waited for it.
    pub(crate) fn begin_receiving(&self) {
        let now = self.registry.clock.now();
        let table = &mut self.registry.state().table;
        if table.phase(self.key) == Some(ConnectionPhase::Idle) {
            table.enter(self.key, ConnectionPhase::Receiving, now);
        }
    }

    /// Records bytes of a request or an answer that were transferred.
    pub(crate) fn record_moved(&self, bytes: usize) {
        let now = self.registry.clock.now();
        let table = &mut self.registry.state().table;
        table.record_moved(self.key, bytes, now);
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) -> CloseReason {
        let mut closed = self.closed.clone();
        match closed.wait_for(Option::is_some).await.as_deref() {
            Ok(Some(reason)) => *reason,
            // The sender is dropped only after it has sent the reason.
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for CallerPlace {
    fn drop(&mut self) {
        let mut state = self.registry.state();
        state.table.close(self.key);
        let was_told = state.signals.remove(self.key).is_none();
        if was_told {
            state.closing -= 1;
        }
    }
}
