//! Fetches a version, or its missing parts, from peers.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use radishgauge_config::PartDigest;
use radishgauge_schema::config::IndexPage;
use radishgauge_schema::peer::DeltaReply;
use radishgauge_schema::peer::DeltaRequest;
use radishgauge_schema::peer::PageReply;
use radishgauge_schema::peer::PageRequest;
use radishgauge_schema::peer::PartReply;
use radishgauge_schema::peer::PartRequest;
use radishgauge_schema::peer::VersionHead;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;
use smol_str::SmolStr;

use crate::event::PeerFailure;
use crate::event::PeerKey;
use crate::event::RequestId;
use crate::ledger::VersionComparison;
use crate::ledger::VersionId;
use crate::log::ControlLog;
use crate::machine::ControlMachine;
use crate::machine::FetchState;
use crate::machine::PendingRequest;
use crate::machine::RequestPurpose;
use crate::view;

/// A fetch without progress for this long is aborted.
const STALL_TIMEOUT: Duration = Duration::from_secs(6);

/// The time after a failed fetch in which its peer is not tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of parts in one request.
const PARTS_PER_REQUEST: usize = 256;

/// The platform counts as reachable for this long after its last response.
const REACHABLE_TIME: Duration = Duration::from_secs(60);

/// The kind of reply that a fetch waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum FetchStep {
    Delta,
    Root,
    Pages(Vec<usize>),
    Parts,
}

/// A fetch from peers.
#[derive(Debug, Clone)]
pub(crate) struct PeerFetch {
    version: VersionId,
    source: PeerKey,
    source_host: SmolStr,
    step: FetchStep,
    waiting: Option<(RequestId, PeerKey)>,
    excluded_peers: Vec<PeerKey>,
    progress: Duration,
}

impl PeerFetch {
    /// Updates the fetch after a session ended.
    pub(crate) fn session_ended(&mut self, peer: PeerKey, now: Duration) {
        if self.waiting.is_some_and(|(_, asked)| asked == peer) {
            self.waiting = None;
            if self.step != FetchStep::Parts {
                // Only the source is known to have the version, so the fetch
                // is aborted when it is next advanced.
                self.progress = now.saturating_sub(STALL_TIMEOUT);
            }
        }
    }
}

impl ControlMachine {
    /// Processes a peer's head: its version, refusal and host list revisions.
    pub(crate) fn handle_head(&mut self, peer: PeerKey, head: &VersionHead) {
        let now = self.now;
        if self
            .ledger
            .record_refusal(head.refused_revision, head.refused_reasons.clone())
        {
            self.log(ControlLog::VersionRefused {
                revision: head.refused_revision,
                reasons: head.refused_reasons.clone(),
            });
            self.push_heads(u64::MAX);
        }
        self.request_newer_lists(peer, &head.hosts);
        let Some(info) = self.peers.get_mut(peer) else {
            return;
        };
        info.revision = info.revision.max(head.revision);
        let Ok(root) = PartDigest::try_from(head.root.as_ref()) else {
            return;
        };
        if !head.accepted || head.revision == 0 {
            return;
        }
        let revision = head.revision;
        let version = VersionId { revision, root };
        if info.head.is_none_or(|(held, _)| held.revision < revision) {
            info.head = Some((version, now));
        }
        let earlier = info.incarnation < self.config.incarnation && info.hello_revision > 0;
        let (comparison, first) = self.ledger.record_announced(version, now);
        match comparison {
            VersionComparison::Same if earlier && self.ledger.confirm() => {
                self.fleet_state_dirty = true
            }
            VersionComparison::Conflict if first => {
                let held = self
                    .ledger
                    .version()
                    .map(|version| version.root)
                    .unwrap_or_default();
                self.log(ControlLog::ConflictingRevision {
                    revision,
                    held,
                    refused: root,
                });
            }
            _ => {}
        }
    }

    // Returns whether a version may be fetched from a peer in another region. The
    // links between regions are paid, so only readers do so. The first one waits
    // while the platform is reachable, and each later one for those before it.
    fn may_fetch_from(&self, peer_region: &str, announced: Duration) -> bool {
        if peer_region == self.config.region {
            return true;
        }
        let Some(rank) = self.roles.rank else {
            return false;
        };
        let recent = self
            .plan
            .last_response
            .is_some_and(|at| self.now < at + REACHABLE_TIME)
            && !self.plan.root.failing();
        let stagger = self.config.policy.reader_stagger;
        self.now >= announced + stagger * (rank as u32 + u32::from(recent))
    }

