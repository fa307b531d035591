//! A limit on the memory of all bodies that are being received.
//!
//! A faulty target or daemon may send a body without end. The limit of a single body
//! does not bound the memory of many such bodies together.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// The bytes that several bodies may hold together.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes, of which none is used.
    pub fn new(limit: usize) -> ByteBudget {
        ByteBudget {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the greatest number of bytes that may be in use.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Adds `bytes` to those in use, and returns whether they fit.
    fn try_reserve(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok()
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The part of a budget that one body uses; dropping it releases the part.
#[derive(Debug)]
pub(crate) struct BudgetShare<'a> {
    budget: Option<&'a ByteBudget>,
    bytes: usize,
}

impl BudgetShare<'_> {
    /// Returns an empty share. Without a budget it is unlimited.
    pub(crate) fn new(budget: Option<&ByteBudget>) -> BudgetShare<'_> {
        BudgetShare { budget, bytes: 0 }
    }

    /// Extends the share by `bytes`, and returns whether they fit.
    pub(crate) fn extend(&mut self, bytes: usize) -> bool {
        let fits = self.budget.is_none_or(|budget| budget.try_reserve(bytes));
        if fits {
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for BudgetShare<'_> {
    fn drop(&mut self) {
        if let Some(budget) = self.budget {
            budget.release(self.bytes);
        }
    }
}
