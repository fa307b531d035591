//! Synchronization of host lists between daemons, and the effects of changes.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use radishgauge_schema::config::HostList;
use radishgauge_schema::peer::HostListRevision;
use radishgauge_schema::peer::HostsReply;
use radishgauge_schema::peer::HostsRequest;
use radishgauge_schema::peer::peer_request::Request;

use crate::event::PeerKey;
use crate::event::PlatformKey;
use crate::hosts::ListChange;
use crate::machine::ControlMachine;
use crate::machine::RequestPurpose;

/// The interval at which hosts without any reference are removed. The state of a
/// host that is gone is kept until then, so that its late messages are ignored.
const PRUNE_INTERVAL: Duration = Duration::from_secs(600);

impl ControlMachine {
    /// Removes hosts that no list, target or session refers to. Replacement hosts
    /// have new names, so the table would grow without bound.
    pub(crate) fn prune_hosts(&mut self) {
        if self.now < self.prune_at {
            return;
        }
        self.prune_at = self.now + PRUNE_INTERVAL;
        let services = self.model.services.values();
        let mut keep: HashSet<_> = services
            .flat_map(|service| service.targets.keys())
            .cloned()
            .collect();
        keep.extend(self.peers.iter().map(|(_, info)| info.host.clone()));
        let lists = &self.lists;
        self.host_table
            .retain(|host| keep.contains(host) || lists.contains_host(host));
    }

    // Relays get the lists of other domains from each other. Lists that this relay
    // lacks after a wait, which is longer for later relays of the domain, are read
    // from the platform.
    pub(crate) fn read_foreign_lists(&mut self) {
        let Some(rank) = self.relay_rank() else {
            self.lists_at = None;
            return;
        };
        let missing = self
            .model
            .domains
            .keys()
            .find(|domain| **domain != self.config.domain && !self.lists.full(domain))
            .cloned();
        let Some(domain) = missing else {
            self.lists_at = None;
            return;
        };
        let stagger = self.config.policy.reader_stagger * (rank as u32 + 1);
        let at = *self.lists_at.get_or_insert(self.now + stagger);
        if self.now >= at {
            self.lists_at = Some(self.now + stagger);
            self.read_value(PlatformKey::Hosts(domain));
        }
    }

    pub(crate) fn handle_host_list(&mut self, value: &Bytes) {
        match HostList::decode(value.as_ref()) {
            Ok(list) if !list.failure_domain.is_empty() => self.apply_list(&list),
            _ => self.log_discarded_value(&PlatformKey::Hosts(self.config.domain.clone())),
        }
    }

    fn host_filter(&self, domain: &str) -> impl Fn(&str) -> bool + use<> {
        let all = domain == self.config.domain || self.roles.relay;
        let foreign_hosts = if all {
            Default::default()
        } else {
            self.foreign_hosts.clone()
        };
        move |host: &str| all || foreign_hosts.contains(host)
    }

    fn apply_list(&mut self, list: &HostList) {
        let keep = self.host_filter(&list.failure_domain);
        if let Some(change) = self.lists.apply_list(list, keep) {
            self.apply_host_changes(&list.failure_domain, change);
        }
    }

    /// Applies the host lists and deltas in a peer's reply.
    pub(crate) fn apply_hosts(&mut self, peer: PeerKey, reply: &HostsReply) {
        if reply.busy_ms > 0
            && let Some(info) = self.peers.get_mut(peer)
        {
            info.lists_at = self.now + Duration::from_millis(reply.busy_ms);
        }
        for list in &reply.lists {
            self.apply_list(list);
        }
        for delta in &reply.deltas {
            let keep = self.host_filter(&delta.failure_domain);
            if let Some(change) = self.lists.apply_delta(delta, keep) {
                self.apply_host_changes(&delta.failure_domain, change);
            }
        }
    }

    fn apply_host_changes(&mut self, domain: &str, change: ListChange) {
        for (host, listed) in &change {
            if *host != self.config.host
                && self
                    .host_table
                    .apply_entry(host, listed.incarnation, listed.state, self.now)
            {
                self.fleet_state_dirty |= self.targets_host(host);
            }
        }
        self.roles_dirty = true;
        if domain == self.config.domain {
            let own: Vec<_> = self
                .peers
                .iter()
                .filter(|(_, info)| info.domain == domain)
                .map(|(key, _)| key)
                .collect();
            for peer in own {
                self.request_head(peer);
            }
        }
    }

    /// Requests the lists that this daemon needs and of which the peer has a newer
    /// revision.
    pub(crate) fn request_newer_lists(&mut self, peer: PeerKey, revisions: &[HostListRevision]) {
        let Some(info) = self.peers.get(peer) else {
            return;
        };
        let (now, must_wait) = (self.now, info.lists_at > self.now);
        let have: Vec<_> = revisions
            .iter()
            .filter(|theirs| {
                let domain = theirs.failure_domain.as_str();
                let held = self.lists.revision(domain);
                let wanted = domain == self.config.domain || self.roles.relay || held > 0;
                wanted && theirs.revision > held
            })
            .map(|theirs| HostListRevision {
                failure_domain: theirs.failure_domain.clone(),
                revision: self.lists.revision(&theirs.failure_domain),
            })
            .collect();
        if have.is_empty() || must_wait {
            return;
        }
        // At most one request a second to each peer: the reply has the newest
        // revision, whatever the heads that arrive meanwhile announce.
        if let Some(info) = self.peers.get_mut(peer) {
            info.lists_at = now + Duration::from_secs(1);
        }
        self.send(
            peer,
            RequestPurpose::Hosts,
            Request::Hosts(HostsRequest { have }),
        );
    }

    /// Requests the list of a failure domain that has targets in the scope and
    /// whose list is missing from a relay.
    pub(crate) fn request_foreign_list(&mut self, peer: PeerKey) {
        let mut domains: Vec<_> = self
            .model
            .services
            .values()
            .flat_map(|service| service.targets.values())
            .map(|target| target.failure_domain.clone())
            .filter(|domain| *domain != self.config.domain && self.lists.revision(domain) == 0)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let must_wait = self
            .peers
            .get(peer)
            .is_none_or(|info| info.lists_at > self.now);
        let Some(domain) = domains.first().filter(|_| !must_wait) else {
            return;
        };
        // One list at a time; the next one is requested together with the next
        // request for the services of this host.
        let have = vec![HostListRevision {
            failure_domain: domain.to_string(),
            revision: 0,
        }];
        self.send(
            peer,
            RequestPurpose::Hosts,
            Request::Hosts(HostsRequest { have }),
        );
    }
}