    /// Starts to fetch the newest version that a peer announced.
    pub(crate) fn try_peer_fetch(&mut self) {
        if !matches!(self.fetch, FetchState::Idle) {
            return;
        }
        let own = &self.config.domain;
        let best = self
            .peers
            .iter()
            .filter(|(_, info)| info.retry_at <= self.now)
            .filter_map(|(key, info)| {
                info.head
                    .map(|(version, announced)| (key, info, version, announced))
            })
            .filter(|(_, _, version, _)| self.ledger.compare(*version) == VersionComparison::Newer)
            .filter(|(_, info, _, announced)| self.may_fetch_from(&info.region, *announced))
            .max_by_key(|(_, info, version, _)| {
                (
                    version.revision,
                    info.domain == *own,
                    info.region == self.config.region,
                )
            });
        if let Some((source, info, version, _)) = best {
            let source_host = info.host.clone();
            self.start_peer_fetch(version, source, source_host);
        }
    }

    /// Starts to fetch the missing parts of the version in force.
    pub(crate) fn try_fetch_missing(&mut self) {
        let Some(version) = self.ledger.version() else {
            return;
        };
        if !matches!(self.fetch, FetchState::Idle)
            || self.missing_parts.is_empty()
            || self.view.root_digest() != version.root
        {
            return;
        }
        match self.part_source(&[]) {
            Some(source) => {
                let source_host = self
                    .peers
                    .get(source)
                    .map(|info| info.host.clone())
                    .unwrap_or_default();
                self.start_peer_fetch(version, source, source_host);
            }
            None => {
                self.dial_relays();
                self.try_read_missing(version);
            }
        }
    }

    fn start_peer_fetch(&mut self, version: VersionId, source: PeerKey, source_host: SmolStr) {
        if std::mem::take(&mut self.fetch_all) {
            self.plan.seen = None;
            self.recompute_missing_parts();
        }
        let mut fetch = PeerFetch {
            version,
            source,
            source_host,
            step: FetchStep::Parts,
            waiting: None,
            excluded_peers: Vec::new(),
            progress: self.now,
        };
        if self.view.root_digest() != version.root {
            let root = Bytes::copy_from_slice(version.root.as_bytes());
            let request = if self.view.index().is_empty() {
                let pages: Vec<_> = (0..radishgauge_config::index::PAGES).collect();
                let numbers = pages.iter().map(|page| *page as u32).collect();
                fetch.step = FetchStep::Pages(pages);
                Request::Pages(PageRequest {
                    root,
                    pages: numbers,
                })
            } else {
                fetch.step = FetchStep::Delta;
                let base = Bytes::copy_from_slice(self.view.root_digest().as_bytes());
                Request::Delta(DeltaRequest { base, root })
            };
            let id = self.send(source, RequestPurpose::PeerFetch, request);
            fetch.waiting = Some((id, source));
        }
        self.fetch = FetchState::PeerFetch(fetch);
        self.advance_peer_fetch();
    }

    /// Requests the next parts, completes the fetch, or aborts it.
    pub(crate) fn advance_peer_fetch(&mut self) {
        let FetchState::PeerFetch(fetch) = &self.fetch else {
            return;
        };
        if fetch.waiting.is_some() {
            return;
        }
        if self.now >= fetch.progress + STALL_TIMEOUT {
            let source = fetch.source;
            self.abort_peer_fetch(source);
            return;
        }
        if fetch.step != FetchStep::Parts {
            return;
        }
        let (version, host) = (fetch.version, fetch.source_host.clone());
        if self.try_complete(version, host, true, false) {
            self.advance();
            return;
        }
        let FetchState::PeerFetch(fetch) = &self.fetch else {
            return;
        };
        let excluded_peers = fetch.excluded_peers.clone();
        let first = Some(fetch.source).filter(|key| {
            !excluded_peers.contains(key)
                && self
                    .peers
                    .get(*key)
                    .is_some_and(|info| info.retry_at <= self.now)
        });
        let Some(peer) = first.or_else(|| self.part_source(&excluded_peers)) else {
            self.dial_relays();
            return;
        };
        let digests = self
            .missing_parts
            .keys()
            .take(PARTS_PER_REQUEST)
            .map(|digest| Bytes::copy_from_slice(digest.as_bytes()))
            .collect();
        let id = self.send(
            peer,
            RequestPurpose::PeerFetch,
            Request::Parts(PartRequest { digests }),
        );
        if let FetchState::PeerFetch(fetch) = &mut self.fetch {
            fetch.waiting = Some((id, peer));
        }
    }

