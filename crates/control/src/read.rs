//! Reading versions from the platform.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use radishgauge_config::PartDigest;
use radishgauge_config::open_root;
use radishgauge_schema::config::IndexPage;
use radishgauge_schema::peer::PartReply;
use smol_str::SmolStr;

use crate::event::ControlAction;
use crate::event::PlatformAnswer;
use crate::event::PlatformFailure;
use crate::event::PlatformKey;
use crate::event::RequestId;
use crate::ledger::HeadVerdict;
use crate::ledger::VersionMark;
use crate::log::ControlLog;
use crate::machine::ControlMachine;
use crate::machine::Work;
use crate::platform::FollowMode;
use crate::share;

/// The reads of one daemon that wait at the platform at the same time.
const PARALLEL: usize = 8;

/// With more missing parts a page than this, one read of the page's bundle is
/// cheaper for the platform than a read of each.
const PARTS_PER_PAGE: usize = 8;

/// The calls that may fail before a read is given up.
const FAILURES: usize = 3;

/// The wait after a read that was given up.
const RETRY: Duration = Duration::from_secs(2);

/// How long a call may stay unanswered.
const CALL_TIME: Duration = Duration::from_secs(10);

/// A transfer from the platform.
#[derive(Debug, Clone)]
pub(crate) struct Read {
    mark: VersionMark,
    pages: BTreeMap<usize, (PartDigest, Option<IndexPage>)>,
    queue: VecDeque<PlatformKey>,
    calls: BTreeMap<RequestId, (PlatformKey, Duration)>,
    failures: usize,
    // Whether the index has yet to be moved; a new revision may have no changed
    // page at all.
    moves: bool,
}

impl ControlMachine {
    fn follow_mode(&self) -> (FollowMode, FollowMode) {
        let may = self.ledger.record().is_some()
            || self
                .start
                .as_ref()
                .is_some_and(|start| start.may_read(self.now));
        let root = if may { self.roles.rank } else { None };
        (
            FollowMode::of_rank(root),
            FollowMode::of_rank(self.relay_rank()),
        )
    }

    /// Makes the platform calls that are due.
    pub(crate) fn follow_platform(&mut self) {
        let (root, hosts) = self.follow_mode();
        let now = self.now;
        if self.plan.root.due(root, now, &mut self.rng) {
            let known = self.plan.root.known;
            if let Some(id) = self.follow(PlatformKey::Root, known, root) {
                self.plan
                    .root
                    .called(id, now + self.config.policy.watch + CALL_TIME);
            }
        }
        if self.plan.hosts.due(hosts, now, &mut self.rng) {
            let known = self.plan.hosts.known;
            let key = PlatformKey::Hosts(self.config.domain.clone());
            if let Some(id) = self.follow(key, known, hosts) {
                self.plan
                    .hosts
                    .called(id, now + self.config.policy.watch + CALL_TIME);
            }
        }
        if self.lists.revision(&self.config.domain) == 0
            && self
                .start
                .as_mut()
                .is_some_and(|start| start.list_due(now, &mut self.rng))
        {
            let key = PlatformKey::Hosts(self.config.domain.clone());
            self.read_other(key);
        }
        self.read_foreign_lists();
        self.try_lone_read();
    }

    fn follow(
        &mut self,
        key: PlatformKey,
        known: Option<PartDigest>,
        mode: FollowMode,
    ) -> Option<RequestId> {
        if !self.budget.take(self.now) {
            return None;
        }
        let id = self.id();
        // A poll is a watch that does not wait: an unchanged value costs no copy.
        let wait = match mode {
            FollowMode::Watch => self.config.policy.watch,
            FollowMode::Poll | FollowMode::Off => Duration::ZERO,
        };
        self.out.push(ControlAction::WatchPlatform {
            id,
            key,
            known,
            wait,
        });
        Some(id)
    }

    pub(crate) fn read_other(&mut self, key: PlatformKey) {
        if let Some(id) = self.read_platform(key.clone()) {
            self.other_reads.insert(id, (key, self.now + CALL_TIME));
        }
    }

