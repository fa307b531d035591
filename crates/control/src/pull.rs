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
use crate::ledger::HeadVerdict;
use crate::ledger::VersionMark;
use crate::log::ControlLog;
use crate::machine::Ask;
use crate::machine::ControlMachine;
use crate::machine::Pending;
use crate::machine::Work;
use crate::view;

/// A fetch without progress for this long is aborted.
const STUCK: Duration = Duration::from_secs(6);

/// The time after a failed fetch in which its peer is not tried again.
const RETRY: Duration = Duration::from_millis(500);

/// The maximum number of parts in one request.
const BATCH: usize = 256;

/// The platform counts as reachable for this long after its last response.
const CONTACT: Duration = Duration::from_secs(60);

/// The kind of reply that a fetch waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum PullStep {
    Delta,
    Root,
    Pages(Vec<usize>),
    Parts,
}

/// A fetch from peers.
#[derive(Debug, Clone)]
pub(crate) struct Pull {
    mark: VersionMark,
    source: PeerKey,
    source_host: SmolStr,
    step: PullStep,
    waiting: Option<(RequestId, PeerKey)>,
    lacking: Vec<PeerKey>,
    progress: Duration,
}

impl Pull {
    /// Updates the fetch after a session ended.
    pub(crate) fn lost(&mut self, peer: PeerKey, now: Duration) {
        if self.waiting.is_some_and(|(_, asked)| asked == peer) {
            self.waiting = None;
            if self.step != PullStep::Parts {
                // Only the source is known to have the version, so the fetch
                // is aborted when it is next advanced.
                self.progress = now.saturating_sub(STUCK);
            }
        }
    }
}

