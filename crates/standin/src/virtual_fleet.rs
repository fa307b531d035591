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
//! assert!(fleet.hosts_without(content.version()).is_empty());
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

use crate::virtual_fleet::content::ConfigRule;
use crate::virtual_fleet::content::FleetContent;
use crate::virtual_fleet::content::FleetSpec;
use crate::virtual_fleet::platform::PlatformState;
use crate::virtual_fleet::platform::VirtualPlatform;
use crate::virtual_fleet::platform::Watch;

/// The length in bytes of the packet headers, counted for each message.
pub const PACKET_OVERHEAD: usize = 60;

/// One-way latency within a region, in the same failure domain or between two.
const REGION_LATENCY: Duration = Duration::from_micros(1500);

/// One-way latency between regions.
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(12);

/// The time after which a failed dial, a broken session or an unreachable
/// platform is noticed.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(3);

/// A host and the generation of its process; the generation increases by 1 with
/// each crash.
type ProcessGeneration = (usize, u32);

/// The faults of the links between hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkFaults {
    /// The number of messages in a thousand that are lost.
    pub lost_per_mille: u32,
    /// The number of messages in a thousand that are delivered twice.
    pub duplicated_per_mille: u32,
    /// The greatest extra delay of a message. The delays are uniformly
    /// distributed, so they also reorder messages.
    pub delay: Duration,
}

// A step of the simulation. The flag of `PlatformCall` says whether the call is a
// watch or a read; `WatchEnd` has the host, generation and id of the watch that
// times out.
#[derive(Debug)]
enum Step {
    Tick(ProcessGeneration),
    Event(ProcessGeneration, Box<ControlEvent>),
    Connect(ProcessGeneration, SocketAddr),
    Start(usize),
    Resume(ProcessGeneration),
    PlatformCall(Box<Watch>, bool),
    WatchEnd(usize, u32, RequestId),
}

#[derive(Debug)]
struct QueuedStep {
    at: Duration,
    sequence: u64,
    step: Step,
}

