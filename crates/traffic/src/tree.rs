//! The number of calls that are made on behalf of each running call.
//!
//! A retry pays for a number of calls in advance. All calls that a target makes
//! pass through the daemon on its host, which counts them here and refuses those
//! beyond the allowance. The count is returned with the response and used to
//! estimate the cost of later retries.

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

/// The number of shards of the table; with several, threads rarely contend for
/// a lock.
const SHARDS: usize = 16;

/// Identifies a running call of one daemon; sent in the context header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallKey(pub u64);

/// Permission to make one call on behalf of a running call.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the calls that were made are reported with `CallTree::end_child`"]
pub struct ChildGrant {
    parent: Option<CallKey>,
    allowance: Option<u32>,
}

impl ChildGrant {
    /// Returns the number of calls that may be made, including the granted one;
    /// `None` for a call that is not made on behalf of a retry.
    pub fn allowance(&self) -> Option<u32> {
        self.allowance
    }
}

#[derive(Debug)]
struct RunningCall {
    /// The number of calls made or granted, including the running call.
    calls: u32,
    /// The remaining allowance of a retry, in calls.
    remaining: Option<u32>,
}

/// The running calls of one daemon and the number of calls made on behalf of
/// each.
#[derive(Debug)]
pub struct CallTree {
    shards: [Mutex<HashMap<CallKey, RunningCall>>; SHARDS],
    next: AtomicU64,
}

impl CallTree {
    /// Returns an empty table. The seed determines the first key, so that keys
    /// from before a restart of the daemon are not mistaken for current ones.
    pub fn new(seed: u64) -> CallTree {
        let mut random = Pcg64::new(u128::from(seed), 0);
        CallTree {
            shards: Default::default(),
            next: AtomicU64::new(random.random()),
        }
    }

    /// Registers a call that starts at a target of this host. `allowance` is
    /// the one in its context, which is `None` unless it is a retry or made on
    /// behalf of one.
    pub fn begin(&self, allowance: Option<u32>) -> CallKey {
        let key = CallKey(self.next.fetch_add(1, Ordering::Relaxed));
        let call = RunningCall {
            calls: 1,
            remaining: allowance.map(|calls| calls.saturating_sub(1)),
        };
        self.shard(key).insert(key, call);
        key
    }

    /// Grants one call that a target makes on behalf of the running call
    /// `parent`. `in_retry` is whether the context header contains an allowance,
    /// and `estimate` the number of calls that the new call is expected to
    /// cause.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Allowance`] when the allowance is exhausted, or when the
    /// header contains an allowance but the parent is not running any more, so
    /// that its allowance is gone.
    pub fn begin_child(
        &self,
        parent: Option<CallKey>,
        in_retry: bool,
        estimate: u32,
    ) -> Result<ChildGrant, Refusal> {
        let refusal = Refusal::new(RefusalReason::Allowance);
        let mut allowance = None;
        if let Some(key) = parent
            && let Some(call) = self.shard(key).get_mut(&key)
        {
            let granted = match &mut call.remaining {
                Some(0) => return Err(refusal),
                Some(remaining) => {
                    let granted = estimate.clamp(1, *remaining);
                    *remaining -= granted;
                    allowance = Some(granted);
                    granted
                }
                None => 1,
            };
            call.calls = call.calls.saturating_add(granted);
        } else if in_retry {
            return Err(refusal);
        }
        Ok(ChildGrant { parent, allowance })
    }

    /// Ends a call that was granted; `calls` is the number of calls that it
    /// caused, if known.
    pub fn end_child(&self, grant: ChildGrant, calls: Option<u32>) {
        let Some(key) = grant.parent else { return };
        let mut shard = self.shard(key);
        let Some(call) = shard.get_mut(&key) else {
            return;
        };
        match grant.allowance {
            // When the number of calls is unknown, the whole grant counts as
            // used.
            Some(granted) => {
                let unused = granted.saturating_sub(calls.unwrap_or(granted));
                call.calls -= unused;
                call.remaining = call.remaining.map(|remaining| remaining + unused);
            }
            None => call.calls = call.calls.saturating_add(calls.unwrap_or(1).max(1) - 1),
        }
    }

    /// Ends a running call. Returns the number of calls that were made on its
    /// behalf, itself included. Under a retry, calls that are still in flight
    /// count as their whole grant.
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

    /// Returns whether no call is running.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Ignores poisoning: each step leaves the table consistent, so that it is
    /// still usable after a panic of a thread that held the lock.
    fn shard(&self, key: CallKey) -> MutexGuard<'_, HashMap<CallKey, RunningCall>> {
        self.shards[key.0 as usize % SHARDS]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
