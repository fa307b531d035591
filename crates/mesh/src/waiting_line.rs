//! The waiting line of an entry daemon: requests that cannot be answered within
//! their objective any more, but whose callers still wait.
//!
//! Such a request is worth serving, though less than one in time. It waits here and
//! not at an owner, whose queue is for requests in time, and it is sent only to a
//! target with a free slot that nobody waits for. The line admits a request only if
//! the forecast of spare capacity lets it be served before its time limit, so that
//! few requests wait in vain.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::scheduling;
use crate::spare_forecast::SpareCapacity;
use crate::spare_forecast::SpareForecast;

/// How long before its time limit a request is refused, so that the refusal reaches
/// its caller in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(60);

/// The number of requests that may wait while nothing is known of spare capacity, or
/// while this daemon's part of it is less. They find out whether there is some.
const PROBING_PLACES: usize = 1;

/// The greatest number of requests that wait for one service.
const MAX_PLACES: usize = 64;

/// The least time between two observations of the spare capacity.
const SPARE_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two checks for free capacity in the reports of owners.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The time after a refused try until the next one. It doubles with each refusal in a
/// row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest time between two tries.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// The number of tries of one request that owners may refuse. Further ones would load
/// the owners for a request that has little chance.
const MAX_REFUSED_TRIES: u32 = 12;

/// A request that may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineRequest {
    /// The urgency; more urgent requests are sent first.
    pub urgency: u32,
    /// The whole latency objective.
    pub objective: Duration,
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// The time limit of the request when it arrived.
    pub time_limit: Duration,
    /// The expected time of the run.
    pub run: Duration,
}

/// Why a request does not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineRefusal {
    /// The time limit is too near to the objective.
    TimeLimit,
    /// The line is as long as it may be.
    Full,
    /// The request is not expected to be served before its time limit.
    NoChance,
}

/// Identifies a place in a line; ordered as requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinePlace {
    urgency: u32,
    number: u64,
}

/// What a waiting request does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineStep {
    /// Looks for a target now.
    Try,
    /// Waits until the given time, or until it is the first.
    Wait(Duration),
    /// Is refused: its time limit cannot be met any more, or owners refused too many
    /// of its tries.
    GiveUp,
}

/// The state of one waiting request.
#[derive(Debug, Clone, Copy)]
struct WaitingState {
    give_up_at: Duration,
    refused_tries: u32,
}

/// The requests for one service that wait at one daemon.
#[derive(Debug, Default)]
pub struct WaitingLine {
    places: BTreeMap<LinePlace, WaitingState>,
    next_number: u64,
    /// The capacity that requests in time leave to this daemon.
    spare: SpareForecast,
    next_try: Duration,
    pause: Duration,
}

impl WaitingLine {
    /// Adds a request to the line.
    ///
    /// # Errors
    ///
    /// When the request must be refused at once, because waiting has no chance.
    pub fn join(&mut self, request: &LineRequest, now: Duration) -> Result<LinePlace, LineRefusal> {
        if !scheduling::may_wait_late(request.objective, request.time_limit) {
            return Err(LineRefusal::TimeLimit);
        }
        let give_up_at = request
            .deadline
            .saturating_sub(REFUSAL_MARGIN + scheduling::late_run(request.run));
        if give_up_at <= now {
            return Err(LineRefusal::NoChance);
        }
        if self.places.len() >= MAX_PLACES {
            return Err(LineRefusal::Full);
        }
        let place = LinePlace {
            urgency: request.urgency,
            number: self.next_number,
        };
        let ahead = self.places.range(..place).count();
        let served = match self.spare.is_known(now) {
            true => self.spare.served_within(give_up_at - now, now),
            false => 0.0,
        };
        let served = match self.spare.is_known(now) && self.spare.is_busy() {
            true => served,
            false => served.max(PROBING_PLACES as f64),
        };
        if ahead as f64 + 1.0 > served {
            return Err(LineRefusal::NoChance);
        }
        self.next_number += 1;
        let state = WaitingState {
            give_up_at,
            refused_tries: 0,
        };
        self.places.insert(place, state);
        Ok(place)
    }

    /// Returns what a waiting request does next.
    pub fn next_step(&self, place: LinePlace, now: Duration) -> LineStep {
        let Some(&state) = self.places.get(&place) else {
            return LineStep::GiveUp;
        };
        let give_up_at = state.give_up_at;
        if now >= give_up_at || state.refused_tries >= MAX_REFUSED_TRIES {
            LineStep::GiveUp
        } else if self.first() != Some(place) {
            LineStep::Wait(give_up_at)
        } else if now >= self.next_try {
            LineStep::Try
        } else {
            LineStep::Wait(self.next_try.min(give_up_at))
        }
    }

    /// Returns whether the spare capacity should be observed.
    pub fn needs_spare(&self, now: Duration) -> bool {
        let observed_at = self.spare.observed_at();
        observed_at.is_none_or(|at| now.saturating_sub(at) >= SPARE_INTERVAL)
    }

    /// Records the capacity that requests in time leave to this daemon.
    pub fn record_spare(&mut self, spare: SpareCapacity, now: Duration) {
        self.spare.observe(spare, now);
    }

    /// Returns the forecast of the capacity that requests in time leave to this daemon.
    pub fn forecast(&self) -> &SpareForecast {
        &self.spare
    }

    /// Returns the request that is sent next.
    pub fn first(&self) -> Option<LinePlace> {
        self.places.first_key_value().map(|(place, _)| *place)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Records that no target is known to have a free slot.
    pub fn record_none_free(&mut self, now: Duration) {
        self.next_try = now + CHECK_INTERVAL;
    }

    /// Records that an owner refused a try of a request.
    pub fn record_refused(&mut self, place: LinePlace, now: Duration) {
        if let Some(state) = self.places.get_mut(&place) {
            state.refused_tries += 1;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.next_try = now + self.pause;
    }

    /// Records that a slot was found, and removes the request from the line.
    pub fn record_served(&mut self, place: LinePlace, now: Duration) {
        self.pause = Duration::ZERO;
        self.next_try = now;
        self.leave(place);
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, place: LinePlace) {
        self.places.remove(&place);
    }
}
