//! Computation of this daemon's roles, and maintenance of its sessions.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_schema::config::HostState;
use radishgauge_schema::peer::Hello;
use rand::seq::IndexedRandom;
use smol_str::SmolStr;

use crate::event::ControlAction;
use crate::event::PeerKey;
use crate::event::PeerLink;
use crate::fleet_state::RoleSet;
use crate::log::ControlLog;
use crate::machine::ControlMachine;
use crate::machine::FetchState;
use crate::neighbour;
use crate::neighbour::RelayLocation;
use crate::peers::PeerInfo;
use crate::rank;

/// A session that no role needs is closed after this time without requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout of a dial.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of relays of its own failure domain to which a daemon connects when
/// it needs parts. Each daemon ranks the relays in its own order, so that the
/// sessions are spread over all of them.
const PREFERRED_RELAYS: usize = 2;

/// The number of seeds that a daemon without a host list connects to.
const SEED_SESSIONS: usize = 3;

/// The number of highest-ranked readers of the region that a relay polls
/// round-robin for their current version, so that an unreachable reader is noticed
/// and replaced within seconds.
const POLLED_READERS: usize = 2;

/// The wanted sessions, the dials in progress, and the role holders.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sessions {
    // The hosts to keep sessions with, each with its failure domain.
    wanted: IndexMap<SmolStr, SmolStr>,
    seeds: Vec<SocketAddr>,
    dials: IndexMap<SocketAddr, (Option<SmolStr>, Duration)>,
    failed_seeds: IndexMap<SocketAddr, Duration>,
    relays: Vec<SmolStr>,
    readers: Vec<SmolStr>,
    polled_reader: usize,
}

impl ControlMachine {
    /// Computes relays, readers and wanted sessions from the current host states.
    pub(crate) fn compute_roles(&mut self) {
        let own = self.config.host.clone();
        let domain = self.config.domain.clone();
        let relays = self.relays_of(&domain);
        let relay = relays.contains(&own);
        let mut wanted = IndexMap::new();
        let live: Vec<_> = self.usable_hosts(&domain);
        for host in neighbour::neighbours(&own, &live, self.config.policy.neighbours) {
            wanted.insert(host, domain.clone());
        }
        // The next candidates for the relay role keep sessions with the hosts
        // that rank before them, so that they notice when the role moves to
        // them; the host list lags too much for that.
        let candidates = rank::best(&domain, &live, 2 * self.config.policy.relays);
        if candidates.contains(&own) {
            let better = candidates.iter().take_while(|host| **host != own);
            wanted.extend(better.map(|host| (host.clone(), domain.clone())));
        }
        let mut rank = None;
        let mut readers = Vec::new();
        if relay {
            let locations = self.relay_locations(&relays);
            readers = neighbour::readers(&self.config.region, &locations);
            rank = readers.iter().position(|host| *host == own);
            wanted.extend(neighbour::relay_sessions(
                &own,
                &self.config.region,
                rank == Some(0),
                &locations,
            ));
        }
        let roles = RoleSet { relay, rank };
        self.sessions.wanted = wanted;
        self.sessions.relays = relays;
        self.sessions.readers = readers;
        if roles != self.roles {
            let became = relay && !self.roles.relay;
            self.roles = roles;
            self.fleet_state_dirty = true;
            self.log(ControlLog::RolesChanged { relay, rank });
            if became {
                self.recompute_missing_parts();
            }
        }
    }

    fn usable_hosts(&self, domain: &str) -> Vec<SmolStr> {
        self.lists
            .hosts(domain)
            .filter(|(host, listed)| {
                listed.state == HostState::Live
                    && (self.host_table.usable(host)
                        && !(self.leaving && **host == self.config.host))
            })
            .map(|(host, _)| host.clone())
            .collect()
    }

    fn relays_of(&self, domain: &str) -> Vec<SmolStr> {
        rank::best(
            domain,
            &self.usable_hosts(domain),
            self.config.policy.relays,
        )
    }

    fn relay_locations(&self, own: &[SmolStr]) -> Vec<RelayLocation> {
        let location = |host: &SmolStr, domain: &SmolStr, region: &SmolStr| RelayLocation {
            host: host.clone(),
            domain: domain.clone(),
            region: region.clone(),
        };
        let mut locations: Vec<_> = own
            .iter()
            .map(|host| location(host, &self.config.domain, &self.config.region))
            .collect();
        for (domain, model) in &self.model.domains {
            if *domain != self.config.domain {
                let relays = self.relays_of(domain);
                locations.extend(
                    relays
                        .iter()
                        .map(|host| location(host, domain, &model.region)),
                );
            }
        }
        locations
    }

