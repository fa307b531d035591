//! Many control machines in one process, on a virtual clock.
//!
//! Failure tests and benchmarks need thousands of daemons and hours of time. A
//! queue of events stands for links and the platform; it can lose, delay, repeat
//! and reorder messages, cut failure domains off, and pause or restart hosts.
//! Processor time, queues and bandwidth are not modelled.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use radishgauge_standin::virtual_fleet::VirtualFleet;
//! use radishgauge_standin::virtual_fleet::content::FleetContent;
//! use radishgauge_standin::virtual_fleet::content::FleetSpec;
//!
//! let spec = FleetSpec { regions: 1, domains: 2, hosts: 4, services: 4, seeds: 2 };
//! let content = FleetContent::new(&spec);
//! let mut fleet = VirtualFleet::new(spec, 1);
//! fleet.publish(&content);
//! fleet.start_all(Duration::from_millis(100));
//! fleet.run_for(Duration::from_secs(60));
//! assert!(fleet.behind(content.mark()).is_empty());
//! ```

mod check;
mod links;

pub mod content;
pub mod platform;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishgauge_control::ControlConfig;
use radishgauge_control::ControlEvent;
use radishgauge_control::ControlLog;
use radishgauge_control::ControlMachine;
use radishgauge_control::ControlPolicy;
use radishgauge_control::FleetState;
use radishgauge_control::PeerKey;
use radishgauge_control::PlatformAnswer;
use radishgauge_control::RequestId;
use radishgauge_control::ledger::VersionId;
use radishgauge_schema::config::HostState;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use slotmap::SlotMap;

use crate::virtual_fleet::content::FleetContent;
use crate::virtual_fleet::content::FleetSpec;
use crate::virtual_fleet::content::PlainRule;
use crate::virtual_fleet::platform::PlatformState;
use crate::virtual_fleet::platform::VirtualPlatform;
use crate::virtual_fleet::platform::Watch;

/// The bytes of packet headers counted for each message.
pub const PACKET_OVERHEAD: usize = 60;

/// One-way latency within a failure domain and between those of a region.
const NEAR: Duration = Duration::from_micros(1500);

/// One-way latency between regions.
const FAR: Duration = Duration::from_millis(12);

/// How long a dial or a session takes to be known as dead.
const DEAD: Duration = Duration::from_secs(3);

/// Names a host in one life of its process.
type Life = (usize, u32);

/// How links mistreat messages.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkFaults {
    /// Messages lost, of a thousand.
    pub lost: u32,
    /// Messages delivered twice, of a thousand.
    pub doubled: u32,
    /// The greatest extra delay, uniformly distributed, which also reorders.
    pub delay: Duration,
}

#[derive(Debug)]
enum Step {
    Tick(Life),
    Event(Life, Box<ControlEvent>),
    Connect(Life, SocketAddr),
    Start(usize),
    Resume(Life),
    PlatformCall(Box<Watch>, bool),
    WatchEnd(usize, u32, RequestId),
}

#[derive(Debug)]
struct Queued {
    at: Duration,
    order: u64,
    step: Step,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Debug, Clone, Copy)]
struct Session {
    remote: Life,
    key: PeerKey,
}

/// One host of the fleet.
pub struct VirtualHost {
    machine: Option<ControlMachine>,
    life: u32,
    started: Duration,
    incarnation: u64,
    tick_at: Duration,
    paused: bool,
    backlog: Vec<ControlEvent>,
    sessions: SlotMap<PeerKey, Session>,
    /// The share that the host published last in this life.
    pub share: Option<Arc<FleetState>>,
    /// The bytes that it sent to and received from peers.
    pub bytes: u64,
    /// The bytes of deltas, pages and parts that peers sent to it.
    pub payload: u64,
    /// Its log events of this life, when the fleet keeps them.
    pub logs: Vec<ControlLog>,
}

impl VirtualHost {
    /// Returns the machine while the host's process runs.
    pub fn machine(&self) -> Option<&ControlMachine> {
        self.machine.as_ref()
    }
}

/// The fleet, its platform and its links.
pub struct VirtualFleet {
    /// The size.
    pub spec: FleetSpec,
    /// The platform.
    pub platform: VirtualPlatform,
    /// The faults of all links between hosts.
    pub faults: LinkFaults,
    /// Bytes between regions by peers, by (sending, receiving) region.
    pub link_bytes: HashMap<(usize, usize), u64>,
    /// Bytes between the platform's region and others, by region.
    pub platform_bytes: HashMap<usize, u64>,
    /// The time from a version's publication until a host had it in force.
    pub delays: Vec<(u64, Duration)>,
    /// The events handled by all machines, and the time that took.
    pub handled: (u64, Duration),
    /// Whether machines are timed and logs kept.
    pub measured: bool,
    /// Whether log events are kept.
    pub keep_logs: bool,
    hosts: Vec<VirtualHost>,
    addresses: HashMap<SocketAddr, usize>,
    published: Vec<(u64, Duration)>,
    refused: HashSet<VersionId>,
    // The group of each failure domain, and of the platform as the last one;
    // messages pass within a group only.
    groups: Vec<u32>,
    no_platform: HashSet<usize>,
    queue: BinaryHeap<Reverse<Queued>>,
    order: u64,
    now: Duration,
    rng: Pcg32,
}

