//! A simulated worker with slots, a connection backlog, cold starts and crashes.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;

/// The number of requests that a worker runs at once.
pub const SLOTS: u32 = 20;

/// The number of connections that a worker accepts; further ones are refused.
pub const CONNECTIONS: usize = 120;

/// The number of requests that a worker runs at full speed right after its start.
pub const COLD_SLOTS: u32 = 2;

/// Mean service time of a warm worker: 10 ms plus an exponentially distributed
/// time with a mean of 10 ms.
pub const SERVICE: Duration = Duration::from_millis(20);

/// The time of one slot that a refused attempt costs, with or without the mesh.
const REFUSAL_COST: Duration = Duration::from_micros(100);

/// The factor by which a cold worker is slower, because its caches are empty.
const COLD_SLOWDOWN: u32 = 5;

/// The time that a worker is down after a crash.
pub const DOWN: Duration = Duration::from_secs(1);

/// The state of a worker.
pub struct Worker {
    /// The calls that occupy a slot.
    pub running: Vec<usize>,
    backlog: VecDeque<usize>,
    cold_since: Option<Duration>,
    /// The time until which the worker refuses all connections after a crash.
    pub down_until: Duration,
    /// The number of crashes; events scheduled before the latest one are ignored.
    pub generation: u32,
    /// The number of requests that the worker runs at full speed while it is
    /// warm; less than [`SLOTS`] for a degraded worker.
    pub warm_capacity: u32,
    refusal_cost: Duration,
    /// Whether the worker fails every request after 1 ms.
    pub broken: bool,
    /// Whether one request in twenty takes 21 times as long as the others do on
    /// average.
    pub mixed: bool,
    /// The time in which the capacity of a cold worker doubles.
    pub warm_step: Duration,
    /// A cold worker crashes when it runs more than this many times its capacity.
    pub crash_factor: u32,
    /// The number of requests started beyond the capacity of a cold worker.
    pub excess: u64,
    /// The start time of the latest request counted in `excess`.
    pub last_excess: Duration,
    random: Pcg64,
}

/// What a worker does with a new connection.
pub enum Accept {
    /// The request runs and will take this time.
    Started(Duration),
    /// The request waits for a slot.
    Backlog,
    /// The connection is refused.
    Refused,
    /// The worker crashed, and these requests were lost.
    Crashed(Vec<usize>),
}

impl Worker {
    /// Creates a warm worker.
    pub fn new(seed: u64) -> Worker {
        Worker {
            running: Vec::new(),
            backlog: VecDeque::new(),
            cold_since: None,
            down_until: Duration::ZERO,
            generation: 0,
            warm_capacity: SLOTS,
            refusal_cost: Duration::ZERO,
            broken: false,
            mixed: false,
            warm_step: Duration::from_secs(2),
            crash_factor: 4,
            excess: 0,
            last_excess: Duration::ZERO,
            random: Pcg64::new(u128::from(seed), 1),
        }
    }

    /// Makes the worker cold. Nothing tells its daemon about it.
    pub fn make_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
    }

    /// Adds the cost of a refused attempt to the service time of the next request.
    pub fn refuse(&mut self) {
        self.refusal_cost += REFUSAL_COST;
    }

    fn capacity(&mut self, now: Duration) -> u32 {
        let Some(since) = self.cold_since else {
            return self.warm_capacity;
        };
        let age = now.saturating_sub(since);
        let doublings = (age.as_millis() / self.warm_step.as_millis()) as u32;
        let capacity = COLD_SLOTS << doublings.min(8);
        if capacity >= SLOTS {
            self.cold_since = None;
            return self.warm_capacity;
        }
        capacity
    }

    /// Accepts or refuses the connection of a call.
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
        let capacity = self.capacity(now);
        if self.cold_since.is_some() {
            let running = self.running.len() as u32;
            if running > capacity {
                self.excess += 1;
                self.last_excess = now;
            }
            if running > capacity * self.crash_factor {
                return Accept::Crashed(self.crash(now));
            }
        }
        Accept::Started(self.service_time(now))
    }

    /// Crashes the worker, and returns the requests that ran or waited. It is cold
    /// after its restart.
    pub fn crash(&mut self, now: Duration) -> Vec<usize> {
        self.generation += 1;
        self.down_until = now + DOWN;
        self.cold_since = Some(self.down_until);
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.backlog));
        lost
    }

    /// Ends a request. Starts the next one of the backlog, if any, and returns it
    /// with its service time.
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
        let base = base + std::mem::take(&mut self.refusal_cost);
        let capacity = self.capacity(now);
        let running = self.running.len() as u32;
        let shared = base.mul_f64(f64::from(running.max(capacity)) / f64::from(capacity));
        match self.cold_since {
            Some(_) => shared * COLD_SLOWDOWN,
            None => shared,
        }
    }
}