    fn heard_version(&self) -> bool {
        self.peers.iter().any(|(_, info)| info.revision > 0)
    }

    // A daemon that no peer helps reads the whole version by itself.
    fn try_lone_read(&mut self) {
        if self.ledger.record().is_some()
            || self.roles.relay
            || self.plan.seen.is_some()
            || self.heard_version()
        {
            return;
        }
        let now = self.now;
        if !matches!(self.work, Work::Idle) || now < self.plan.retry_at {
            return;
        }
        if self
            .start
            .as_mut()
            .is_some_and(|start| start.lone_due(now, &mut self.rng))
        {
            self.plan.retry_at = now + RETRY;
            self.read_other(PlatformKey::Root);
        }
    }

    pub(crate) fn platform_value(
        &mut self,
        id: RequestId,
        result: Result<PlatformAnswer, PlatformFailure>,
    ) {
        let now = self.now;
        match &result {
            Ok(_) => self.plan.contact = Some(now),
            Err(failure) if !self.plan.root.failing() => {
                let reason = failure.0.clone();
                self.log(ControlLog::PlatformUnavailable { reason });
            }
            Err(_) => {}
        }
        let value = match &result {
            Ok(PlatformAnswer::Value(value)) => Some(value.clone()),
            Ok(PlatformAnswer::Unchanged | PlatformAnswer::Missing) | Err(_) => None,
        };
        let ok = result.is_ok();
        let (root, hosts) = self.follow_mode();
        if self.plan.root.ended(id, ok, root, now, &mut self.rng) {
            if let Some(value) = value {
                self.plan.root.known = Some(PartDigest::of(&value));
                self.see_root(&value);
            }
        } else if self.plan.hosts.ended(id, ok, hosts, now, &mut self.rng) {
            if let Some(value) = value {
                self.plan.hosts.known = Some(PartDigest::of(&value));
                self.see_hosts(&value);
            }
        } else if let Some((key, _)) = self.other_reads.remove(&id) {
            match (key, value) {
                (PlatformKey::Root, Some(value)) => {
                    self.lone = !self.roles.relay;
                    self.see_root(&value);
                }
                (PlatformKey::Root, None) => {
                    if let Some(start) = &mut self.start {
                        start.lone_failed(now, &mut self.rng);
                    }
                }
                (PlatformKey::Hosts(_), Some(value)) => self.see_hosts(&value),
                _ => {}
            }
        } else {
            self.take_read(id, value);
        }
        self.advance();
    }

    fn see_root(&mut self, value: &Bytes) {
        let mark = open_root(value.as_ref()).ok().map(|root| {
            let revision = root.revision;
            let digest = PartDigest::of(value);
            (
                root,
                VersionMark {
                    revision,
                    root: digest,
                },
            )
        });
        let Some((root, mark)) = mark.filter(|(_, mark)| mark.revision > 0) else {
            self.discard(&PlatformKey::Root);
            return;
        };
        let (verdict, first) = self.ledger.hear(mark, self.now);
        if verdict == HeadVerdict::Conflict && first {
            let held = self.ledger.mark().map(|mark| mark.root).unwrap_or_default();
            self.log(ControlLog::ConflictingRevision {
                revision: mark.revision,
                held,
                refused: mark.root,
            });
        }
        if verdict != HeadVerdict::Newer {
            return;
        }
        if self.view.differing(&root).is_err() {
            let reasons = vec![format!(
                "schema {} is not known, or pages are missing",
                root.schema
            )];
            if self.ledger.refuse(mark, reasons.clone()) {
                let revision = mark.revision;
                self.log(ControlLog::VersionRefused { revision, reasons });
                self.push_heads(u64::MAX);
            }
            return;
        }
        self.plan.seen = Some((root, mark, self.now));
    }

