//! A discrete-event simulation of a fleet: many control machines in one process,
//! on a virtual clock.
//!
//! Failure tests and benchmarks need thousands of daemons and hours of time. An
//! event queue takes the place of the links and the platform. It can lose, delay,
//! duplicate and reorder messages, partition failure domains, and pause or
//! restart hosts. Processor time, queues and bandwidth are not modelled.
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

/// The length in bytes of the packet headers, counted for each message.
pub const PACKET_OVERHEAD: usize = 60;

/// One-way latency within a region, in the same failure domain or between two.
const NEAR: Duration = Duration::from_micros(1500);

/// One-way latency between regions.
const FAR: Duration = Duration::from_millis(12);

/// The time after which a failed dial, a broken session or an unreachable
/// platform is noticed.
const DEAD: Duration = Duration::from_secs(3);

/// A host and the generation of its process; the generation increases by 1 with
/// each crash.
type Life = (usize, u32);

/// The faults of the links between hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkFaults {
    /// The number of messages in a thousand that are lost.
    pub lost: u32,
    /// The number of messages in a thousand that are delivered twice.
    pub doubled: u32,
    /// The greatest extra delay of a message. The delays are uniformly
    /// distributed, so they also reorder messages.
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

/// A host of the fleet with its control machine.
pub struct VirtualHost {
    machine: Option<ControlMachine>,
    life: u32,
    started: Duration,
    incarnation: u64,
    tick_at: Duration,
    paused: bool,
    backlog: Vec<ControlEvent>,
    sessions: SlotMap<PeerKey, Session>,
    /// The latest fleet state that the host published since its process started.
    pub share: Option<Arc<FleetState>>,
    /// The bytes sent to and received from peers and the platform, since the
    /// fleet was created.
    pub bytes: u64,
    /// The bytes of deltas, pages and parts that peers sent to this host.
    pub payload: u64,
    /// The log events since the process started, if
    /// [`VirtualFleet::keep_logs`] is set.
    pub logs: Vec<ControlLog>,
}

impl VirtualHost {
    /// Returns the control machine, or `None` while the host's process does not
    /// run.
    pub fn machine(&self) -> Option<&ControlMachine> {
        self.machine.as_ref()
    }
}

/// A simulated fleet with its platform and links.
pub struct VirtualFleet {
    /// The number of regions, failure domains, hosts, services and seeds.
    pub spec: FleetSpec,
    /// The configuration service that all hosts read.
    pub platform: VirtualPlatform,
    /// The faults of all links between hosts.
    pub faults: LinkFaults,
    /// The bytes that peers sent to other regions, by sending and receiving
    /// region.
    pub link_bytes: HashMap<(usize, usize), u64>,
    /// The bytes between the platform and hosts of other regions, by the hosts'
    /// region.
    pub platform_bytes: HashMap<usize, u64>,
    /// For each version and host, the version's revision and the time from its
    /// publication until the host had it in force. The first version after a
    /// host's start is left out.
    pub delays: Vec<(u64, Duration)>,
    /// The number of events handled by all machines, and the real time spent on
    /// them while `measured` is set.
    pub handled: (u64, Duration),
    /// Whether the time that machines take to handle events is measured.
    pub measured: bool,
    /// Whether the log events of hosts are kept in [`VirtualHost::logs`].
    pub keep_logs: bool,
    hosts: Vec<VirtualHost>,
    addresses: HashMap<SocketAddr, usize>,
    published: Vec<(u64, Duration)>,
    refused: HashSet<VersionId>,
    // The partition of each failure domain and, as the last element, of the
    // platform. Messages are delivered within a partition only.
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

    /// Starts every host after a random time of at most `spread`.
    pub fn start_all(&mut self, spread: Duration) {
        for host in 0..self.hosts.len() {
            let wait = spread.mul_f64(self.rng.random());
            self.push(wait, Step::Start(host));
        }
    }

    /// Ends a host's process. The platform's host list still contains the host.
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

    /// Ends a host's process and starts it again after a time. At the start, the
    /// new incarnation is entered in the platform's host list, which hosts can
    /// read after [`VirtualFleet::publish_lists`].
    pub fn restart(&mut self, host: usize, after: Duration) {
        self.crash(host);
        self.push(after, Step::Start(host));
    }

    /// Suspends a host's process for a time. Messages to it are delivered
    /// afterwards.
    pub fn pause(&mut self, host: usize, time: Duration) {
        self.hosts[host].paused = true;
        let life = (host, self.hosts[host].life);
        self.push(time, Step::Resume(life));
    }

    /// Partitions the network. `groups` has the partition of each failure domain
    /// and, as its last element, that of the platform.
    pub fn partition(&mut self, groups: &[u32]) {
        self.groups = groups.to_vec();
    }

    /// Ends all partitions and connects every failure domain to the platform.
    pub fn heal(&mut self) {
        self.groups.fill(0);
        self.no_platform.clear();
    }

    /// Disconnects only these failure domains from the platform. Their links to
    /// each other still work.
    pub fn cut_platform(&mut self, domains: &[usize]) {
        self.no_platform = domains.iter().copied().collect();
    }

    /// Makes the platform serve the root of an earlier version.
    pub fn set_platform_stale_at(&mut self, mark: &VersionId) {
        self.platform.set_stale_at(mark);
        self.wake_watches();
    }

    /// Publishes a version on the platform.
    pub fn publish(&mut self, content: &FleetContent) {
        self.platform.publish(content);
        self.published.push((content.mark().revision, self.now));
        self.wake_watches();
    }

    /// Makes the simulation panic if a host publishes this version.
    pub fn forbid(&mut self, mark: VersionId) {
        self.refused.insert(mark);
    }

    /// Changes how the platform answers.
    pub fn set_platform(&mut self, state: PlatformState) {
        self.platform.set_state(state);
        self.wake_watches();
    }

    /// Makes the changes of the host lists visible to readers.
    pub fn publish_lists(&mut self) {
        self.platform.publish_lists(&self.spec);
        self.wake_watches();
    }

    /// Sends an event to a host at the present time, such as
    /// [`ControlEvent::ServiceRequested`].
    pub fn inject(&mut self, host: usize, event: ControlEvent) {
        let life = (host, self.hosts[host].life);
        self.push(Duration::ZERO, Step::Event(life, Box::new(event)));
    }

    /// Returns the running hosts whose published fleet state is not of this
    /// version.
    pub fn behind(&self, mark: VersionId) -> Vec<usize> {
        let held = |host: &VirtualHost| {
            let share = host.share.as_ref();
            share.map(|share| (share.revision, share.root)) == Some((mark.revision, mark.root))
        };
        (0..self.hosts.len())
            .filter(|host| self.hosts[*host].machine.is_some() && !held(&self.hosts[*host]))
            .collect()
    }

    /// Advances the virtual clock by a time and handles the events that fall due.
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

    /// Runs until all running hosts have a version in force, and returns how long
    /// that took to within 100 ms, or `None` if it took longer than `time`.
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
        // The platform's host lists contain each host with incarnation 1 from the
        // beginning.
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
