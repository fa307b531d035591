//! The open sessions, with the state last reported by each peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_schema::peer::Hello;
use smol_str::SmolStr;

use crate::event::PeerKey;
use crate::event::PeerLink;
use crate::ledger::VersionId;

/// The state of one open session.
#[derive(Debug, Clone)]
pub struct PeerInfo {
    /// The host of the peer.
    pub host: SmolStr,
    /// The failure domain of the peer.
    pub domain: SmolStr,
    /// The region of the peer.
    pub region: SmolStr,
    /// The start time of the peer's process in ms.
    pub incarnation: u64,
    /// Which side opened the session.
    pub link: PeerLink,
    /// The revision in the peer's hello.
    pub hello_revision: u64,
    /// The newest version that the peer announced, and the time of that.
    pub head: Option<(VersionId, Duration)>,
    /// The newest revision that the peer is known to have or was sent.
    pub revision: u64,
    /// No configuration is requested from the peer before this time.
    pub retry_at: Duration,
    /// No host lists are requested from the peer before this time.
    pub lists_at: Duration,
    /// The time of the last request on this session, in either direction.
    pub last_used: Duration,
}

impl PeerInfo {
    /// Creates the state of a session that was established at `now`.
    pub fn new(hello: &Hello, link: PeerLink, now: Duration) -> PeerInfo {
        PeerInfo {
            host: SmolStr::new(&hello.host),
            domain: SmolStr::new(&hello.failure_domain),
            region: SmolStr::new(&hello.region),
            incarnation: hello.incarnation,
            link,
            hello_revision: hello.revision,
            head: None,
            revision: hello.revision,
            retry_at: Duration::ZERO,
            lists_at: Duration::ZERO,
            last_used: now,
        }
    }
}

/// All open sessions, by key and by host.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    // Not a `SecondaryMap`: the daemon may reuse a slot before this table is
    // notified that the slot's earlier session ended.
    peers: HashMap<PeerKey, PeerInfo>,
    hosts: IndexMap<SmolStr, PeerKey>,
}

impl PeerTable {
    /// Adds a session; returns the session to drop if there are now two with the
    /// same host.
    ///
    /// The one with the later incarnation stays. If the incarnations are equal,
    /// that is the one dialled by the host with the smaller name, or the newer
    /// one if the same side dialled both.
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

    /// Removes a session and returns its state.
    pub fn remove(&mut self, key: PeerKey) -> Option<PeerInfo> {
        let info = self.peers.remove(&key)?;
        if self.hosts.get(&info.host) == Some(&key) {
            self.hosts.swap_remove(&info.host);
        }
        Some(info)
    }

    /// Returns the state of a session.
    pub fn get(&self, key: PeerKey) -> Option<&PeerInfo> {
        self.peers.get(&key)
    }

    /// Returns the state of a session for modification.
    pub fn get_mut(&mut self, key: PeerKey) -> Option<&mut PeerInfo> {
        self.peers.get_mut(&key)
    }

    /// Returns the key of the session with a host.
    pub fn by_host(&self, host: &str) -> Option<PeerKey> {
        self.hosts.get(host).copied()
    }

    /// Iterates over all sessions in a deterministic order.
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

    /// Returns the key at a position of the order of [`PeerTable::iter`].
    pub fn at(&self, position: usize) -> Option<PeerKey> {
        self.hosts.get_index(position).map(|(_, key)| *key)
    }

    /// Returns whether this daemon has an outbound session to an address.
    pub fn dialled(&self, address: SocketAddr) -> bool {
        self.iter()
            .any(|(_, info)| info.link == PeerLink::Outbound(address))
    }
}
