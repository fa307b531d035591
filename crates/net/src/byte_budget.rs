//! A limit on the memory of all bodies that are held.
//!
//! A faulty target or daemon may send a body without end. The limit of a single body
//! does not bound the memory of many such bodies together.
//!
//! A budget that runs short asks for relief: whoever holds the memory without need frees
//! it before the next one is refused.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::Weak;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// The greatest length in bytes of a small body.
pub(crate) const SMALL_BODY: usize = 64 * 1024;

/// The fraction of a budget that is kept for small bodies, so that a few large ones, whose
/// receivers are slow, do not fail ordinary requests.
const SMALL_RESERVE: f64 = 1.0 / 16.0;

/// The fraction of a budget in use above which it asks for relief.
const RELIEF_FRACTION: f64 = 0.5;

/// How often a reservation is tried while others free memory, each time after their tasks
/// have run.
pub(crate) const RELIEF_TURNS: usize = 16;

/// Frees memory that is held without need.
pub trait MemoryRelief: fmt::Debug + Send + Sync {
    /// Frees memory if someone holds it without need, given the fraction that is free.
    fn relieve(&self, free: f64);
}

/// The bytes that several bodies may hold together.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
    /// The budget from which all bytes of this one are taken as well.
    pool: Option<Arc<ByteBudget>>,
    /// Who is asked for relief. It may hold shares of this budget.
    relief: OnceLock<Weak<dyn MemoryRelief>>,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes, of which none is used.
    pub fn new(limit: usize) -> ByteBudget {
        ByteBudget {
            limit,
            used: AtomicUsize::new(0),
            pool: None,
            relief: OnceLock::new(),
        }
    }

    /// Returns a budget of `limit` bytes, all of which are also taken from `pool`.
    pub fn within(pool: Arc<ByteBudget>, limit: usize) -> ByteBudget {
        ByteBudget {
            pool: Some(pool),
            ..ByteBudget::new(limit)
        }
    }

    /// Sets who is asked for relief, once.
    pub fn set_relief(&self, relief: &Arc<dyn MemoryRelief>) {
        // A second one is not asked.
        let _ = self.relief.set(Arc::downgrade(relief));
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the greatest number of bytes that may be in use.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Adds `bytes` of a body that then holds `held` to those in use, and returns whether
    /// they fit.
    pub(crate) fn try_reserve(&self, bytes: usize, held: usize) -> bool {
        let ceiling = match held > SMALL_BODY {
            true => self.limit - (self.limit as f64 * SMALL_RESERVE) as usize,
            false => self.limit,
        };
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= ceiling);
        let updated = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        match updated {
            Ok(before) => self.ask_for_relief(before + bytes),
            Err(_) => {
                self.ask_for_relief(self.limit);
                return false;
            }
        }
        let fits = self
            .pool
            .as_ref()
            .is_none_or(|pool| pool.try_reserve(bytes, held));
        if !fits {
            self.used.fetch_sub(bytes, Ordering::Relaxed);
            self.ask_for_relief(self.limit);
        }
        fits
    }

    /// Asks for relief if the budget runs short when this number of bytes is in use.
    fn ask_for_relief(&self, used: usize) {
        let fraction = used as f64 / self.limit.max(1) as f64;
        if fraction < RELIEF_FRACTION {
            return;
        }
        if let Some(relief) = self.relief.get().and_then(Weak::upgrade) {
            relief.relieve(1.0 - fraction);
        }
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(pool) = &self.pool {
            pool.release(bytes);
        }
    }
}

/// The part of a budget that one body uses; dropping it releases the part.
#[derive(Debug)]
pub(crate) struct BudgetShare<B>
where
    B: Borrow<ByteBudget>,
{
    budget: Option<B>,
    bytes: usize,
}

impl<B> BudgetShare<B>
where
    B: Borrow<ByteBudget>,
{
    /// Returns an empty share. Without a budget it is unlimited.
    pub(crate) fn new(budget: Option<B>) -> BudgetShare<B> {
        BudgetShare { budget, bytes: 0 }
    }

    /// Returns whether the share is one of a budget.
    pub(crate) fn has_budget(&self) -> bool {
        self.budget.is_some()
    }

    /// Extends the share by `bytes`, and returns whether they fit.
    pub(crate) fn extend(&mut self, bytes: usize) -> bool {
        let budget = self.budget.as_ref().map(Borrow::borrow);
        let held = self.bytes + bytes;
        let fits = budget.is_none_or(|budget: &ByteBudget| budget.try_reserve(bytes, held));
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Extends the share to at least `bytes` as soon as others have freed enough, and returns
    /// whether they did.
    pub(crate) async fn extend_to_or_wait(&mut self, bytes: usize) -> bool {
        for _ in 0..RELIEF_TURNS {
            if self.extend_to(bytes) {
                return true;
            }
            tokio::task::yield_now().await;
        }
        self.extend_to(bytes)
    }

    /// Extends the share to at least `bytes`, and returns whether they fit.
    pub(crate) fn extend_to(&mut self, bytes: usize) -> bool {
        self.extend(bytes.saturating_sub(self.bytes))
    }
}

impl<B> Drop for BudgetShare<B>
where
    B: Borrow<ByteBudget>,
{
    fn drop(&mut self) {
        if let Some(budget) = &self.budget {
            budget.borrow().release(self.bytes);
        }
    }
}

/// Bytes that use a part of a budget until their last clone is dropped.
pub(crate) struct CountedBytes {
    pub(crate) bytes: Bytes,
    pub(crate) _share: BudgetShare<Arc<ByteBudget>>,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
