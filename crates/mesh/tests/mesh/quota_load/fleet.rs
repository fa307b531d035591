//! A simulated fleet whose daemons exchange tokens over links with latency.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use prost::Message;
use radishgauge_mesh::TenantLimit;
use radishgauge_mesh::quota::AdmitDecision;
use radishgauge_mesh::quota::DomainShare;
use radishgauge_mesh::quota::EntryQuota;
use radishgauge_mesh::quota::HostReach;
use radishgauge_mesh::quota::Lender;
use radishgauge_mesh::quota::LoanOrder;
use radishgauge_mesh::quota::OwnerQuota;
use radishgauge_mesh::quota::QuotaBounds;
use radishgauge_mesh::quota::SentAsk;
use radishgauge_mesh::quota::WaitKey;
use radishgauge_mesh::quota::WaitOutcome;
use radishgauge_mesh::quota::host_share;
use radishgauge_schema::quota::GrantState;
use radishgauge_schema::quota::Loan;
use radishgauge_schema::quota::LoanRequest;
use radishgauge_schema::quota::QuotaAsk;
use radishgauge_schema::quota::QuotaReply;
use radishgauge_schema::quota::TokenGrant;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// The failure domains, with their regions.
pub const DOMAINS: [(&str, &str); 4] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
];

/// The hosts of the fleet, if a load names no other number.
pub const HOSTS: usize = 78;

/// The one-way latency in a failure domain, between those of a region, and between
/// regions; each with the time in which a daemon handles a message.
const DOMAIN_LATENCY: Duration = Duration::from_micros(500);
const REGION_LATENCY: Duration = Duration::from_micros(800);
const FAR_LATENCY: Duration = Duration::from_micros(12_300);

/// The times of the daemons' wiring, as in `crates/sidecar`.
const ADMIT_WAIT: Duration = Duration::from_millis(90);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);
const PAUSE_TIME: Duration = Duration::from_secs(1);
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TURNS: u64 = 4;
const RANDOM_PROBES: usize = 1;
const MAX_PROBES: usize = 32;
const MAX_REPEATED_PROBES: usize = 8;

/// The bytes of an exchange beside the two messages, on an open connection: two HTTP heads,
/// the sender's address, and three packets with headers of 60 bytes.
const EXCHANGE_OVERHEAD: usize = 70 + 75 + 6 + 3 * 60;

/// A daemon of the fleet.
struct Daemon {
    ip: IpAddr,
    domain: usize,
    entry: EntryQuota,
    owner: OwnerQuota,
    reach: HostReach,
    in_flight: IndexSet<IpAddr>,
    next_ask: Option<Duration>,
    next_sweep: Duration,
    active_at: Duration,
    is_up: bool,
    paused_until: Duration,
    /// Counts the starts; a message of an earlier process has no effect.
    process: u32,
    /// The requests that wait for tokens.
    waiting: IndexMap<WaitKey, usize>,
}

/// What a message asks for.
#[derive(Debug, Clone)]
enum Content {
    Tokens(SentAsk),
    Loans(Vec<LoanOrder>),
    Probe,
}

#[derive(Debug, Clone)]
struct Exchange {
    from: usize,
    to: usize,
    process: u32,
    sent: Duration,
    content: Content,
}

enum Event {
    Request(usize),
    Deliver(u64),
    Reply(u64, QuotaReply),
    Timeout(u64),
    GiveUp(usize, u32, WaitKey),
    Delayed(usize, u32),
    Watch(usize, u64),
    Change(FleetChange),
}

/// A failure or a change during a run.
#[derive(Debug, Clone, Copy)]
pub enum FleetChange {
    /// The owner of the tenant in the first failure domain is killed with its host.
    KillOwner,
    /// A host is killed.
    Kill(usize),
    /// Starts the hosts again that are down.
    StartAll,
    /// Pauses the owner of the tenant in the first failure domain.
    PauseOwner(Duration),
    /// Restarts the daemons of all hosts at once.
    RestartAll,
    /// Cuts all links between hosts of even and odd number (`Halves`) or of different
    /// regions, or none.
    Cut(LinkCut),
    /// Changes the tenant's limit on all daemons at once.
    Limit(TenantLimit),
}