impl VirtualFleet {
    /// Returns a fleet whose hosts have not started.
    pub fn new(spec: FleetSpec, seed: u64) -> VirtualFleet {
        let count = spec.host_count();
        let host = |_| VirtualHost {
            machine: None,
            life: 0,
            started: Duration::ZERO,
            incarnation: 0,
            tick_at: Duration::ZERO,
            paused: false,
            backlog: Vec::new(),
            sessions: SlotMap::with_key(),
            share: None,
            bytes: 0,
            payload: 0,
            logs: Vec::new(),
        };
        let domains = spec.regions * spec.domains;
        let mut platform = VirtualPlatform::default();
        for host in 0..count {
            platform.list_host(&spec, host, 1, HostState::Live);
        }
        platform.publish_lists(&spec);
        VirtualFleet {
            addresses: (0..count).map(|host| (spec.address(host), host)).collect(),
            spec,
            platform,
            faults: LinkFaults::default(),
            link_bytes: HashMap::new(),
            platform_bytes: HashMap::new(),
            delays: Vec::new(),
            handled: (0, Duration::ZERO),
            measured: false,
            keep_logs: false,
            hosts: (0..count).map(host).collect(),
            published: Vec::new(),
            refused: HashSet::new(),
            groups: vec![0; domains + 1],
            no_platform: HashSet::new(),
            queue: BinaryHeap::new(),
            order: 0,
            now: Duration::ZERO,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns a host.
    pub fn host(&self, host: usize) -> &VirtualHost {
        &self.hosts[host]
    }

    /// Starts every host at a random time within the spread.
    pub fn start_all(&mut self, spread: Duration) {
        for host in 0..self.hosts.len() {
            let wait = spread.mul_f64(self.rng.random());
            self.push(wait, Step::Start(host));
        }
    }

    /// Ends a host's process; the platform's list still names it.
    pub fn crash(&mut self, host: usize) {
        let held = &mut self.hosts[host];
        held.machine = None;
        held.life += 1;
        held.share = None;
        held.paused = false;
        held.backlog.clear();
        held.logs.clear();
        let sessions: Vec<_> = held.sessions.drain().map(|(_, session)| session).collect();
        for session in sessions {
            self.close(session, DEAD);
        }
    }

    /// Ends a host's process and starts it again after a time; the platform's
    /// list names the new incarnation at once.
    pub fn restart(&mut self, host: usize, after: Duration) {
        self.crash(host);
        self.push(after, Step::Start(host));
    }

    /// Stops a host's process from running for a time; messages to it wait.
    pub fn pause(&mut self, host: usize, time: Duration) {
        self.hosts[host].paused = true;
        let life = (host, self.hosts[host].life);
        self.push(time, Step::Resume(life));
    }

    /// Splits the fleet: a group for each failure domain, and the platform's last.
    pub fn partition(&mut self, groups: &[u32]) {
        self.groups = groups.to_vec();
    }

    /// Joins all groups, and all failure domains with the platform.
    pub fn heal(&mut self) {
        self.groups.fill(0);
        self.no_platform.clear();
    }

    /// Cuts failure domains off the platform, but not off each other.
    pub fn cut_platform(&mut self, domains: &[usize]) {
        self.no_platform = domains.iter().copied().collect();
    }

    /// Makes the platform serve the values of an earlier version.
    pub fn set_platform_stale_at(&mut self, mark: &VersionId) {
        self.platform.set_stale_at(mark);
        self.wake_watches();
    }

    /// Publishes a version at the platform.
    pub fn publish(&mut self, content: &FleetContent) {
        self.platform.publish(content);
        self.published.push((content.mark().revision, self.now));
        self.wake_watches();
    }

    /// Declares that no host may ever publish a version.
    pub fn forbid(&mut self, mark: VersionId) {
        self.refused.insert(mark);
    }

    /// Changes how the platform answers.
    pub fn set_platform(&mut self, state: PlatformState) {
        self.platform.set_state(state);
        self.wake_watches();
    }

    /// Makes changed host lists readable.
    pub fn publish_lists(&mut self) {
        self.platform.publish_lists(&self.spec);
        self.wake_watches();
    }

    /// Gives an event to a host now, such as a wanted service.
    pub fn inject(&mut self, host: usize, event: ControlEvent) {
        let life = (host, self.hosts[host].life);
        self.push(Duration::ZERO, Step::Event(life, Box::new(event)));
    }

    /// Returns the running hosts that do not have a version in force.
    pub fn behind(&self, mark: VersionId) -> Vec<usize> {
        let held = |host: &VirtualHost| {
            let share = host.share.as_ref();
            share.map(|share| (share.revision, share.root)) == Some((mark.revision, mark.root))
        };
        (0..self.hosts.len())
            .filter(|host| self.hosts[*host].machine.is_some() && !held(&self.hosts[*host]))
            .collect()
    }

    /// Runs for a time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(queued)| queued.at <= end)
        {
            self.step();
        }
        self.now = end;
    }

    /// Runs until all running hosts have a version in force; returns how long
    /// that took, or `None` when the time ended first.
    pub fn run_until(&mut self, mark: VersionId, time: Duration) -> Option<Duration> {
        let start = self.now;
        let slice = Duration::from_millis(100);
        while self.now < start + time {
            self.run_for(slice);
            if self.behind(mark).is_empty() {
                return Some(self.now - start);
            }
        }
        None
    }

    fn push(&mut self, wait: Duration, step: Step) {
        self.order += 1;
        self.queue.push(Reverse(Queued {
            at: self.now + wait,
            order: self.order,
            step,
        }));
    }

    fn step(&mut self) {
        let Some(Reverse(queued)) = self.queue.pop() else {
            return;
        };
        self.now = queued.at;
        match queued.step {
            Step::Tick((host, life)) => {
                if self.hosts[host].life == life && self.hosts[host].tick_at == self.now {
                    self.handle((host, life), ControlEvent::Tick);
                }
            }
            Step::Event(life, event) => self.handle(life, *event),
            Step::Connect(life, address) => self.connect(life, address),
            Step::Start(host) => self.start(host),
            Step::Resume((host, life)) => self.resume(host, life),
            Step::PlatformCall(watch, waits) => self.platform_call(*watch, waits),
            Step::WatchEnd(host, life, id) => {
                let watches = &mut self.platform.watches;
                let ended = watches
                    .iter()
                    .position(|watch| watch.caller == (host, life) && watch.id == id);
                if let Some(at) = ended {
                    let watch = watches.swap_remove(at);
                    self.answer_call(&watch, Ok(PlatformAnswer::Unchanged));
                }
            }
        }
    }

    fn start(&mut self, host: usize) {
        if self.hosts[host].machine.is_some() {
            return;
        }
        let domain = self.spec.domain_of(host);
        let first = domain * self.spec.hosts;
        // The platform's lists name the first incarnation of each host as 1.
        let incarnation = match self.hosts[host].life {
            0 => 1,
            _ => 1 + self.now.as_millis() as u64,
        };
        let config = ControlConfig {
            host: self.spec.host_name(host),
            region: self.spec.region_name(self.spec.region_of(domain)),
            domain: self.spec.domain_name(domain),
            address: self.spec.address(host),
            incarnation,
            seeds: (first..first + self.spec.seeds)
                .map(|seed| self.spec.address(seed))
                .collect(),
            policy: ControlPolicy::default(),
            rule: Arc::new(PlainRule),
        };
        let held = &mut self.hosts[host];
        held.machine = Some(ControlMachine::new(config, self.rng.random()));
        held.started = self.now;
        held.incarnation = incarnation;
        let life = (host, held.life);
        self.platform
            .list_host(&self.spec, host, incarnation, HostState::Live);
        self.handle(life, ControlEvent::Tick);
    }

    fn resume(&mut self, host: usize, life: u32) {
        let held = &mut self.hosts[host];
        if held.life != life || !std::mem::replace(&mut held.paused, false) {
            return;
        }
        let backlog = std::mem::take(&mut held.backlog);
        self.handle((host, life), ControlEvent::Tick);
        for event in backlog {
            self.handle((host, life), event);
        }
    }

    fn handle(&mut self, life: Life, event: ControlEvent) {
        let (host, number) = life;
        let held = &mut self.hosts[host];
        if held.life != number {
            return;
        }
        if held.paused {
            if !matches!(event, ControlEvent::Tick) {
                held.backlog.push(event);
            }
            return;
        }
        let Some(machine) = &mut held.machine else {
            return;
        };
        let now = self.now - held.started;
        let clock = self.measured.then(std::time::Instant::now);
        let actions = machine.handle(event, now);
        if let Some(clock) = clock {
            self.handled.1 += clock.elapsed();
        }
        self.handled.0 += 1;
        let due = machine.next_tick().max(now) + held.started;
        if due != held.tick_at {
            held.tick_at = due;
            self.push(due - self.now, Step::Tick(life));
        }
        for action in actions {
            self.act(life, action);
        }
    }
}
