//! The calls that are made for each running call.
//!
//! A retry pays for a number of calls in advance. The daemon on the target's
//! host sees all calls that the target makes, so it counts them here and
//! refuses those beyond the allowance. The same count goes back with the
//! response and becomes the estimate for later retries.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use rand::Rng;
use rand_pcg::Pcg64;

use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// Shards of the table, so that threads rarely meet at a lock.
const SHARDS: usize = 16;

/// A running call, as its daemon names it in the context header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallKey(pub u64);

/// The right to make one call for a running call.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the calls that were made are reported with `CallTree::end_child`"]
pub struct ChildGrant {
    parent: Option<CallKey>,
    allowance: Option<u32>,
}

impl ChildGrant {
    /// Returns the calls that may be made, itself included; `None` for a call
    /// that is not made below a retry.
    pub fn allowance(&self) -> Option<u32> {
        self.allowance
    }
}

#[derive(Debug)]
struct RunningCall {
    /// The calls made or granted, the running call included.
    calls: u32,
    /// What is left of a retry's allowance.
    left: Option<u32>,
}

/// The running calls of one daemon and what was made for them.
#[derive(Debug)]
pub struct CallTree {
    shards: [Mutex<HashMap<CallKey, RunningCall>>; SHARDS],
    next: AtomicU64,
}

impl CallTree {
    /// Returns an empty table. The seed gives the first key, so that a key of
    /// an earlier life of the daemon is not taken for one of this.
    pub fn new(seed: u64) -> CallTree {
        let mut random = Pcg64::new(u128::from(seed), 0);
        CallTree {
            shards: Default::default(),
            next: AtomicU64::new(random.random()),
        }
    }

    /// Starts a call at a target of this host, with the allowance that it
    /// carries if it is a retry or below one.
    pub fn begin(&self, allowance: Option<u32>) -> CallKey {
        let key = CallKey(self.next.fetch_add(1, Ordering::Relaxed));
        let call = RunningCall {
            calls: 1,
            left: allowance.map(|calls| calls.saturating_sub(1)),
        };
        self.shard(key).insert(key, call);
        key
    }

    /// Grants one call that a target makes for the running call `parent`, where
    /// `marked` tells whether the context header carries an allowance and
    /// `estimate` how many calls the new one causes.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Allowance`] when the allowance is used up, or when the
    /// header is marked and the running call is not known, so that nothing is
    /// left of it.
    pub fn begin_child(
        &self,
        parent: Option<CallKey>,
        marked: bool,
        estimate: u32,
    ) -> Result<ChildGrant, Refusal> {
        let refusal = Refusal::new(RefusalReason::Allowance);
        let mut allowance = None;
        if let Some(key) = parent
            && let Some(call) = self.shard(key).get_mut(&key)
        {
            let granted = match &mut call.left {
                Some(0) => return Err(refusal),
                Some(left) => {
                    let granted = estimate.clamp(1, *left);
                    *left -= granted;
                    allowance = Some(granted);
                    granted
                }
                None => 1,
            };
            call.calls = call.calls.saturating_add(granted);
        } else if marked {
            return Err(refusal);
        }
        Ok(ChildGrant { parent, allowance })
    }

    /// Ends a call that was granted; `calls` is how many were made, if known.
    pub fn end_child(&self, grant: ChildGrant, calls: Option<u32>) {
        let Some(key) = grant.parent else { return };
        let mut shard = self.shard(key);
        let Some(call) = shard.get_mut(&key) else {
            return;
        };
        match grant.allowance {
            // What a lost subtree used of its allowance is not known.
            Some(granted) => {
                let unused = granted.saturating_sub(calls.unwrap_or(granted));
                call.calls -= unused;
                call.left = call.left.map(|left| left + unused);
            }
            None => call.calls = call.calls.saturating_add(calls.unwrap_or(1).max(1) - 1),
        }
    }

    /// Ends a running call. Returns the calls that were made for it, itself
    /// included; calls that are still under way below a retry count in full.
    pub fn end(&self, key: CallKey) -> u32 {
        self.shard(key).remove(&key).map_or(1, |call| call.calls)
    }

    /// Returns the number of running calls.
    pub fn len(&self) -> usize {
        let shards = self.shards.iter();
        shards
            .map(|shard| shard.lock().unwrap_or_else(PoisonError::into_inner).len())
            .sum()
    }

    /// Whether no call runs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Each step leaves the table consistent, so a panic elsewhere under the
    /// lock does no harm.
    fn shard(&self, key: CallKey) -> MutexGuard<'_, HashMap<CallKey, RunningCall>> {
        self.shards[key.0 as usize % SHARDS]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