/// Which links are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkCut {
    None,
    Regions,
    /// Each failure domain is divided into two halves.
    Halves,
    /// The first host is cut off from all others.
    FirstHost,
}

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct PlayedRequest {
    pub tenant: usize,
    pub at: Duration,
    pub host: usize,
    /// The time of the decision, and whether the request was admitted.
    pub decided: Option<(Duration, bool)>,
    pub retry_after: Duration,
}

/// The result of a run.
pub struct FleetRun {
    pub requests: Vec<PlayedRequest>,
    pub messages: u64,
    pub seconds: f64,
    /// The bytes that each daemon has sent and received.
    bytes: Vec<u64>,
}

impl FleetRun {
    /// Returns the number of requests of a tenant that arrived in a time, and of the
    /// admitted ones.
    pub fn counts_of(&self, tenant: usize, from: f64, to: f64) -> (usize, usize) {
        let arrived = self.requests.iter().filter(|request| {
            let at = request.at.as_secs_f64();
            request.tenant == tenant && at >= from && at < to
        });
        let admitted = arrived.clone().filter(|request| request.is_admitted());
        (arrived.count(), admitted.count())
    }

    /// Returns the counts of the first tenant.
    pub fn counts(&self, from: f64, to: f64) -> (usize, usize) {
        self.counts_of(0, from, to)
    }

    /// Returns the fraction of the first tenant's requests that were admitted.
    pub fn admitted_fraction(&self, from: f64, to: f64) -> f64 {
        let (arrived, admitted) = self.counts(from, to);
        admitted as f64 / arrived.max(1) as f64
    }

    /// Returns the greatest number of requests of a tenant that were admitted in a window
    /// which ends at `from` or later.
    pub fn greatest_in_window(&self, tenant: usize, window: Duration, from: Duration) -> usize {
        let own = self
            .requests
            .iter()
            .filter(|request| request.tenant == tenant);
        let mut times: Vec<Duration> = own.filter_map(PlayedRequest::admitted_at).collect();
        times.sort_unstable();
        let mut start = 0;
        let mut greatest = 0;
        for (index, end) in times.iter().enumerate() {
            while times[start] + window <= *end {
                start += 1;
            }
            if *end >= from {
                greatest = greatest.max(index + 1 - start);
            }
        }
        greatest
    }

    /// Returns a quantile of the time until the decision.
    pub fn wait(&self, quantile: f64) -> Duration {
        let decided = self.requests.iter();
        let decided = decided.filter_map(|r| r.decided.map(|(at, _)| at - r.at));
        let mut waits: Vec<Duration> = decided.collect();
        waits.sort_unstable();
        waits[((waits.len() - 1) as f64 * quantile) as usize]
    }

    /// Returns the bytes a second that a daemon sends and receives: the mean over all
    /// daemons, and the greatest.
    pub fn bytes_per_daemon(&self) -> (f64, f64) {
        let sum: u64 = self.bytes.iter().sum();
        let greatest = self.bytes.iter().max().copied().unwrap_or_default();
        let mean = sum as f64 / self.bytes.len() as f64;
        (mean / self.seconds, greatest as f64 / self.seconds)
    }
}

impl PlayedRequest {
    fn is_admitted(&self) -> bool {
        self.decided.is_some_and(|(_, admitted)| admitted)
    }

    fn admitted_at(&self) -> Option<Duration> {
        let (at, admitted) = self.decided?;
        admitted.then_some(at)
    }
}

/// The load of one tenant.
#[derive(Clone)]
pub struct TenantLoad {
    pub limit: TenantLimit,
    /// The requests a second at a time.
    pub rate: fn(f64) -> f64,
    /// The weight of a host at a time.
    pub weight: fn(usize, f64) -> f64,
}

/// The loads of all tenants and the failures of a run.
pub struct LoadPlan {
    pub seed: u64,
    pub seconds: u64,
    pub hosts: usize,
    pub bounds: QuotaBounds,
    /// The tenants; failures concern the owner of the first one.
    pub tenants: Vec<TenantLoad>,
    /// The failures and changes, by time.
    pub changes: Vec<(f64, FleetChange)>,
}

