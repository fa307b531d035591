//! The memory for the bodies of requests, shared by all clients of a listener.
//!
//! A large body may take most of the memory, as long as a part is left for small ones, so
//! that ordinary requests are served beside it. No client address may take all of it.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use crate::byte_budget::ByteBudget;
use crate::byte_budget::SMALL_BODY;

/// The fraction of the memory that is kept for small bodies.
const SMALL_RESERVE: f64 = 0.125;

/// The fraction of the memory that is kept from each client address.
const ADDRESS_RESERVE: f64 = 1.0 / 32.0;

/// The memory for the bodies of requests.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    /// The memory that other uses share with the bodies.
    pool: Arc<ByteBudget>,
    state: Mutex<BudgetState>,
}

#[derive(Debug, Default)]
struct BudgetState {
    used: usize,
    /// The bytes that each client address uses; without those that use none.
    addresses: IndexMap<IpAddr, usize>,
    /// How often a share could not be extended.
    refusals: u64,
}

impl BodyBudget {
    /// Returns a budget of `limit` bytes, all of which are taken from `pool`.
    pub fn new(limit: usize, pool: Arc<ByteBudget>) -> BodyBudget {
        BodyBudget {
            limit,
            pool,
            state: Mutex::default(),
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.state().used
    }

    /// Returns how often a body did not fit.
    pub fn refusals(&self) -> u64 {
        self.state().refusals
    }

    /// Returns an empty share for one body of a client.
    pub fn share(self: &Arc<Self>, address: IpAddr) -> BodyShare {
        BodyShare {
            budget: Arc::clone(self),
            address,
            bytes: 0,
        }
    }

    fn state(&self) -> MutexGuard<'_, BudgetState> {
        // Every operation leaves the numbers consistent, so poisoning is ignored.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the greatest number of bytes in use with which a body may have a share of
    /// `share` bytes.
    fn ceiling(&self, share: usize) -> usize {
        match share > SMALL_BODY {
            true => self.limit - self.part(SMALL_RESERVE),
            false => self.limit,
        }
    }

    fn part(&self, fraction: f64) -> usize {
        (self.limit as f64 * fraction) as usize
    }

    fn try_reserve(&self, address: IpAddr, held: usize, bytes: usize) -> bool {
        let mut state = self.state();
        let of_address = state.addresses.get(&address).copied().unwrap_or_default();
        let address_limit = self.limit - self.part(ADDRESS_RESERVE);
        let fits = state.used + bytes <= self.ceiling(held + bytes)
            && of_address + bytes <= address_limit
            && self.pool.try_reserve(bytes, held + bytes);
        if fits {
            state.used += bytes;
            state.addresses.insert(address, of_address + bytes);
        } else {
            state.refusals += 1;
        }
        fits
    }

    fn release(&self, address: IpAddr, bytes: usize) {
        self.pool.release(bytes);
        let mut state = self.state();
        state.used -= bytes;
        if let Some(of_address) = state.addresses.get_mut(&address) {
            *of_address -= bytes;
            if *of_address == 0 {
                state.addresses.swap_remove(&address);
            }
        }
    }
}

/// The memory of one body; dropping it releases the memory.
#[derive(Debug)]
pub struct BodyShare {
    budget: Arc<BodyBudget>,
    address: IpAddr,
    bytes: usize,
}

impl BodyShare {
    /// Extends the share to `bytes` in total, and returns whether they fit. A share is
    /// never reduced.
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        if missing == 0 {
            return true;
        }
        let fits = self.budget.try_reserve(self.address, self.bytes, missing);
        if fits {
            self.bytes = bytes;
        }
        fits
    }

    /// Returns how often other bodies or this one did not fit.
    pub(crate) fn refusals(&self) -> u64 {
        self.budget.refusals()
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.release(self.address, self.bytes);
        }
    }
}