    // Relays have all parts. A member fetches from relays of its own domain. A
    // relay also fetches from other domains of its region, and the first reader
    // from other regions.
    fn part_source(&self, excluded_peers: &[PeerKey]) -> Option<PeerKey> {
        let usable = |key: &PeerKey| {
            !excluded_peers.contains(key)
                && self
                    .peers
                    .get(*key)
                    .is_some_and(|info| info.retry_at <= self.now)
        };
        let domain_relays = self
            .peers
            .iter()
            .filter(|(_, info)| self.is_relay(&info.host));
        if let Some((key, _)) = domain_relays.into_iter().find(|(key, _)| usable(key)) {
            return Some(key);
        }
        if !self.roles.relay {
            return None;
        }
        let region = &self.config.region;
        let others = self.peers.iter().filter(|(key, info)| {
            usable(key)
                && info.domain != self.config.domain
                && (info.region == *region || self.roles.rank == Some(0))
        });
        others
            .max_by_key(|(_, info)| (info.region == *region, info.revision))
            .map(|(key, _)| key)
    }

    fn abort_peer_fetch(&mut self, source: PeerKey) {
        let retry_at = self.now + RETRY_DELAY;
        if let Some(info) = self.peers.get_mut(source) {
            info.retry_at = info.retry_at.max(retry_at);
        }
        self.fetch = FetchState::Idle;
    }

    /// Handles a reply; one that does not fit the request counts as malformed.
    pub(crate) fn dispatch_reply(&mut self, pending: PendingRequest, reply: Option<Reply>) {
        let peer = pending.peer;
        match (pending.purpose.clone(), reply) {
            (RequestPurpose::Head, Some(Reply::Head(head))) => {
                if let Some(startup) = &mut self.startup {
                    startup.answered();
                }
                self.handle_head(peer, &head);
            }
            (RequestPurpose::Hosts, Some(Reply::Hosts(hosts))) => self.apply_hosts(peer, &hosts),
            (RequestPurpose::LocalServices, Some(Reply::Parts(parts))) => {
                self.apply_local_services(&parts)
            }
            (RequestPurpose::Notice, Some(Reply::Received(_))) => {}
            (RequestPurpose::PeerFetch, Some(reply)) => {
                if !self.handle_fetch_reply(peer, reply) {
                    self.request_failed(pending, PeerFailure::Malformed);
                }
            }
            _ => self.request_failed(pending, PeerFailure::Malformed),
        }
        self.advance();
    }

    /// Handles a request that failed or got an unusable reply.
    pub(crate) fn request_failed(&mut self, pending: PendingRequest, failure: PeerFailure) {
        let peer = pending.peer;
        if failure == PeerFailure::Malformed
            && let Some(info) = self.peers.get(peer)
        {
            let host = info.host.clone();
            self.log(ControlLog::PeerValueDiscarded { host });
        }
        if let (RequestPurpose::PeerFetch, FetchState::PeerFetch(fetch)) =
            (&pending.purpose, &mut self.fetch)
            && fetch.waiting.is_some_and(|(_, asked)| asked == peer)
        {
            fetch.waiting = None;
            if fetch.step == FetchStep::Parts {
                fetch.excluded_peers.push(peer);
            } else {
                self.abort_peer_fetch(peer);
            }
        }
        match (failure, pending.purpose) {
            (PeerFailure::Silent, RequestPurpose::Notice) => self.bypass_peer(peer),
            (PeerFailure::Silent, _) => self.peer_silent(peer),
            _ => {}
        }
        self.advance();
    }