impl LoadPlan {
    /// Returns the requests of all tenants, without decisions, in order of arrival.
    pub fn requests(&self) -> Vec<PlayedRequest> {
        let mut random = Pcg32::seed_from_u64(self.seed);
        let mut all = Vec::new();
        for (tenant, load) in self.tenants.iter().enumerate() {
            let mut now = 0.0;
            loop {
                now += -random.random_range(1e-9_f64..1.0).ln() / (load.rate)(now);
                if now >= self.seconds as f64 {
                    break;
                }
                all.push(PlayedRequest {
                    tenant,
                    at: Duration::from_secs_f64(now),
                    host: self.draw_host(load, now, &mut random),
                    decided: None,
                    retry_after: Duration::ZERO,
                });
            }
        }
        all.sort_by_key(|request| request.at);
        all
    }

    fn draw_host(&self, load: &TenantLoad, now: f64, random: &mut Pcg32) -> usize {
        let weights: Vec<f64> = (0..self.hosts)
            .map(|host| (load.weight)(host, now))
            .collect();
        let mut draw = random.random_range(0.0..weights.iter().sum());
        let host = weights.iter().position(|weight| {
            draw -= weight;
            draw < 0.0
        });
        host.unwrap_or(0)
    }
}

/// The baseline: each host has an equal, fixed share of the first tenant's limit.
pub fn play_static_shares(plan: &LoadPlan) -> FleetRun {
    let limit = plan.tenants[0].limit;
    let per_second = limit.per_second / plan.hosts as f64;
    // A bucket that never holds a whole token would serve nobody.
    let burst = (limit.burst / plan.hosts as f64).max(1.0);
    let mut buckets = vec![(burst, Duration::ZERO); plan.hosts];
    let mut requests = plan.requests();
    for request in &mut requests {
        let (level, updated) = &mut buckets[request.host];
        let passed = (request.at - *updated).as_secs_f64();
        *level = (*level + passed * per_second).min(burst);
        *updated = request.at;
        let is_admitted = *level >= 1.0;
        if is_admitted {
            *level -= 1.0;
        }
        request.decided = Some((request.at, is_admitted));
    }
    FleetRun {
        requests,
        messages: 0,
        bytes: vec![0; plan.hosts],
        seconds: plan.seconds as f64,
    }
}

/// Plays a load on a fleet.
pub fn play(plan: &LoadPlan) -> FleetRun {
    Fleet::new(plan).run(plan)
}

struct Fleet {
    now: Duration,
    daemons: Vec<Daemon>,
    domains: Vec<Vec<IpAddr>>,
    hosts: Vec<IpAddr>,
    /// The names and limits of the tenants.
    tenants: IndexMap<SmolStr, TenantLimit>,
    bounds: QuotaBounds,
    cut: LinkCut,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: IndexMap<u64, Event>,
    exchanges: IndexMap<u64, Exchange>,
    next_id: u64,
    requests: Vec<PlayedRequest>,
    random: Pcg32,
    messages: u64,
    bytes: Vec<u64>,
}

fn address(host: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(
        10,
        0,
        (host / 250) as u8,
        (host % 250) as u8 + 1,
    ))
}

fn index_of(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(ip) => {
            let [_, _, network, host] = ip.octets();
            usize::from(network) * 250 + usize::from(host) - 1
        }
        IpAddr::V6(_) => unreachable!("all hosts have IPv4 addresses"),
    }
}

/// Returns the index of a host's failure domain.
pub fn domain_of(host: usize) -> usize {
    host % DOMAINS.len()
}

impl Daemon {
    fn start(host: usize, now: Duration) -> Daemon {
        let domain = domain_of(host);
        let mut owner = OwnerQuota::new(now);
        let others = DOMAINS.iter().enumerate();
        let others = others.filter(|(index, _)| *index != domain);
        owner.set_lenders(others.map(|(_, (name, region))| Lender {
            domain: (*name).into(),
            is_near: *region == DOMAINS[domain].1,
        }));
        Daemon {
            ip: address(host),
            domain,
            entry: EntryQuota::new(now),
            owner,
            reach: HostReach::default(),
            in_flight: IndexSet::new(),
            next_ask: None,
            next_sweep: Duration::ZERO,
            active_at: now,
            is_up: true,
            paused_until: Duration::ZERO,
            process: 0,
            waiting: IndexMap::new(),
        }
    }
}