    /// Begins to read the root that was seen, when it is this daemon's turn.
    pub(crate) fn try_read(&mut self) {
        let Some((root, mark, _)) = &self.plan.seen else {
            return;
        };
        let (root, mark) = (root.clone(), *mark);
        if !matches!(self.work, Work::Idle) {
            return;
        }
        if self.ledger.judge(mark) != HeadVerdict::Newer {
            self.plan.seen = None;
            return;
        }
        let rank = match (self.lone, self.roles.rank) {
            (true, _) => 0,
            (false, Some(rank)) => rank,
            (false, None) => return,
        };
        // A better rank has read it and found that it is to be refused.
        let refused = rank > 0 && self.ledger.refusal().revision >= mark.revision;
        let stagger = self.config.policy.reader_stagger;
        if refused
            || self
                .plan
                .read_at(rank, stagger)
                .is_none_or(|at| self.now < at)
        {
            return;
        }
        let Ok(differing) = self.view.differing(&root) else {
            return;
        };
        if self.lone {
            self.rescan_gaps();
        }
        let whole = self.view.index().is_empty();
        let queue = differing.iter().map(|(_, digest)| match whole {
            true => PlatformKey::Bundle(*digest),
            false => PlatformKey::Page(*digest),
        });
        let queue = queue.collect();
        let pages = differing
            .into_iter()
            .map(|(page, digest)| (page, (digest, None)));
        self.work = Work::Read(Read {
            mark,
            pages: pages.collect(),
            queue,
            calls: BTreeMap::new(),
            failures: 0,
            moves: true,
        });
        self.pump_read();
    }

    /// Begins to read missing parts of the version in force, when no peer has them.
    pub(crate) fn try_fill_from_platform(&mut self, mark: VersionMark) {
        if self.roles.rank != Some(0) || self.now < self.plan.retry_at {
            return;
        }
        self.plan.retry_at = self.now + RETRY;
        self.work = Work::Read(Read {
            mark,
            pages: BTreeMap::new(),
            queue: VecDeque::new(),
            calls: BTreeMap::new(),
            failures: 0,
            moves: false,
        });
        self.pump_read();
    }

