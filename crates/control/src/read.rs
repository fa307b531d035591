//! Fetches a version, or its missing parts, from the platform.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use radishgauge_config::PartDigest;
use radishgauge_schema::config::IndexPage;
use radishgauge_schema::peer::PartReply;
use smol_str::SmolStr;

use crate::event::PlatformKey;
use crate::event::RequestId;
use crate::ledger::HeadVerdict;
use crate::ledger::VersionMark;
use crate::log::ControlLog;
use crate::machine::ControlMachine;
use crate::machine::Work;
use crate::share;

/// The maximum number of concurrent calls of a fetch.
const PARALLEL: usize = 8;

/// With more missing parts per page than this, one read of the page's bundle is
/// cheaper for the platform than a read for each part.
const PARTS_PER_PAGE: usize = 8;

/// The number of failed calls that a fetch tolerates before it is aborted.
const FAILURES: usize = 3;

/// The minimum time between two fetches.
pub(crate) const RETRY: Duration = Duration::from_secs(2);

/// The timeout of a call.
pub(crate) const CALL_TIME: Duration = Duration::from_secs(10);

/// A fetch from the platform.
#[derive(Debug, Clone)]
pub(crate) struct Read {
    mark: VersionMark,
    pages: BTreeMap<usize, (PartDigest, Option<IndexPage>)>,
    queue: VecDeque<PlatformKey>,
    calls: BTreeMap<RequestId, (PlatformKey, Duration)>,
    failures: usize,
    // Whether the index has yet to be updated. An empty page list does not tell,
    // since a new revision may have no changed pages.
    moves: bool,
}

impl ControlMachine {
    /// Starts to fetch the version of the root last seen, if it is this daemon's
    /// turn.
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
        // A reader of a better rank has refused this version.
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

    /// Starts to fetch missing parts of the version in force that no peer has.
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

    /// Makes the next calls of the fetch, or completes it.
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

    // Called when all pages have been read: updates the index and queues reads of
    // the missing parts, or completes the fetch if none is missing.
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

    pub(crate) fn take_read(&mut self, id: RequestId, value: Option<Bytes>) {
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

    // Stores a value; returns whether it matches its digest.
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

    // Stores the parts of a bundle. The page is rebuilt from them, and its digest
    // shows whether any part is missing or wrong.
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