impl Fleet {
    fn new(plan: &LoadPlan) -> Fleet {
        let hosts: Vec<IpAddr> = (0..plan.hosts).map(address).collect();
        let of_domain = |domain| {
            let hosts = (0..plan.hosts).filter(move |host| domain_of(*host) == domain);
            hosts.map(address).collect()
        };
        let tenants = plan.tenants.iter().enumerate();
        let tenants = tenants.map(|(index, load)| {
            let name = format_smolstr!("tenant-{}-{index}", plan.seed);
            (name, load.limit)
        });
        Fleet {
            now: Duration::ZERO,
            daemons: (0..plan.hosts)
                .map(|host| Daemon::start(host, Duration::ZERO))
                .collect(),
            domains: (0..DOMAINS.len()).map(of_domain).collect(),
            hosts,
            tenants: tenants.collect(),
            bounds: plan.bounds,
            cut: LinkCut::None,
            queue: BinaryHeap::new(),
            events: IndexMap::new(),
            exchanges: IndexMap::new(),
            next_id: 0,
            requests: Vec::new(),
            random: Pcg32::seed_from_u64(plan.seed + 1),
            messages: 0,
            bytes: vec![0; plan.hosts],
        }
    }

    fn run(mut self, plan: &LoadPlan) -> FleetRun {
        self.requests = plan.requests();
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].at, Event::Request(index));
        }
        for (at, change) in &plan.changes {
            self.schedule(Duration::from_secs_f64(*at), Event::Change(*change));
        }
        for host in 0..plan.hosts {
            let offset = WATCH_INTERVAL.mul_f64(host as f64 / plan.hosts as f64);
            self.schedule(offset, Event::Watch(host, 0));
        }
        let end = Duration::from_secs(plan.seconds + 1);
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.swap_remove(&id) {
                self.handle(event);
            }
        }
        FleetRun {
            requests: self.requests,
            messages: self.messages,
            bytes: self.bytes,
            seconds: plan.seconds as f64,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        let id = self.next_id;
        self.next_id += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse((at, id)));
    }

    /// Returns the host that an event concerns, if a pause of it delays the event.
    fn delayed_host(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Request(request) => Some(self.requests[*request].host),
            Event::Deliver(id) => self.exchanges.get(id).map(|exchange| exchange.to),
            Event::Reply(id, _) | Event::Timeout(id) => {
                self.exchanges.get(id).map(|exchange| exchange.from)
            }
            Event::GiveUp(host, ..) | Event::Delayed(host, _) | Event::Watch(host, _) => {
                Some(*host)
            }
            Event::Change(_) => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(host) = self.delayed_host(&event) {
            let until = self.daemons[host].paused_until;
            if until > self.now {
                return self.schedule(until, event);
            }
            self.observe(host);
        }
        match event {
            Event::Request(request) => self.arrive(request),
            Event::Deliver(id) => self.deliver(id),
            Event::Reply(id, reply) => self.receive_reply(id, &reply),
            Event::Timeout(id) => self.time_out(id),
            Event::GiveUp(host, process, key) => self.give_up(host, process, key),
            Event::Delayed(host, process) => {
                if self.daemons[host].process == process {
                    self.daemons[host].next_ask = None;
                    self.start_asks(host);
                }
            }
            Event::Watch(host, turn) => self.watch(host, turn),
            Event::Change(change) => self.change(change),
        }
    }

    fn observe(&mut self, host: usize) {
        let daemon = &mut self.daemons[host];
        if self.now - daemon.active_at > PAUSE_TIME {
            daemon.owner.restart(self.now);
        }
        daemon.active_at = self.now;
    }

    fn name_of(&self, tenant: usize) -> SmolStr {
        self.tenants.get_index(tenant).unwrap().0.clone()
    }

    fn arrive(&mut self, request: usize) {
        let PlayedRequest { host, tenant, .. } = self.requests[request];
        let tenant = self.name_of(tenant);
        let now = self.now;
        let daemon = &mut self.daemons[host];
        if !daemon.is_up {
            // The caller is connected to a host that is down; the rule does not count it.
            return;
        }
        match daemon.entry.admit(&tenant, now) {
            AdmitDecision::Admitted => self.requests[request].decided = Some((now, true)),
            AdmitDecision::Refused(refusal) => {
                self.requests[request].decided = Some((now, false));
                self.requests[request].retry_after = refusal.retry_after;
            }
            AdmitDecision::Wait(key) => {
                daemon.waiting.insert(key, request);
                let process = daemon.process;
                self.schedule(now + ADMIT_WAIT, Event::GiveUp(host, process, key));
                self.start_asks(host);
            }
        }
    }

    fn settle(&mut self, host: usize, outcomes: Vec<WaitOutcome>) {
        for outcome in outcomes {
            if let Some(request) = self.daemons[host].waiting.swap_remove(&outcome.key) {
                let decided = Some((self.now, outcome.decision.is_ok()));
                self.requests[request].decided = decided;
                if let Err(refusal) = outcome.decision {
                    self.requests[request].retry_after = refusal.retry_after;
                }
            }
        }
    }

    fn give_up(&mut self, host: usize, process: u32, key: WaitKey) {
        let daemon = &mut self.daemons[host];
        if daemon.process != process {
            return;
        }
        let Some(request) = daemon.waiting.swap_remove(&key) else {
            return;
        };
        let PlayedRequest {
            tenant, at: since, ..
        } = self.requests[request];
        let (tenant, limit) = self.tenants.get_index(tenant).unwrap();
        let total = self.bounds.local_total(*limit, DOMAINS.len());
        let allowed = host_share(total, tenant, daemon.ip, &self.hosts);
        let window = self.bounds.window;
        let entry = &mut daemon.entry;
        let decision = entry.give_up(tenant, key, since, allowed, window, self.now);
        self.requests[request].decided = Some((self.now, decision.is_ok()));
    }

    fn owner_of(&self, host: usize, tenant: &str) -> Option<usize> {
        let daemon = &self.daemons[host];
        let owner = daemon.reach.owner(tenant, &self.domains[daemon.domain]);
        owner.map(index_of)
    }

    fn start_asks(&mut self, host: usize) {
        let now = self.now;
        let due = self.daemons[host].entry.due_tenants(now);
        let owners: IndexSet<usize> = due
            .filter_map(|tenant| self.owner_of(host, tenant))
            .collect();
        for owner in owners {
            if owner == host {
                self.ask_self(host);
            } else if self.daemons[host].in_flight.insert(address(owner)) {
                self.ask_next(host, owner);
            }
        }
        let daemon = &mut self.daemons[host];
        let next = daemon.entry.next_ask(now).filter(|at| *at > now);
        if let Some(at) = next
            && daemon.next_ask.is_none_or(|scheduled| at < scheduled)
        {
            daemon.next_ask = Some(at);
            let process = daemon.process;
            self.schedule(at, Event::Delayed(host, process));
        }
    }

    fn next_ask(&mut self, host: usize, owner: usize) -> Option<SentAsk> {
        let due = self.daemons[host].entry.due_tenants(self.now);
        let owned: IndexSet<SmolStr> = due
            .filter(|tenant| self.owner_of(host, tenant) == Some(owner))
            .cloned()
            .collect();
        let entry = &mut self.daemons[host].entry;
        let is_owner = |tenant: &str| owned.contains(tenant);
        if owner == host {
            entry.ask_own(is_owner, self.now)
        } else {
            entry.ask(is_owner, self.now)
        }
    }

    fn ask_self(&mut self, host: usize) {
        let ip = address(host);
        while let Some(ask) = self.next_ask(host, host) {
            let reply = self.answer(host, ip, &ask.message);
            let entry = &mut self.daemons[host].entry;
            let outcomes = entry.apply(&ask, &reply.tokens, ip, self.now);
            self.settle(host, outcomes);
        }
    }

    fn ask_next(&mut self, host: usize, owner: usize) {
        match self.next_ask(host, owner) {
            Some(ask) => self.send(host, owner, Content::Tokens(ask)),
            None => {
                self.daemons[host].in_flight.swap_remove(&address(owner));
                self.start_asks(host);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, content: Content) {
        let id = self.next_id;
        self.next_id += 1;
        self.messages += 1;
        let length = message_of(&content).encoded_len() + EXCHANGE_OVERHEAD;
        self.count_bytes(from, to, length);
        let exchange = Exchange {
            from,
            to,
            process: self.daemons[from].process,
            sent: self.now,
            content,
        };
        self.exchanges.insert(id, exchange);
        self.schedule(self.now + latency(from, to), Event::Deliver(id));
        self.schedule(self.now + EXCHANGE_TIMEOUT, Event::Timeout(id));
    }

    fn count_bytes(&mut self, from: usize, to: usize, length: usize) {
        self.bytes[from] += length as u64;
        self.bytes[to] += length as u64;
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        match self.cut {
            LinkCut::None => false,
            LinkCut::Regions => DOMAINS[domain_of(from)].1 != DOMAINS[domain_of(to)].1,
            LinkCut::Halves => half_of(from) != half_of(to),
            LinkCut::FirstHost => from == 0 || to == 0,
        }
    }

    fn deliver(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.get(&id).cloned() else {
            return;
        };
        let (from, to) = (exchange.from, exchange.to);
        if !self.daemons[to].is_up || self.is_cut(from, to) {
            return;
        }
        let message = message_of(&exchange.content);
        let reply = self.answer(to, address(from), &message);
        self.count_bytes(from, to, reply.encoded_len());
        if !self.is_cut(from, to) {
            self.schedule(self.now + latency(from, to), Event::Reply(id, reply));
        }
    }

    fn share(&self, host: usize, tenant: &str) -> DomainShare {
        let daemon = &self.daemons[host];
        let fraction = daemon
            .reach
            .reachable_fraction(&self.domains[daemon.domain]);
        let share = self
            .bounds
            .domain_share(self.tenants[tenant], DOMAINS.len());
        share.of_reachable(fraction)
    }

    fn answer(&mut self, host: usize, asker: IpAddr, ask: &QuotaAsk) -> QuotaReply {
        let now = self.now;
        self.mark_reachable(host, asker);
        let mut reply = QuotaReply::default();
        let mut orders = Vec::new();
        for request in &ask.tokens {
            let owner = self.owner_of(host, &request.tenant);
            let share = self.share(host, &request.tenant);
            if owner != Some(host) {
                let mut grant = TokenGrant::default();
                grant.set_state(GrantState::NotOwner);
                reply.tokens.push(grant);
                if let Some(owner) = owner {
                    self.send(host, owner, Content::Probe);
                }
                continue;
            }
            let quota = &mut self.daemons[host].owner;
            let (grant, needed) = quota.grant(asker, request, &share, now);
            reply.tokens.push(grant);
            orders.extend(needed);
        }
        for request in &ask.loans {
            let is_owner = self.owner_of(host, &request.tenant) == Some(host);
            let share = self.share(host, &request.tenant);
            let quota = &mut self.daemons[host].owner;
            let lent = if is_owner {
                quota.lend(request, &share, now)
            } else {
                0.0
            };
            reply.loans.push(Loan {
                tokens: lent as f32,
            });
        }
        for order in orders {
            self.borrow(host, order);
        }
        reply
    }

    fn borrow(&mut self, host: usize, order: LoanOrder) {
        let domain = DOMAINS.iter().position(|(name, _)| *name == order.domain);
        let hosts = &self.domains[domain.unwrap()];
        let lender = self.daemons[host].reach.owner(&order.tenant, hosts);
        match lender {
            Some(lender) => self.send(host, index_of(lender), Content::Loans(vec![order])),
            None => self.daemons[host].owner.fail_loan(&order, self.now),
        }
    }

    fn receive_reply(&mut self, id: u64, reply: &QuotaReply) {
        let Some(exchange) = self.exchanges.swap_remove(&id) else {
            return;
        };
        let (host, peer) = (exchange.from, address(exchange.to));
        if self.daemons[host].process != exchange.process || !self.daemons[host].is_up {
            return;
        }
        self.mark_reachable(host, peer);
        match exchange.content {
            Content::Tokens(ask) => {
                let entry = &mut self.daemons[host].entry;
                let outcomes = entry.apply(&ask, &reply.tokens, peer, self.now);
                self.settle(host, outcomes);
                self.ask_next(host, exchange.to);
            }
            Content::Loans(orders) => {
                for (order, loan) in orders.iter().zip(&reply.loans) {
                    let tokens = f64::from(loan.tokens);
                    let quota = &mut self.daemons[host].owner;
                    quota.receive_loan(order, tokens, exchange.sent);
                }
                self.start_asks(host);
            }
            Content::Probe => {}
        }
    }

    fn time_out(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.swap_remove(&id) else {
            return;
        };
        let (host, peer) = (exchange.from, address(exchange.to));
        if self.daemons[host].process != exchange.process || !self.daemons[host].is_up {
            return;
        }
        match exchange.content {
            Content::Tokens(ask) => {
                self.daemons[host].entry.fail(&ask);
                self.daemons[host].in_flight.swap_remove(&peer);
            }
            Content::Loans(orders) => {
                for order in &orders {
                    self.daemons[host].owner.fail_loan(order, self.now);
                }
            }
            Content::Probe => {}
        }
        self.mark_unreachable(host, peer);
        self.start_asks(host);
    }

    fn mark_reachable(&mut self, host: usize, peer: IpAddr) {
        let daemon = &mut self.daemons[host];
        let hosts = &self.domains[daemon.domain];
        if daemon.reach.mark_reachable(peer) && hosts.contains(&peer) {
            keep_owned(daemon, hosts, self.now);
        }
    }

    fn mark_unreachable(&mut self, host: usize, peer: IpAddr) {
        let daemon = &mut self.daemons[host];
        let hosts = &self.domains[daemon.domain];
        let is_first = daemon.reach.mark_unreachable(peer, self.now);
        if !is_first || !hosts.contains(&peer) {
            return;
        }
        keep_owned(daemon, hosts, self.now);
        if daemon.next_sweep <= self.now {
            daemon.next_sweep = self.now + PAUSE_TIME;
            for other in hosts.clone().into_iter().take(MAX_PROBES) {
                if other != address(host) {
                    self.send(host, index_of(other), Content::Probe);
                }
            }
        }
    }

    fn watch(&mut self, host: usize, turn: u64) {
        self.schedule(self.now + WATCH_INTERVAL, Event::Watch(host, turn + 1));
        if !self.daemons[host].is_up || !turn.is_multiple_of(PROBE_TURNS) {
            return;
        }
        let daemon = &mut self.daemons[host];
        let mut probed = daemon.reach.due_probes(MAX_REPEATED_PROBES, self.now);
        let hosts = &self.domains[daemon.domain];
        for _ in 0..RANDOM_PROBES {
            probed.push(hosts[self.random.random_range(0..hosts.len())]);
        }
        for peer in probed.into_iter().filter(|peer| *peer != address(host)) {
            self.send(host, index_of(peer), Content::Probe);
        }
    }

    fn tenant_owner(&self) -> usize {
        let owner = HostReach::default().owner(&self.name_of(0), &self.domains[0]);
        index_of(owner.unwrap())
    }

    fn restart(&mut self, host: usize) {
        let process = self.daemons[host].process + 1;
        self.daemons[host] = Daemon::start(host, self.now);
        self.daemons[host].process = process;
    }

    fn change(&mut self, change: FleetChange) {
        match change {
            FleetChange::KillOwner => {
                let owner = self.tenant_owner();
                self.daemons[owner].is_up = false;
            }
            FleetChange::Kill(host) => self.daemons[host].is_up = false,
            FleetChange::StartAll => {
                for host in 0..self.daemons.len() {
                    if !self.daemons[host].is_up {
                        self.restart(host);
                    }
                }
            }
            FleetChange::PauseOwner(time) => {
                let owner = self.tenant_owner();
                self.daemons[owner].paused_until = self.now + time;
            }
            FleetChange::RestartAll => {
                for host in 0..self.daemons.len() {
                    self.restart(host);
                }
            }
            FleetChange::Cut(cut) => self.cut = cut,
            FleetChange::Limit(limit) => self.tenants[0] = limit,
        }
    }
}

fn keep_owned(daemon: &mut Daemon, hosts: &[IpAddr], now: Duration) {
    let (reach, own) = (&daemon.reach, daemon.ip);
    daemon
        .owner
        .keep_owned(|tenant| reach.owner(tenant, hosts) == Some(own), now);
}

/// Returns in which half of a failure domain a host is.
pub fn half_of(host: usize) -> usize {
    host / DOMAINS.len() % 2
}

fn latency(from: usize, to: usize) -> Duration {
    let (from, to) = (domain_of(from), domain_of(to));
    if from == to {
        DOMAIN_LATENCY
    } else if DOMAINS[from].1 == DOMAINS[to].1 {
        REGION_LATENCY
    } else {
        FAR_LATENCY
    }
}

fn message_of(content: &Content) -> QuotaAsk {
    match content {
        Content::Tokens(ask) => ask.message.clone(),
        Content::Loans(orders) => QuotaAsk {
            loans: orders
                .iter()
                .map(|order| LoanRequest {
                    tenant: order.tenant.to_string(),
                    tokens: order.tokens as f32,
                })
                .collect(),
            ..QuotaAsk::default()
        },
        Content::Probe => QuotaAsk::default(),
    }
}
