//! A worker: slots, a backlog of connections, cold start and crash.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;

/// Requests that a warm worker runs at once.
pub const SLOTS: u32 = 20;

/// Connections that a worker accepts; further ones are refused.
pub const CONNECTIONS: usize = 120;

/// Requests that a worker bears right after its start.
pub const COLD_SLOTS: u32 = 2;

/// Mean service time of a warm worker: 10 ms and an exponential part of 10 ms.
pub const SERVICE: Duration = Duration::from_millis(20);

/// A refused attempt takes this much time of one slot, with or without mesh.
const REFUSAL_COST: Duration = Duration::from_micros(100);

/// A cold worker is slower by this factor, caches being empty.
const COLD_SLOWDOWN: u32 = 5;

/// How long a worker is down after a crash.
pub const DOWN: Duration = Duration::from_secs(1);

/// A worker of the service.
pub struct Worker {
    /// The calls that run.
    pub running: Vec<usize>,
    backlog: VecDeque<usize>,
    cold_since: Option<Duration>,
    /// The end of the time after a crash in which it refuses all.
    pub down_until: Duration,
    /// Counts crashes, so that events of an earlier life are dropped.
    pub life: u32,
    /// What a degraded worker bears.
    pub sustained: u32,
    debt: Duration,
    /// Whether the worker answers at once with an error.
    pub broken: bool,
    /// Whether one request in twenty takes 21 times as long as the others.
    pub mixed: bool,
    /// A cold worker's strength doubles each step.
    pub warm_step: Duration,
    /// A cold worker crashes when it runs more than this many times what it
    /// bears.
    pub crash_factor: u32,
    /// Requests that were started beyond what the cold worker bore.
    pub excess: u64,
    /// When the last of them was started.
    pub last_excess: Duration,
    random: Pcg64,
}

/// What a worker does with a connection.
pub enum Accept {
    /// The request runs and takes this time.
    Started(Duration),
    /// The request waits for a slot.
    Backlog,
    /// The connection is refused.
    Refused,
    /// The worker crashed, with these requests.
    Crashed(Vec<usize>),
}

impl Worker {
    /// Makes a warm worker.
    pub fn new(seed: u64) -> Worker {
        Worker {
            running: Vec::new(),
            backlog: VecDeque::new(),
            cold_since: None,
            down_until: Duration::ZERO,
            life: 0,
            sustained: SLOTS,
            debt: Duration::ZERO,
            broken: false,
            mixed: false,
            warm_step: Duration::from_secs(2),
            crash_factor: 4,
            excess: 0,
            last_excess: Duration::ZERO,
            random: Pcg64::new(u128::from(seed), 1),
        }
    }

    /// Makes the worker cold without a sign to anyone.
    pub fn fall_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
    }

    /// Charges the time of a refusal.
    pub fn refuse(&mut self) {
        self.debt += REFUSAL_COST;
    }

    fn bears(&mut self, now: Duration) -> u32 {
        let Some(since) = self.cold_since else {
            return self.sustained;
        };
        let age = now.saturating_sub(since);
        let doublings = (age.as_millis() / self.warm_step.as_millis()) as u32;
        let bears = COLD_SLOTS << doublings.min(8);
        if bears >= SLOTS {
            self.cold_since = None;
            return self.sustained;
        }
        bears
    }

    /// Takes a request at a time.
    pub fn accept(&mut self, call: usize, now: Duration) -> Accept {
        if now < self.down_until || self.running.len() + self.backlog.len() >= CONNECTIONS {
            self.refuse();
            return Accept::Refused;
        }
        if self.running.len() >= SLOTS as usize {
            self.backlog.push_back(call);
            return Accept::Backlog;
        }
        self.running.push(call);
        let bears = self.bears(now);
        if self.cold_since.is_some() {
            let running = self.running.len() as u32;
            if running > bears {
                self.excess += 1;
                self.last_excess = now;
            }
            if running > bears * self.crash_factor {
                return Accept::Crashed(self.crash(now));
            }
        }
        Accept::Started(self.service_time(now))
    }

    /// Ends the worker and returns the requests that it held.
    pub fn crash(&mut self, now: Duration) -> Vec<usize> {
        self.life += 1;
        self.down_until = now + DOWN;
        self.cold_since = Some(self.down_until);
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.backlog));
        lost
    }

    /// Ends a request. Returns the next one of the backlog, if any.
    pub fn end(&mut self, call: usize, now: Duration) -> Option<(usize, Duration)> {
        self.running.retain(|running| *running != call);
        let next = self.backlog.pop_front()?;
        self.running.push(next);
        Some((next, self.service_time(now)))
    }

    fn service_time(&mut self, now: Duration) -> Duration {
        if self.broken {
            return Duration::from_millis(1);
        }
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let base = match self.mixed {
            false => SERVICE.mul_f64(0.5 - 0.5 * uniform.ln()),
            true if self.random.random_bool(0.05) => SERVICE.mul_f64(10.5),
            true => SERVICE.mul_f64(0.25 - 0.25 * uniform.ln()),
        };
        let base = base + std::mem::take(&mut self.debt);
        let bears = self.bears(now);
        let running = self.running.len() as u32;
        let shared = base.mul_f64(f64::from(running.max(bears)) / f64::from(bears));
        match self.cold_since {
            Some(_) => shared * COLD_SLOWDOWN,
            None => shared,
        }
    }
}
