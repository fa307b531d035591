//! The open sessions and what each peer last said.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_schema::peer::Hello;
use smol_str::SmolStr;

use crate::event::PeerKey;
use crate::event::PeerLink;
use crate::ledger::VersionMark;

/// One open session.
#[derive(Debug, Clone)]
pub struct PeerInfo {
    /// The host of the peer.
    pub host: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its region.
    pub region: SmolStr,
    /// Its start time in ms.
    pub incarnation: u64,
    /// Which side opened the session.
    pub link: PeerLink,
    /// The revision in its hello.
    pub first_revision: u64,
    /// The version that it announced last, and when.
    pub head: Option<(VersionMark, Duration)>,
    /// The revision that it is known to have.
    pub revision: u64,
    /// It is not asked for configuration before this time.
    pub retry_at: Duration,
    /// It is not asked for host lists before this time.
    pub lists_at: Duration,
    /// When the session was last of use.
    pub used: Duration,
}

impl PeerInfo {
    /// Returns the state of a session that has just opened.
    pub fn new(hello: &Hello, link: PeerLink, now: Duration) -> PeerInfo {
        PeerInfo {
            host: SmolStr::new(&hello.host),
            domain: SmolStr::new(&hello.failure_domain),
            region: SmolStr::new(&hello.region),
            incarnation: hello.incarnation,
            link,
            first_revision: hello.revision,
            head: None,
            revision: hello.revision,
            retry_at: Duration::ZERO,
            lists_at: Duration::ZERO,
            used: now,
        }
    }
}

/// All open sessions, by key and by host.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    // Not a `SecondaryMap`: a daemon may reuse a slot before this table hears
    // that its earlier session ended.
    peers: HashMap<PeerKey, PeerInfo>,
    hosts: IndexMap<SmolStr, PeerKey>,
}

impl PeerTable {
    /// Adds a session. Of two sessions with one host the later incarnation
    /// stays, else the one that the host with the smaller name dialled; the
    /// other's key is returned, to be dropped.
    pub fn insert(&mut self, own: &str, key: PeerKey, info: PeerInfo) -> Option<PeerKey> {
        let mut dropped = None;
        if let Some(&held) = self.hosts.get(&info.host) {
            let earlier = &self.peers[&held];
            let by_smaller = match info.link {
                PeerLink::Outbound(_) => own < info.host.as_str(),
                PeerLink::Inbound => info.host.as_str() < own,
            };
            let same_side =
                matches!(info.link, PeerLink::Inbound) == matches!(earlier.link, PeerLink::Inbound);
            if info.incarnation < earlier.incarnation
                || (info.incarnation == earlier.incarnation && !same_side && !by_smaller)
            {
                return Some(key);
            }
            self.peers.remove(&held);
            dropped = Some(held);
        }
        self.hosts.insert(info.host.clone(), key);
        self.peers.insert(key, info);
        dropped
    }

    /// Removes a session.
    pub fn remove(&mut self, key: PeerKey) -> Option<PeerInfo> {
        let info = self.peers.remove(&key)?;
        if self.hosts.get(&info.host) == Some(&key) {
            self.hosts.swap_remove(&info.host);
        }
        Some(info)
    }

    /// Returns a session.
    pub fn get(&self, key: PeerKey) -> Option<&PeerInfo> {
        self.peers.get(&key)
    }

    /// Returns a session for changes.
    pub fn get_mut(&mut self, key: PeerKey) -> Option<&mut PeerInfo> {
        self.peers.get_mut(&key)
    }

    /// Returns the session with a host.
    pub fn by_host(&self, host: &str) -> Option<PeerKey> {
        self.hosts.get(host).copied()
    }

    /// Iterates over all sessions, in a stable order.
    pub fn iter(&self) -> impl Iterator<Item = (PeerKey, &PeerInfo)> {
        self.hosts.values().map(|key| (*key, &self.peers[key]))
    }

    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the session at a position of the stable order.
    pub fn at(&self, position: usize) -> Option<PeerKey> {
        self.hosts.get_index(position).map(|(_, key)| *key)
    }

    /// Returns whether a session was dialled at an address.
    pub fn dialled(&self, address: SocketAddr) -> bool {
        self.iter()
            .any(|(_, info)| info.link == PeerLink::Outbound(address))
    }
}
