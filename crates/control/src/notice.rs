//! Flooding of notices that a host is leaving.
//!
//! A notice is sent on all sessions, and each host forwards it once. The other
//! hosts of a failure domain are connected to the rest of the fleet only
//! through its relays, so paused relays would stop the notice. If a peer does
//! not confirm a notice in time, other hosts of its failure domain are
//! therefore dialled, and every new session receives the recent notices.

use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_schema::config::HostState;
use radishgauge_schema::peer::LeavingNotice;
use radishgauge_schema::peer::peer_request::Request;
use smol_str::SmolStr;

use crate::event::PeerKey;
use crate::log::ControlLog;
use crate::machine::ControlMachine;
use crate::machine::RequestPurpose;
use crate::rank;

/// The timeout for the confirmation of a notice: many round trips, and a
/// fraction of the 5 s within which the notice must reach all running hosts.
pub(crate) const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a notice is sent on new sessions: by then, hosts that missed it
/// have the state from the host list.
const RECENT_TIME: Duration = Duration::from_secs(30);

/// The number of hosts that are dialled in place of one that does not confirm.
/// More than half of a small failure domain may be paused.
const SUBSTITUTES: usize = 8;

/// Recent notices by the leaving host, each with the time until which it is
/// sent on new sessions.
pub(crate) type RecentNotices = IndexMap<SmolStr, (LeavingNotice, Duration)>;

impl ControlMachine {
    /// Announces to all peers that this host accepts no new work.
    pub(crate) fn announce_leaving(&mut self) {
        let notice = LeavingNotice {
            host: self.config.host.to_string(),
            incarnation: self.config.incarnation,
        };
        self.forward_notice(notice, None);
    }

    /// Records a notice from a peer, and forwards it if it is new.
    pub(crate) fn handle_leaving(&mut self, from: PeerKey, notice: LeavingNotice) {
        let host = SmolStr::new(&notice.host);
        if host == self.config.host || !self.host_table.leave(&host, notice.incarnation, self.now) {
            return;
        }
        self.roles_dirty = true;
        self.fleet_state_dirty |= self.targets_host(&host);
        self.log(ControlLog::HostLeaving {
            host,
            incarnation: notice.incarnation,
        });
        self.forward_notice(notice, Some(from));
    }

    fn forward_notice(&mut self, notice: LeavingNotice, from: Option<PeerKey>) {
        let host = SmolStr::new(&notice.host);
        let until = self.now + RECENT_TIME;
        self.notices.insert(host, (notice.clone(), until));
        let peers: Vec<_> = self.peers.iter().map(|(key, _)| key).collect();
        for peer in peers {
            if Some(peer) != from {
                self.send(
                    peer,
                    RequestPurpose::Notice,
                    Request::Leaving(notice.clone()),
                );
            }
        }
    }

    /// Sends the recent notices on a session that was just established.
    pub(crate) fn repeat_notices(&mut self, peer: PeerKey) {
        let now = self.now;
        self.notices.retain(|_, (_, until)| *until > now);
        let notices: Vec<_> = self.notices.values().map(|(n, _)| n.clone()).collect();
        for notice in notices {
            self.send(peer, RequestPurpose::Notice, Request::Leaving(notice));
        }
    }

    /// Dials other hosts in place of a peer that did not confirm a notice: hosts
    /// of its failure domain and, if it is the first reader, through which
    /// notices reach other regions, hosts of those regions too.
    pub(crate) fn bypass_peer(&mut self, peer: PeerKey) {
        let Some(info) = self.peers.get(peer) else {
            return;
        };
        let mut domains = vec![info.domain.clone()];
        if self.roles.relay && self.is_first_reader(&info.host) {
            let region = &self.config.region;
            let far = self.model.domains.iter();
            let far = far.filter(|(_, domain)| domain.region != *region);
            domains.extend(far.map(|(name, _)| name.clone()));
        }
        // A request with a longer timeout shows whether the peer is unreachable.
        self.request_head(peer);
        for domain in domains {
            self.dial_substitutes(&domain);
        }
    }

    fn dial_substitutes(&mut self, domain: &str) {
        let now = self.now;
        let others: IndexMap<_, _> = self
            .lists
            .hosts(domain)
            .filter(|(host, listed)| {
                listed.state == HostState::Live
                    && self.peers.by_host(host).is_none()
                    && self.host_table.usable(host)
                    && self.host_table.may_dial(host, now)
            })
            .filter_map(|(host, listed)| Some((host.clone(), listed.address?)))
            .collect();
        for host in rank::best(&self.config.host, others.keys(), SUBSTITUTES) {
            if let Some(address) = others.get(&host) {
                self.dial(*address, host);
            }
        }
    }
}