    /// Makes the next calls of a read, or ends it.
    pub(crate) fn pump_read(&mut self) {
        let now = self.now;
        let Work::Read(read) = &mut self.work else {
            return;
        };
        let late: Vec<_> = read
            .calls
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.take_read(id, None);
        }
        let Work::Read(read) = &mut self.work else {
            return;
        };
        if read.queue.is_empty() && read.calls.is_empty() {
            self.finish_pages();
        }
        loop {
            let Work::Read(read) = &mut self.work else {
                return;
            };
            if read.calls.len() >= PARALLEL {
                return;
            }
            let Some(key) = read.queue.pop_front() else {
                return;
            };
            let id = self.read_platform(key.clone());
            let Work::Read(read) = &mut self.work else {
                return;
            };
            match id {
                Some(id) => {
                    read.calls.insert(id, (key, now + CALL_TIME));
                }
                None => {
                    read.queue.push_front(key);
                    return;
                }
            }
        }
    }

    // All pages are there: moves the index and queues the missing parts, or,
    // when none is missing, puts the version in force.
    fn finish_pages(&mut self) {
        let Work::Read(read) = &mut self.work else {
            return;
        };
        let mark = read.mark;
        if std::mem::take(&mut read.moves) {
            let pages: Vec<_> = std::mem::take(&mut read.pages)
                .into_iter()
                .filter_map(|(page, (_, value))| Some((page, value?)))
                .collect();
            match self.view.apply_pages(mark.revision, mark.root, &pages) {
                Ok(change) => self.note_change(&change),
                Err(_) => {
                    self.discard(&PlatformKey::Root);
                    self.end_read();
                    return;
                }
            }
        }
        let unconfirmed = self.ledger.record().is_none() && !self.heard_version();
        if self.complete(mark, SmolStr::new_static("platform"), false, unconfirmed) {
            return;
        }
        let mut by_page: BTreeMap<usize, Vec<PartDigest>> = BTreeMap::new();
        for (digest, key) in &self.gaps {
            let page = radishgauge_config::DigestIndex::page_of(key);
            by_page.entry(page).or_default().push(*digest);
        }
        let mut queue = VecDeque::new();
        for (page, digests) in by_page {
            if digests.len() > PARTS_PER_PAGE {
                queue.push_back(PlatformKey::Bundle(self.view.index().page_digest(page)));
            } else {
                queue.extend(digests.into_iter().map(PlatformKey::Part));
            }
        }
        match &mut self.work {
            Work::Read(read) if !queue.is_empty() => read.queue = queue,
            _ => self.end_read(),
        }
    }

    fn end_read(&mut self) {
        self.work = Work::Idle;
        self.plan.retry_at = self.now + RETRY;
        if self.lone {
            self.lone = false;
            self.plan.seen = None;
            self.rescan_gaps();
            if let Some(start) = &mut self.start {
                start.lone_failed(self.now, &mut self.rng);
            }
        }
    }

    fn take_read(&mut self, id: RequestId, value: Option<Bytes>) {
        let Work::Read(read) = &mut self.work else {
            return;
        };
        let Some((key, _)) = read.calls.remove(&id) else {
            return;
        };
        let sound = value
            .as_ref()
            .is_some_and(|value| self.take_value(&key, value));
        let Work::Read(read) = &mut self.work else {
            return;
        };
        if sound {
            return;
        }
        read.failures += 1;
        let over = read.failures > FAILURES;
        read.queue.push_back(key.clone());
        if value.is_some() {
            self.discard(&key);
        }
        if over {
            self.end_read();
        }
    }

    // Returns whether the value is what its digest names.
    fn take_value(&mut self, key: &PlatformKey, value: &Bytes) -> bool {
        match key {
            PlatformKey::Page(digest) => {
                if PartDigest::of(value) != *digest {
                    return false;
                }
                IndexPage::decode(value.as_ref()).is_ok_and(|page| self.set_page(*digest, page))
            }
            PlatformKey::Part(digest) => {
                let sound = self.parts.insert(*digest, value.clone());
                if sound {
                    self.note_part(*digest);
                }
                sound
            }
            PlatformKey::Bundle(digest) => PartReply::decode(value.as_ref())
                .is_ok_and(|bundle| self.take_bundle(*digest, &bundle)),
            PlatformKey::Root | PlatformKey::Hosts(_) => false,
        }
    }

    fn set_page(&mut self, digest: PartDigest, value: IndexPage) -> bool {
        let Work::Read(read) = &mut self.work else {
            return false;
        };
        let page = read.pages.values_mut().find(|(named, _)| *named == digest);
        page.map(|page| page.1 = Some(value)).is_some()
    }

    // A bundle's parts make the page, whose digest shows that none is missing.
    fn take_bundle(&mut self, digest: PartDigest, bundle: &PartReply) -> bool {
        let mut page = radishgauge_config::DigestIndex::new(0);
        let mut number = None;
        let mut digests = Vec::new();
        for part in &bundle.parts {
            let held = PartDigest::try_from(part.digest.as_ref())
                .is_ok_and(|digest| self.parts.contains(digest));
            let Some(part) = self.parts.insert_message(part) else {
                break;
            };
            let key = self.parts.get(part).and_then(|value| share::key_of(value));
            digests.push((part, held));
            if let Some(key) = key {
                number = Some(radishgauge_config::DigestIndex::page_of(&key));
                page.insert(key, part);
            }
        }
        let number = number.unwrap_or(0);
        let sound = page.page_digest(number) == digest;
        for (part, held) in digests {
            match sound {
                true => self.note_part(part),
                false if !held => self.parts.remove(part),
                false => {}
            }
        }
        if sound {
            let value = page.page(number);
            self.set_page(digest, value);
        }
        sound
    }

    pub(crate) fn discard(&mut self, key: &PlatformKey) {
        let key = SmolStr::new(key.to_string());
        self.log(ControlLog::PlatformValueDiscarded { key });
    }
}
