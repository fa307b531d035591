//! Notices that a host is leaving, passed from host to host.
//!
//! A notice goes to all open sessions, and each host passes on what is news to
//! it. Members of a failure domain have sessions with its relays only, so the
//! notice would end at relays that are paused. A peer that does not confirm a
//! notice soon is therefore passed by: others of its failure domain are
//! dialled, and each new session gets the notices that are still recent.

use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_schema::config::HostState;
use radishgauge_schema::peer::LeavingNotice;
use radishgauge_schema::peer::peer_request::Request;
use smol_str::SmolStr;

use crate::event::PeerKey;
use crate::log::ControlLog;
use crate::machine::Ask;
use crate::machine::ControlMachine;
use crate::rank;

/// How long a peer may take to confirm a notice: many round trips, and a part of
/// the 5 s within which all running hosts have to know.
pub(crate) const CONFIRM_TIME: Duration = Duration::from_secs(1);

/// How long a notice is repeated to new sessions: until those who missed it have
/// learned it from the host list.
const RECENT_TIME: Duration = Duration::from_secs(30);

/// The hosts that are dialled in place of one that does not confirm; more than
/// half of a small failure domain may be paused.
const SUBSTITUTES: usize = 8;

/// The notices that a host passes on, by the host that leaves.
pub(crate) type RecentNotices = IndexMap<SmolStr, (LeavingNotice, Duration)>;

impl ControlMachine {
    /// Tells all peers that this host takes no new work.
    pub(crate) fn tell_leaving(&mut self) {
        let notice = LeavingNotice {
            host: self.config.host.to_string(),
            incarnation: self.config.incarnation,
        };
        self.pass_on(notice, None);
    }

    /// Takes a notice; one that is news is passed on.
    pub(crate) fn hear_leaving(&mut self, from: PeerKey, notice: LeavingNotice) {
        let host = SmolStr::new(&notice.host);
        if host == self.config.host || !self.book.leave(&host, notice.incarnation, self.now) {
            return;
        }
        self.roles_dirty = true;
        self.share_dirty |= self.shares_host(&host);
        self.log(ControlLog::HostLeaving {
            host,
            incarnation: notice.incarnation,
        });
        self.pass_on(notice, Some(from));
    }

    fn pass_on(&mut self, notice: LeavingNotice, from: Option<PeerKey>) {
        let host = SmolStr::new(&notice.host);
        let until = self.now + RECENT_TIME;
        self.notices.insert(host, (notice.clone(), until));
        let peers: Vec<_> = self.peers.iter().map(|(key, _)| key).collect();
        for peer in peers {
            if Some(peer) != from {
                self.send(peer, Ask::Notice, Request::Leaving(notice.clone()));
            }
        }
    }

    /// Repeats the recent notices to a peer whose session has just opened.
    pub(crate) fn repeat_notices(&mut self, peer: PeerKey) {
        let now = self.now;
        self.notices.retain(|_, (_, until)| *until > now);
        let notices: Vec<_> = self.notices.values().map(|(n, _)| n.clone()).collect();
        for notice in notices {
            self.send(peer, Ask::Notice, Request::Leaving(notice));
        }
    }

    /// Dials others in place of a peer that did not confirm: hosts of its
    /// failure domain, and of other regions too when it is the host through
    /// which notices reach them.
    pub(crate) fn pass_by(&mut self, peer: PeerKey) {
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
        // Whether it is silent altogether shows by a question that has longer.
        self.ask_head(peer);
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
                    && self.book.usable(host)
                    && self.book.may_dial(host, now)
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