    /// Returns whether this daemon is the first relay of its failure domain.
    pub(crate) fn is_first_relay(&self) -> bool {
        self.sessions.relays.first() == Some(&self.config.host)
    }

    /// Returns this daemon's rank among the relays of its failure domain.
    pub(crate) fn relay_rank(&self) -> Option<usize> {
        self.sessions
            .relays
            .iter()
            .position(|host| *host == self.config.host)
    }

    /// Returns whether a host is a relay of the own failure domain.
    pub(crate) fn is_relay(&self, host: &str) -> bool {
        self.sessions.relays.iter().any(|relay| relay == host)
    }

    /// Returns whether a host is the first reader of the own region.
    pub(crate) fn is_first_reader(&self, host: &str) -> bool {
        self.sessions
            .readers
            .first()
            .is_some_and(|reader| reader == host)
    }

    /// Returns an open session with a relay of the own failure domain. The order
    /// of preference differs between hosts, which spreads the load.
    pub(crate) fn relay_session(&self) -> Option<PeerKey> {
        let now = self.now;
        rank::best(&self.config.host, &self.sessions.relays, usize::MAX)
            .iter()
            .filter_map(|host| self.peers.by_host(host))
            .find(|key| {
                self.peers
                    .get(*key)
                    .is_some_and(|info| info.retry_at <= now)
            })
    }

    /// Dials preferred relays of the own failure domain that are not connected.
    pub(crate) fn dial_relays(&mut self) {
        let own = &self.config.host;
        let relays: Vec<_> = self
            .sessions
            .relays
            .iter()
            .filter(|host| *host != own && self.peers.by_host(host).is_none())
            .cloned()
            .collect();
        for host in rank::best(own, &relays, PREFERRED_RELAYS) {
            let address = self
                .lists
                .get(&self.config.domain, &host)
                .and_then(|listed| listed.address);
            if let Some(address) = address
                && self.host_table.may_dial(&host, self.now)
            {
                self.dial(address, host);
            }
        }
    }

    /// Dials a host unless there is a session with it or a dial in progress.
    pub(crate) fn dial(&mut self, address: SocketAddr, host: SmolStr) {
        if host == self.config.host || self.peers.by_host(&host).is_some() {
            return;
        }
        self.dial_address(address, Some(host));
    }

    fn dial_address(&mut self, address: SocketAddr, host: Option<SmolStr>) {
        if address == self.config.address || self.sessions.dials.contains_key(&address) {
            return;
        }
        let until = self.now + DIAL_TIMEOUT;
        self.sessions.dials.insert(address, (host, until));
        self.actions.push(ControlAction::Dial { address });
    }