impl PartialEq for QueuedStep {
    fn eq(&self, other: &QueuedStep) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for QueuedStep {}

impl PartialOrd for QueuedStep {
    fn partial_cmp(&self, other: &QueuedStep) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedStep {
    fn cmp(&self, other: &QueuedStep) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

#[derive(Debug, Clone, Copy)]
struct Session {
    remote: ProcessGeneration,
    key: PeerKey,
}

/// A host of the fleet with its control machine.
pub struct VirtualHost {
    machine: Option<ControlMachine>,
    generation: u32,
    started: Duration,
    incarnation: u64,
    tick_at: Duration,
    paused: bool,
    backlog: Vec<ControlEvent>,
    sessions: SlotMap<PeerKey, Session>,
    /// The latest fleet state that the host published since its process started.
    pub fleet_state: Option<Arc<FleetState>>,
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
    forbidden: HashSet<VersionId>,
    // The partition of each failure domain and, as the last element, of the
    // platform. Messages are delivered within a partition only.
    partitions: Vec<u32>,
    disconnected_domains: HashSet<usize>,
    queue: BinaryHeap<Reverse<QueuedStep>>,
    sequence: u64,
    now: Duration,
    rng: Pcg32,
}

impl VirtualFleet {
    /// Returns a fleet whose hosts have not started.
    pub fn new(spec: FleetSpec, seed: u64) -> VirtualFleet {
        let count = spec.host_count();
        let host = |_| VirtualHost {
            machine: None,
            generation: 0,
            started: Duration::ZERO,
            incarnation: 0,
            tick_at: Duration::ZERO,
            paused: false,
            backlog: Vec::new(),
            sessions: SlotMap::with_key(),
            fleet_state: None,
            bytes: 0,
            payload: 0,
            logs: Vec::new(),
        };
        let domains = spec.regions * spec.domains;
        let mut platform = VirtualPlatform::default();
        for host in 0..count {
            platform.set_host_entry(&spec, host, 1, HostState::Live);
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
            forbidden: HashSet::new(),
            partitions: vec![0; domains + 1],
            disconnected_domains: HashSet::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            now: Duration::ZERO,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the host with this index.
    ///
    /// # Panics
    ///
    /// Panics if there is no such host.
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
        let virtual_host = &mut self.hosts[host];
        virtual_host.machine = None;
        virtual_host.generation += 1;
        virtual_host.fleet_state = None;
        virtual_host.paused = false;
        virtual_host.backlog.clear();
        virtual_host.logs.clear();
        let sessions: Vec<_> = virtual_host
            .sessions
            .drain()
            .map(|(_, session)| session)
            .collect();
        for session in sessions {
            self.close(session, FAILURE_TIMEOUT);
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
        let generation = (host, self.hosts[host].generation);
        self.push(time, Step::Resume(generation));
    }

    /// Partitions the network. `partitions` has the partition of each failure
    /// domain and, as its last element, that of the platform.
    pub fn partition(&mut self, partitions: &[u32]) {
        self.partitions = partitions.to_vec();
    }

    /// Ends all partitions and connects every failure domain to the platform.
    pub fn heal(&mut self) {
        self.partitions.fill(0);
        self.disconnected_domains.clear();
    }

    /// Disconnects only these failure domains from the platform. Their links to
    /// each other still work.
    pub fn disconnect_platform(&mut self, domains: &[usize]) {
        self.disconnected_domains = domains.iter().copied().collect();
    }

    /// Makes the platform serve the root of an earlier version.
    pub fn set_platform_stale_at(&mut self, version: &VersionId) {
        self.platform.set_stale_at(version);
        self.wake_watches();
    }

    /// Publishes a version on the platform.
    pub fn publish(&mut self, content: &FleetContent) {
        self.platform.publish(content);
        self.published.push((content.version().revision, self.now));
        self.wake_watches();
    }

    /// Makes the simulation panic if a host publishes this version.
    pub fn forbid(&mut self, version: VersionId) {
        self.forbidden.insert(version);
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
        let generation = (host, self.hosts[host].generation);
        self.push(Duration::ZERO, Step::Event(generation, Box::new(event)));
    }

    /// Returns the running hosts whose published fleet state is not of this
    /// version.
    pub fn hosts_without(&self, version: VersionId) -> Vec<usize> {
        let has_version = |host: &VirtualHost| {
            let fleet_state = host.fleet_state.as_ref();
            fleet_state.map(|fleet_state| (fleet_state.revision, fleet_state.root))
                == Some((version.revision, version.root))
        };
        (0..self.hosts.len())
            .filter(|host| self.hosts[*host].machine.is_some() && !has_version(&self.hosts[*host]))
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
    pub fn run_until(&mut self, version: VersionId, time: Duration) -> Option<Duration> {
        let start = self.now;
        let slice = Duration::from_millis(100);
        while self.now < start + time {
            self.run_for(slice);
            if self.hosts_without(version).is_empty() {
                return Some(self.now - start);
            }
        }
        None
    }

    fn push(&mut self, wait: Duration, step: Step) {
        self.sequence += 1;
        self.queue.push(Reverse(QueuedStep {
            at: self.now + wait,
            sequence: self.sequence,
            step,
        }));
    }

    fn step(&mut self) {
        let Some(Reverse(queued)) = self.queue.pop() else {
            return;
        };
        self.now = queued.at;
        match queued.step {
            Step::Tick((host, generation)) => {
                if self.hosts[host].generation == generation && self.hosts[host].tick_at == self.now
                {
                    self.handle((host, generation), ControlEvent::Tick);
                }
            }
            Step::Event(generation, event) => self.handle(generation, *event),
            Step::Connect(generation, address) => self.connect(generation, address),
            Step::Start(host) => self.start(host),
            Step::Resume((host, generation)) => self.resume(host, generation),
            Step::PlatformCall(watch, is_watch) => self.platform_call(*watch, is_watch),
            Step::WatchEnd(host, generation, id) => {
                let watches = &mut self.platform.watches;
                let ended = watches
                    .iter()
                    .position(|watch| watch.caller == (host, generation) && watch.id == id);
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
        let incarnation = match self.hosts[host].generation {
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
            rule: Arc::new(ConfigRule),
        };
        let virtual_host = &mut self.hosts[host];
        virtual_host.machine = Some(ControlMachine::new(config, self.rng.random()));
        virtual_host.started = self.now;
        virtual_host.incarnation = incarnation;
        let generation = (host, virtual_host.generation);
        self.platform
            .set_host_entry(&self.spec, host, incarnation, HostState::Live);
        self.handle(generation, ControlEvent::Tick);
    }

    fn resume(&mut self, host: usize, generation: u32) {
        let virtual_host = &mut self.hosts[host];
        if virtual_host.generation != generation
            || !std::mem::replace(&mut virtual_host.paused, false)
        {
            return;
        }
        let backlog = std::mem::take(&mut virtual_host.backlog);
        self.handle((host, generation), ControlEvent::Tick);
        for event in backlog {
            self.handle((host, generation), event);
        }
    }

    fn handle(&mut self, generation: ProcessGeneration, event: ControlEvent) {
        let (host, number) = generation;
        let virtual_host = &mut self.hosts[host];
        if virtual_host.generation != number {
            return;
        }
        if virtual_host.paused {
            if !matches!(event, ControlEvent::Tick) {
                virtual_host.backlog.push(event);
            }
            return;
        }
        let Some(machine) = &mut virtual_host.machine else {
            return;
        };
        let now = self.now - virtual_host.started;
        let timer = self.measured.then(std::time::Instant::now);
        let actions = machine.handle(event, now);
        if let Some(timer) = timer {
            self.handled.1 += timer.elapsed();
        }
        self.handled.0 += 1;
        let due = machine.next_tick().max(now) + virtual_host.started;
        if due != virtual_host.tick_at {
            virtual_host.tick_at = due;
            self.push(due - self.now, Step::Tick(generation));
        }
        for action in actions {
            self.apply(generation, action);
        }
    }
}