impl ControlMachine {
    /// Processes a peer's head: its version, refusal and host list revisions.
    pub(crate) fn hear_head(&mut self, peer: PeerKey, head: &VersionHead) {
        let now = self.now;
        if self
            .ledger
            .hear_refusal(head.refused_revision, head.refused_reasons.clone())
        {
            self.log(ControlLog::VersionRefused {
                revision: head.refused_revision,
                reasons: head.refused_reasons.clone(),
            });
            self.push_heads(u64::MAX);
        }
        self.hear_lists(peer, &head.hosts);
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
        let mark = VersionMark { revision, root };
        if info.head.is_none_or(|(held, _)| held.revision < revision) {
            info.head = Some((mark, now));
        }
        let earlier = info.incarnation < self.config.incarnation && info.first_revision > 0;
        let (verdict, first) = self.ledger.hear(mark, now);
        match verdict {
            HeadVerdict::Same if earlier && self.ledger.confirm() => self.share_dirty = true,
            HeadVerdict::Conflict if first => {
                let held = self.ledger.mark().map(|mark| mark.root).unwrap_or_default();
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
    fn may_pull(&self, peer_region: &str, heard: Duration) -> bool {
        if peer_region == self.config.region {
            return true;
        }
        let Some(rank) = self.roles.rank else {
            return false;
        };
        let recent = self.plan.contact.is_some_and(|at| self.now < at + CONTACT)
            && !self.plan.root.failing();
        let stagger = self.config.policy.reader_stagger;
        self.now >= heard + stagger * (rank as u32 + u32::from(recent))
    }

    /// Starts to fetch the newest version that a peer announced.
    pub(crate) fn try_pull(&mut self) {
        if !matches!(self.work, Work::Idle) {
            return;
        }
        let own = &self.config.domain;
        let best = self
            .peers
            .iter()
            .filter(|(_, info)| info.retry_at <= self.now)
            .filter_map(|(key, info)| info.head.map(|(mark, heard)| (key, info, mark, heard)))
            .filter(|(_, _, mark, _)| self.ledger.judge(*mark) == HeadVerdict::Newer)
            .filter(|(_, info, _, heard)| self.may_pull(&info.region, *heard))
            .max_by_key(|(_, info, mark, _)| {
                (
                    mark.revision,
                    info.domain == *own,
                    info.region == self.config.region,
                )
            });
        if let Some((source, info, mark, _)) = best {
            let source_host = info.host.clone();
            self.begin_pull(mark, source, source_host);
        }
    }

    /// Starts to fetch the missing parts of the version in force.
    pub(crate) fn try_fill(&mut self) {
        let Some(mark) = self.ledger.mark() else {
            return;
        };
        if !matches!(self.work, Work::Idle)
            || self.gaps.is_empty()
            || self.view.root_digest() != mark.root
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
                self.begin_pull(mark, source, source_host);
            }
            None => {
                self.want_relay();
                self.try_fill_from_platform(mark);
            }
        }
    }

    fn begin_pull(&mut self, mark: VersionMark, source: PeerKey, source_host: SmolStr) {
        if std::mem::take(&mut self.lone) {
            self.plan.seen = None;
            self.rescan_gaps();
        }
        let mut pull = Pull {
            mark,
            source,
            source_host,
            step: PullStep::Parts,
            waiting: None,
            lacking: Vec::new(),
            progress: self.now,
        };
        if self.view.root_digest() != mark.root {
            let root = Bytes::copy_from_slice(mark.root.as_bytes());
            let request = if self.view.index().is_empty() {
                let pages: Vec<_> = (0..radishgauge_config::index::PAGES).collect();
                let numbers = pages.iter().map(|page| *page as u32).collect();
                pull.step = PullStep::Pages(pages);
                Request::Pages(PageRequest {
                    root,
                    pages: numbers,
                })
            } else {
                pull.step = PullStep::Delta;
                let base = Bytes::copy_from_slice(self.view.root_digest().as_bytes());
                Request::Delta(DeltaRequest { base, root })
            };
            let id = self.send(source, Ask::Pull, request);
            pull.waiting = Some((id, source));
        }
        self.work = Work::Pull(pull);
        self.advance_pull();
    }

    /// Requests the next parts, completes the fetch, or aborts it.
    pub(crate) fn advance_pull(&mut self) {
        let Work::Pull(pull) = &self.work else {
            return;
        };
        if pull.waiting.is_some() {
            return;
        }
        if self.now >= pull.progress + STUCK {
            let source = pull.source;
            self.give_up(source);
            return;
        }
        if pull.step != PullStep::Parts {
            return;
        }
        let (mark, host) = (pull.mark, pull.source_host.clone());
        if self.complete(mark, host, true, false) {
            self.advance();
            return;
        }
        let Work::Pull(pull) = &self.work else {
            return;
        };
        let lacking = pull.lacking.clone();
        let first = Some(pull.source).filter(|key| {
            !lacking.contains(key)
                && self
                    .peers
                    .get(*key)
                    .is_some_and(|info| info.retry_at <= self.now)
        });
        let Some(peer) = first.or_else(|| self.part_source(&lacking)) else {
            self.want_relay();
            return;
        };
        let digests = self
            .gaps
            .keys()
            .take(BATCH)
            .map(|digest| Bytes::copy_from_slice(digest.as_bytes()))
            .collect();
        let id = self.send(peer, Ask::Pull, Request::Parts(PartRequest { digests }));
        if let Work::Pull(pull) = &mut self.work {
            pull.waiting = Some((id, peer));
        }
    }

    // Relays have all parts. A member fetches from relays of its own domain. A
    // relay also fetches from other domains of its region, and the first reader
    // from other regions.
    fn part_source(&self, lacking: &[PeerKey]) -> Option<PeerKey> {
        let usable = |key: &PeerKey| {
            !lacking.contains(key)
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

    fn give_up(&mut self, source: PeerKey) {
        let retry_at = self.now + RETRY;
        if let Some(info) = self.peers.get_mut(source) {
            info.retry_at = info.retry_at.max(retry_at);
        }
        self.work = Work::Idle;
    }

    /// Handles a reply; one that does not fit the request counts as malformed.
    pub(crate) fn take_reply(&mut self, pending: Pending, reply: Option<Reply>) {
        let peer = pending.peer;
        match (pending.ask.clone(), reply) {
            (Ask::Head, Some(Reply::Head(head))) => {
                if let Some(start) = &mut self.start {
                    start.answered();
                }
                self.hear_head(peer, &head);
            }
            (Ask::Hosts, Some(Reply::Hosts(hosts))) => self.take_hosts(peer, &hosts),
            (Ask::Audit, Some(Reply::Parts(parts))) => self.take_audit(&parts),
            (Ask::Notice, Some(Reply::Received(_))) => {}
            (Ask::Pull, Some(reply)) => {
                if !self.take_pull(peer, reply) {
                    self.request_failed(pending, PeerFailure::Malformed);
                }
            }
            _ => self.request_failed(pending, PeerFailure::Malformed),
        }
        self.advance();
    }

    /// Handles a request that failed or got an unusable reply.
    pub(crate) fn request_failed(&mut self, pending: Pending, failure: PeerFailure) {
        let peer = pending.peer;
        if failure == PeerFailure::Malformed
            && let Some(info) = self.peers.get(peer)
        {
            let host = info.host.clone();
            self.log(ControlLog::PeerValueDiscarded { host });
        }
        if let (Ask::Pull, Work::Pull(pull)) = (&pending.ask, &mut self.work)
            && pull.waiting.is_some_and(|(_, asked)| asked == peer)
        {
            pull.waiting = None;
            if pull.step == PullStep::Parts {
                pull.lacking.push(peer);
            } else {
                self.give_up(peer);
            }
        }
        match (failure, pending.ask) {
            (PeerFailure::Silent, Ask::Notice) => self.pass_by(peer),
            (PeerFailure::Silent, _) => self.peer_silent(peer),
            _ => {}
        }
        self.advance();
    }

    // Returns whether the reply was valid, which a reply of "not known" is too.
    fn take_pull(&mut self, peer: PeerKey, reply: Reply) -> bool {
        let now = self.now;
        let Work::Pull(pull) = &mut self.work else {
            return true;
        };
        if pull.waiting.is_none_or(|(_, asked)| asked != peer) {
            return true;
        }
        let (mark, step) = (pull.mark, pull.step.clone());
        match (step, reply) {
            (PullStep::Delta, Reply::Delta(delta)) => {
                if !delta.known {
                    self.ask_root(peer, mark);
                    return true;
                }
                if self.take_delta(mark, &delta).is_err() {
                    return false;
                }
            }
            (PullStep::Root, Reply::Pages(reply)) => return self.take_root(peer, mark, &reply),
            (PullStep::Pages(pages), Reply::Pages(reply)) => {
                if !reply.known {
                    self.give_up(peer);
                    return true;
                }
                if self.take_pages(mark, pages, reply).is_err() {
                    return false;
                }
            }
            (PullStep::Parts, Reply::Parts(reply)) => return self.take_parts(peer, &reply),
            _ => return false,
        }
        if let Work::Pull(pull) = &mut self.work {
            pull.step = PullStep::Parts;
            pull.waiting = None;
            pull.progress = now;
        }
        true
    }

    fn ask_root(&mut self, peer: PeerKey, mark: VersionMark) {
        let root = Bytes::copy_from_slice(mark.root.as_bytes());
        let request = PageRequest {
            root,
            pages: Vec::new(),
        };
        let id = self.send(peer, Ask::Pull, Request::Pages(request));
        if let Work::Pull(pull) = &mut self.work {
            pull.step = PullStep::Root;
            pull.waiting = Some((id, peer));
            pull.progress = self.now;
        }
    }

    fn take_delta(&mut self, mark: VersionMark, delta: &DeltaReply) -> Result<(), view::ViewError> {
        let change = view::from_message(&delta.changed, &delta.removed)?;
        self.view.apply(mark.revision, mark.root, &change)?;
        self.note_change(&change);
        Ok(())
    }

    fn take_root(&mut self, peer: PeerKey, mark: VersionMark, reply: &PageReply) -> bool {
        let Some(root) = reply.root.as_ref().filter(|_| reply.known) else {
            self.give_up(peer);
            return true;
        };
        if PartDigest::of(&root.encode_to_vec()) != mark.root {
            return false;
        }
        let Ok(differing) = self.view.differing(root) else {
            return false;
        };
        let pages: Vec<_> = differing.into_iter().map(|(page, _)| page).collect();
        let request = PageRequest {
            root: Bytes::copy_from_slice(mark.root.as_bytes()),
            pages: pages.iter().map(|page| *page as u32).collect(),
        };
        let id = self.send(peer, Ask::Pull, Request::Pages(request));
        if let Work::Pull(pull) = &mut self.work {
            pull.step = PullStep::Pages(pages);
            pull.waiting = Some((id, peer));
            pull.progress = self.now;
        }
        true
    }

    fn take_pages(
        &mut self,
        mark: VersionMark,
        pages: Vec<usize>,
        reply: PageReply,
    ) -> Result<(), view::ViewError> {
        if reply.pages.len() != pages.len() {
            return Err(view::ViewError);
        }
        let pages: Vec<(usize, IndexPage)> = pages.into_iter().zip(reply.pages).collect();
        let change = self.view.apply_pages(mark.revision, mark.root, &pages)?;
        self.note_change(&change);
        Ok(())
    }

    fn take_parts(&mut self, peer: PeerKey, reply: &PartReply) -> bool {
        let now = self.now;
        if reply.busy_ms > 0
            && let Some(info) = self.peers.get_mut(peer)
        {
            info.retry_at = now + Duration::from_millis(reply.busy_ms);
        }
        let mut took = false;
        for part in &reply.parts {
            let asked = PartDigest::try_from(part.digest.as_ref())
                .is_ok_and(|digest| self.gaps.contains_key(&digest));
            if asked && let Some(digest) = self.parts.insert_message(part) {
                self.note_part(digest);
                took = true;
            }
        }
        if let Work::Pull(pull) = &mut self.work {
            pull.waiting = None;
            if took || reply.busy_ms > 0 {
                pull.progress = now;
            } else {
                pull.lacking.push(peer);
            }
        }
        true
    }
}