    /// Dials hosts for wanted sessions, and closes idle sessions that are not
    /// wanted.
    pub(crate) fn maintain_sessions(&mut self) {
        let now = self.now;
        let late: Vec<_> = self
            .sessions
            .dials
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(address, _)| *address)
            .collect();
        for address in late {
            self.dial_failed(address);
        }
        if self.lists.revision(&self.config.domain) == 0 {
            self.dial_seeds();
        }
        let missing: Vec<_> = self
            .sessions
            .wanted
            .iter()
            .filter(|(host, _)| {
                self.peers.by_host(host).is_none() && self.host_table.may_dial(host, now)
            })
            .filter_map(|(host, domain)| {
                let address = self.lists.get(domain, host)?.address?;
                Some((address, host.clone()))
            })
            .collect();
        for (address, host) in missing {
            self.dial(address, host);
        }
        let listed = self.lists.revision(&self.config.domain) > 0;
        let idle: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, info)| {
                matches!(info.link, PeerLink::Outbound(_))
                    && listed
                    && now >= info.last_used + IDLE_TIMEOUT
                    && !self.sessions.wanted.contains_key(&info.host)
            })
            .map(|(key, _)| key)
            .collect();
        for peer in idle {
            self.drop_peer(peer);
        }
    }

    fn dial_seeds(&mut self) {
        if self.sessions.seeds.is_empty() {
            let seeds = &self.config.seeds;
            self.sessions.seeds = seeds
                .choose_multiple(&mut self.rng, SEED_SESSIONS)
                .copied()
                .collect();
        }
        let now = self.now;
        let seeds = self.sessions.seeds.clone();
        for address in seeds {
            let must_wait = self
                .sessions
                .failed_seeds
                .get(&address)
                .is_some_and(|at| *at > now);
            if !must_wait && !self.peers.dialled(address) {
                self.dial_address(address, None);
            }
        }
    }

    /// Polls the next of the region's [`POLLED_READERS`] highest-ranked readers,
    /// round-robin, for its current version, unless it is the peer that the
    /// exchange timer chose.
    pub(crate) fn request_reader_head(&mut self, chosen: PeerKey) {
        self.sessions.polled_reader = (self.sessions.polled_reader + 1) % POLLED_READERS;
        let reader = self.sessions.readers.get(self.sessions.polled_reader);
        let peer = reader.and_then(|host| self.peers.by_host(host));
        if let Some(peer) = peer.filter(|key| *key != chosen) {
            self.request_head(peer);
        }
    }

    pub(crate) fn peer_up(&mut self, peer: PeerKey, hello: &Hello, link: PeerLink) {
        let info = PeerInfo::new(hello, link, self.now);
        let host = info.host.clone();
        if let PeerLink::Outbound(address) = link {
            self.sessions.dials.swap_remove(&address);
            self.sessions.failed_seeds.swap_remove(&address);
        }
        if host == self.config.host {
            // A seed address may be another address of this daemon.
            self.actions.push(ControlAction::Drop { peer });
            return;
        }
        let changed = self.host_table.observe(&host, info.incarnation, self.now);
        self.roles_dirty |= changed;
        self.fleet_state_dirty |= changed && self.targets_host(&host);
        if let Some(dropped) = self.peers.insert(&self.config.host, peer, info) {
            self.drop_requests(dropped);
            self.actions.push(ControlAction::Drop { peer: dropped });
            if dropped == peer {
                return;
            }
        }
        if matches!(link, PeerLink::Outbound(_)) {
            self.request_head(peer);
        } else if self.is_relay(&host) && !self.roles.relay && self.local_services_at.is_some() {
            // A relay dials a member that became a target. The wait lets the
            // version with that change arrive first.
            let soon = self.now + Duration::from_secs(1);
            self.local_services_at = self.local_services_at.map(|at| at.min(soon));
        }
        self.repeat_notices(peer);
        self.advance();
    }

    pub(crate) fn peer_down(&mut self, peer: PeerKey) {
        self.peers.remove(peer);
        self.drop_requests(peer);
        self.advance();
    }

    pub(crate) fn drop_peer(&mut self, peer: PeerKey) {
        if self.peers.remove(peer).is_some() {
            self.drop_requests(peer);
            self.actions.push(ControlAction::Drop { peer });
        }
    }

    fn drop_requests(&mut self, peer: PeerKey) {
        self.pending.retain(|_, pending| pending.peer != peer);
        if let FetchState::PeerFetch(fetch) = &mut self.fetch {
            fetch.session_ended(peer, self.now);
        }
    }

    pub(crate) fn dial_failed(&mut self, address: SocketAddr) {
        let Some((host, _)) = self.sessions.dials.swap_remove(&address) else {
            return;
        };
        let now = self.now;
        match host {
            Some(host) => {
                let changed = self.host_table.record_failure(&host, now);
                self.roles_dirty |= changed;
                self.fleet_state_dirty |= changed && self.targets_host(&host);
                if changed {
                    self.log(ControlLog::DialFailed { address });
                }
            }
            None => {
                self.sessions
                    .failed_seeds
                    .insert(address, now + DIAL_TIMEOUT);
                // Other seeds may be reachable, so they are selected anew.
                self.sessions.seeds.clear();
            }
        }
    }

    /// Marks a peer that did not reply as unreachable until a dial succeeds.
    pub(crate) fn peer_silent(&mut self, peer: PeerKey) {
        let Some(info) = self.peers.get(peer) else {
            return;
        };
        let host = info.host.clone();
        self.host_table.record_failure(&host, self.now);
        self.roles_dirty = true;
        self.fleet_state_dirty |= self.targets_host(&host);
        self.log(ControlLog::PeerSilent { host });
        self.drop_peer(peer);
    }

    pub(crate) fn targets_host(&self, host: &SmolStr) -> bool {
        let mut services = self.model.services.values();
        services.any(|service| service.targets.contains_key(host))
    }

    pub(crate) fn stop(&mut self) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        self.fleet_state_dirty = true;
        self.roles_dirty = true;
        self.announce_leaving();
    }
}