    // Returns whether the reply was valid, which a reply of "not known" is too.
    fn handle_fetch_reply(&mut self, peer: PeerKey, reply: Reply) -> bool {
        let now = self.now;
        let FetchState::PeerFetch(fetch) = &mut self.fetch else {
            return true;
        };
        if fetch.waiting.is_none_or(|(_, asked)| asked != peer) {
            return true;
        }
        let (version, step) = (fetch.version, fetch.step.clone());
        match (step, reply) {
            (FetchStep::Delta, Reply::Delta(delta)) => {
                if !delta.known {
                    self.request_root(peer, version);
                    return true;
                }
                if self.apply_delta(version, &delta).is_err() {
                    return false;
                }
            }
            (FetchStep::Root, Reply::Pages(reply)) => {
                return self.apply_root(peer, version, &reply);
            }
            (FetchStep::Pages(pages), Reply::Pages(reply)) => {
                if !reply.known {
                    self.abort_peer_fetch(peer);
                    return true;
                }
                if self.apply_page_reply(version, pages, reply).is_err() {
                    return false;
                }
            }
            (FetchStep::Parts, Reply::Parts(reply)) => return self.store_parts(peer, &reply),
            _ => return false,
        }
        if let FetchState::PeerFetch(fetch) = &mut self.fetch {
            fetch.step = FetchStep::Parts;
            fetch.waiting = None;
            fetch.progress = now;
        }
        true
    }

    fn request_root(&mut self, peer: PeerKey, version: VersionId) {
        let root = Bytes::copy_from_slice(version.root.as_bytes());
        let request = PageRequest {
            root,
            pages: Vec::new(),
        };
        let id = self.send(peer, RequestPurpose::PeerFetch, Request::Pages(request));
        if let FetchState::PeerFetch(fetch) = &mut self.fetch {
            fetch.step = FetchStep::Root;
            fetch.waiting = Some((id, peer));
            fetch.progress = self.now;
        }
    }

    fn apply_delta(
        &mut self,
        version: VersionId,
        delta: &DeltaReply,
    ) -> Result<(), view::ViewError> {
        let change = view::from_message(&delta.changed, &delta.removed)?;
        self.view.apply(version.revision, version.root, &change)?;
        self.apply_index_change(&change);
        Ok(())
    }

    fn apply_root(&mut self, peer: PeerKey, version: VersionId, reply: &PageReply) -> bool {
        let Some(root) = reply.root.as_ref().filter(|_| reply.known) else {
            self.abort_peer_fetch(peer);
            return true;
        };
        if PartDigest::of(&root.encode_to_vec()) != version.root {
            return false;
        }
        let Ok(differing) = self.view.differing(root) else {
            return false;
        };
        let pages: Vec<_> = differing.into_iter().map(|(page, _)| page).collect();
        let request = PageRequest {
            root: Bytes::copy_from_slice(version.root.as_bytes()),
            pages: pages.iter().map(|page| *page as u32).collect(),
        };
        let id = self.send(peer, RequestPurpose::PeerFetch, Request::Pages(request));
        if let FetchState::PeerFetch(fetch) = &mut self.fetch {
            fetch.step = FetchStep::Pages(pages);
            fetch.waiting = Some((id, peer));
            fetch.progress = self.now;
        }
        true
    }

    fn apply_page_reply(
        &mut self,
        version: VersionId,
        pages: Vec<usize>,
        reply: PageReply,
    ) -> Result<(), view::ViewError> {
        if reply.pages.len() != pages.len() {
            return Err(view::ViewError);
        }
        let pages: Vec<(usize, IndexPage)> = pages.into_iter().zip(reply.pages).collect();
        let change = self
            .view
            .apply_pages(version.revision, version.root, &pages)?;
        self.apply_index_change(&change);
        Ok(())
    }

    fn store_parts(&mut self, peer: PeerKey, reply: &PartReply) -> bool {
        let now = self.now;
        if reply.busy_ms > 0
            && let Some(info) = self.peers.get_mut(peer)
        {
            info.retry_at = now + Duration::from_millis(reply.busy_ms);
        }
        let mut stored = false;
        for part in &reply.parts {
            let asked = PartDigest::try_from(part.digest.as_ref())
                .is_ok_and(|digest| self.missing_parts.contains_key(&digest));
            if asked && let Some(digest) = self.parts.insert_message(part) {
                self.part_stored(digest);
                stored = true;
            }
        }
        if let FetchState::PeerFetch(fetch) = &mut self.fetch {
            fetch.waiting = None;
            if stored || reply.busy_ms > 0 {
                fetch.progress = now;
            } else {
                fetch.excluded_peers.push(peer);
            }
        }
        true
    }
}
