//! The length of the answers of each route, learnt from the answers.
//!
//! The length of an answer is not known when its request is placed, but the
//! answers of one route are about as long.

use indexmap::IndexMap;

use crate::body_admission::LONG_BODY;
use crate::target_speed::RouteKey;

/// The weight of one answer in the mean length.
const ANSWER_WEIGHT: f64 = 0.1;

/// The greatest number of routes for which lengths are kept.
const MAX_ROUTES: usize = 2_048;

/// The mean length of the answers of each route.
#[derive(Debug, Clone, Default)]
pub struct AnswerLengths {
    routes: IndexMap<RouteKey, f64>,
}

impl AnswerLengths {
    /// Records the length of an answer in bytes.
    pub fn record(&mut self, route: RouteKey, bytes: u64) {
        if route == RouteKey::UNKNOWN {
            return;
        }
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            // Routes of former configurations are the oldest ones.
            self.routes.shift_remove_index(0);
        }
        let mean = self.routes.entry(route).or_insert(bytes as f64);
        *mean += (bytes as f64 - *mean) * ANSWER_WEIGHT;
    }

    /// Returns the expected length of an answer in bytes if it is as long as a long
    /// body; 0 if it is shorter or unknown.
    pub fn long(&self, route: RouteKey) -> u64 {
        let mean = self.routes.get(&route).map_or(0, |mean| *mean as u64);
        if mean >= LONG_BODY { mean } else { 0 }
    }

    /// Returns the number of routes whose answers are long.
    pub fn long_routes(&self) -> usize {
        let is_long = |mean: &&f64| **mean >= LONG_BODY as f64;
        self.routes.values().filter(is_long).count()
    }
}
