//! A worker: slots, a backlog of connections, cold start and crash.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;

/// Requests that a warm worker runs at once.
pub const SLOTS: u32 = 20;

/// Connections that a worker accepts; further ones are refused.
pub const CONNECTIONS: usize = 120;

/// Requests that a worker bears right after its start; doubles each 2 s.
pub const COLD_SLOTS: u32 = 2;

/// Mean service time of a warm worker: 10 ms and an exponential part of 10 ms.
pub const SERVICE: Duration = Duration::from_millis(20);

/// A refused attempt takes this much time of one slot, with or without mesh.
const REFUSAL_COST: Duration = Duration::from_micros(100);

/// A cold worker is slower by this factor, caches being empty.
const COLD_SLOWDOWN: u32 = 5;

/// A cold worker crashes when it runs more than this many times what it bears.
const CRASH_FACTOR: u32 = 4;

/// How long a worker is down after a crash.
pub const DOWN: Duration = Duration::from_secs(1);

/// A worker of the service.
pub struct Worker {
    pub running: Vec<usize>,
    backlog: VecDeque<usize>,
    cold_since: Option<Duration>,
    pub down_until: Duration,
    /// Counts crashes, so that events of an earlier life are dropped.
    pub life: u32,
    /// What a degraded worker bears.
    pub sustained: u32,
    debt: Duration,
    /// The most requests that ran at once, in percent of what a cold worker bore.
    pub cold_load: u32,
    random: Pcg64,
}

/// What a worker does with a connection.
pub enum Accept {
    Started(Duration),
    Backlog,
    Refused,
    /// The worker crashed, with these requests.
    Crashed(Vec<usize>),
}

impl Worker {
    pub fn new(seed: u64) -> Worker {
        Worker {
            running: Vec::new(),
            backlog: VecDeque::new(),
            cold_since: None,
            down_until: Duration::ZERO,
            life: 0,
            sustained: SLOTS,
            debt: Duration::ZERO,
            cold_load: 0,
            random: Pcg64::new(u128::from(seed), 1),
        }
    }

    /// Makes the worker cold without a sign to anyone.
    pub fn fall_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
        self.cold_load = 0;
    }

    pub fn refuse(&mut self) {
        self.debt += REFUSAL_COST;
    }

    fn bears(&mut self, now: Duration) -> u32 {
        let Some(since) = self.cold_since else {
            return self.sustained;
        };
        let doublings = now.saturating_sub(since).as_millis() as u32 / 2000;
        let bears = COLD_SLOTS << doublings.min(8);
        if bears >= SLOTS {
            self.cold_since = None;
            return self.sustained;
        }
        bears
    }

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
            self.cold_load = self.cold_load.max(running * 100 / bears);
            if running > bears * CRASH_FACTOR {
                return Accept::Crashed(self.crash(now));
            }
        }
        Accept::Started(self.service_time(now))
    }

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
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let base = SERVICE.mul_f64(0.5 - 0.5 * uniform.ln()) + std::mem::take(&mut self.debt);
        let bears = self.bears(now);
        let running = self.running.len() as u32;
        let shared = base.mul_f64(f64::from(running.max(bears)) / f64::from(bears));
        match self.cold_since {
            Some(_) => shared * COLD_SLOWDOWN,
            None => shared,
        }
    }
}
