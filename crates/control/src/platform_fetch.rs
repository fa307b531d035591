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
use crate::fleet_state;
use crate::ledger::VersionComparison;
use crate::ledger::VersionId;
use crate::log::ControlLog;
use crate::machine::ControlMachine;
use crate::machine::FetchState;

/// The maximum number of concurrent calls of a fetch.
const MAX_PARALLEL_CALLS: usize = 8;

/// With more missing parts per page than this, one read of the page's bundle is
/// cheaper for the platform than a read for each part.
const PARTS_PER_PAGE: usize = 8;

/// The number of failed calls that a fetch tolerates before it is aborted.
const MAX_FAILURES: usize = 3;

/// The minimum time between two fetches.
pub(crate) const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The timeout of a call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A fetch from the platform.
#[derive(Debug, Clone)]
pub(crate) struct PlatformFetch {
    version: VersionId,
    pages: BTreeMap<usize, (PartDigest, Option<IndexPage>)>,
    queue: VecDeque<PlatformKey>,
    calls: BTreeMap<RequestId, (PlatformKey, Duration)>,
    failures: usize,
    // Whether the index has yet to be updated. An empty page list does not tell,
    // since a new revision may have no changed pages.
    index_pending: bool,
}

impl ControlMachine {
    /// Starts to fetch the version of the root last seen, if it is this daemon's
    /// turn.
    pub(crate) fn try_platform_fetch(&mut self) {
        let Some((root, version, _)) = &self.plan.seen else {
            return;
        };
        let (root, version) = (root.clone(), *version);
        if !matches!(self.fetch, FetchState::Idle) {
            return;
        }
        if self.ledger.compare(version) != VersionComparison::Newer {
            self.plan.seen = None;
            return;
        }
        let rank = match (self.fetch_all, self.roles.rank) {
            (true, _) => 0,
            (false, Some(rank)) => rank,
            (false, None) => return,
        };
        // A reader of a better rank has refused this version.
        let refused = rank > 0 && self.ledger.refusal().revision >= version.revision;
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
        if self.fetch_all {
            self.recompute_missing_parts();
        }
        let full = self.view.index().is_empty();
        let queue = differing.iter().map(|(_, digest)| match full {
            true => PlatformKey::Bundle(*digest),
            false => PlatformKey::Page(*digest),
        });
        let queue = queue.collect();
        let pages = differing
            .into_iter()
            .map(|(page, digest)| (page, (digest, None)));
        self.fetch = FetchState::PlatformFetch(PlatformFetch {
            version,
            pages: pages.collect(),
            queue,
            calls: BTreeMap::new(),
            failures: 0,
            index_pending: true,
        });
        self.advance_platform_fetch();
    }

    /// Starts to fetch missing parts of the version in force that no peer has.
    pub(crate) fn try_read_missing(&mut self, version: VersionId) {
        if self.roles.rank != Some(0) || self.now < self.plan.retry_at {
            return;
        }
        self.plan.retry_at = self.now + RETRY_DELAY;
        self.fetch = FetchState::PlatformFetch(PlatformFetch {
            version,
            pages: BTreeMap::new(),
            queue: VecDeque::new(),
            calls: BTreeMap::new(),
            failures: 0,
            index_pending: false,
        });
        self.advance_platform_fetch();
    }

    /// Makes the next calls of the fetch, or completes it.
    pub(crate) fn advance_platform_fetch(&mut self) {
        let now = self.now;
        let FetchState::PlatformFetch(fetch) = &mut self.fetch else {
            return;
        };
        let late: Vec<_> = fetch
            .calls
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.handle_read_result(id, None);
        }
        let FetchState::PlatformFetch(fetch) = &mut self.fetch else {
            return;
        };
        if fetch.queue.is_empty() && fetch.calls.is_empty() {
            self.finish_pages();
        }
        loop {
            let FetchState::PlatformFetch(fetch) = &mut self.fetch else {
                return;
            };
            if fetch.calls.len() >= MAX_PARALLEL_CALLS {
                return;
            }
            let Some(key) = fetch.queue.pop_front() else {
                return;
            };
            let id = self.read_platform(key.clone());
            let FetchState::PlatformFetch(fetch) = &mut self.fetch else {
                return;
            };
            match id {
                Some(id) => {
                    fetch.calls.insert(id, (key, now + CALL_TIMEOUT));
                }
                None => {
                    fetch.queue.push_front(key);
                    return;
                }
            }
        }
    }

    // Called when all pages have been read: updates the index and queues reads of
    // the missing parts, or completes the fetch if none is missing.
    fn finish_pages(&mut self) {
        let FetchState::PlatformFetch(fetch) = &mut self.fetch else {
            return;
        };
        let version = fetch.version;
        if std::mem::take(&mut fetch.index_pending) {
            let pages: Vec<_> = std::mem::take(&mut fetch.pages)
                .into_iter()
                .filter_map(|(page, (_, value))| Some((page, value?)))
                .collect();
            match self
                .view
                .apply_pages(version.revision, version.root, &pages)
            {
                Ok(change) => self.apply_index_change(&change),
                Err(_) => {
                    self.log_discarded_value(&PlatformKey::Root);
                    self.end_platform_fetch();
                    return;
                }
            }
        }
        let unconfirmed = self.ledger.record().is_none() && !self.version_announced();
        if self.try_complete(version, SmolStr::new_static("platform"), false, unconfirmed) {
            return;
        }
        let mut by_page: BTreeMap<usize, Vec<PartDigest>> = BTreeMap::new();
        for (digest, key) in &self.missing_parts {
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
        match &mut self.fetch {
            FetchState::PlatformFetch(fetch) if !queue.is_empty() => fetch.queue = queue,
            _ => self.end_platform_fetch(),
        }
    }

    fn end_platform_fetch(&mut self) {
        self.fetch = FetchState::Idle;
        self.plan.retry_at = self.now + RETRY_DELAY;
        if self.fetch_all {
            self.fetch_all = false;
            self.plan.seen = None;
            self.recompute_missing_parts();
            if let Some(startup) = &mut self.startup {
                startup.full_read_failed(self.now, &mut self.rng);
            }
        }
    }

    pub(crate) fn handle_read_result(&mut self, id: RequestId, value: Option<Bytes>) {
        let FetchState::PlatformFetch(fetch) = &mut self.fetch else {
            return;
        };
        let Some((key, _)) = fetch.calls.remove(&id) else {
            return;
        };
        let valid = value
            .as_ref()
            .is_some_and(|value| self.store_value(&key, value));
        let FetchState::PlatformFetch(fetch) = &mut self.fetch else {
            return;
        };
        if valid {
            return;
        }
        fetch.failures += 1;
        let over = fetch.failures > MAX_FAILURES;
        fetch.queue.push_back(key.clone());
        if value.is_some() {
            self.log_discarded_value(&key);
        }
        if over {
            self.end_platform_fetch();
        }
    }

    // Stores a value; returns whether it matches its digest.
    fn store_value(&mut self, key: &PlatformKey, value: &Bytes) -> bool {
        match key {
            PlatformKey::Page(digest) => {
                if PartDigest::of(value) != *digest {
                    return false;
                }
                IndexPage::decode(value.as_ref()).is_ok_and(|page| self.set_page(*digest, page))
            }
            PlatformKey::Part(digest) => {
                let valid = self.parts.insert(*digest, value.clone());
                if valid {
                    self.part_stored(*digest);
                }
                valid
            }
            PlatformKey::Bundle(digest) => PartReply::decode(value.as_ref())
                .is_ok_and(|bundle| self.store_bundle(*digest, &bundle)),
            PlatformKey::Root | PlatformKey::Hosts(_) => false,
        }
    }

    fn set_page(&mut self, digest: PartDigest, value: IndexPage) -> bool {
        let FetchState::PlatformFetch(fetch) = &mut self.fetch else {
            return false;
        };
        let page = fetch.pages.values_mut().find(|(named, _)| *named == digest);
        page.map(|page| page.1 = Some(value)).is_some()
    }

    // Stores the parts of a bundle. The page is rebuilt from them, and its digest
    // shows whether any part is missing or wrong.
    fn store_bundle(&mut self, digest: PartDigest, bundle: &PartReply) -> bool {
        let mut page = radishgauge_config::DigestIndex::new(0);
        let mut number = None;
        let mut digests = Vec::new();
        for part in &bundle.parts {
            let held = PartDigest::try_from(part.digest.as_ref())
                .is_ok_and(|digest| self.parts.contains(digest));
            let Some(part) = self.parts.insert_message(part) else {
                break;
            };
            let key = self
                .parts
                .get(part)
                .and_then(|value| fleet_state::key_of(value));
            digests.push((part, held));
            if let Some(key) = key {
                number = Some(radishgauge_config::DigestIndex::page_of(&key));
                page.insert(key, part);
            }
        }
        let number = number.unwrap_or(0);
        let valid = page.page_digest(number) == digest;
        for (part, held) in digests {
            match valid {
                true => self.part_stored(part),
                false if !held => self.parts.remove(part),
                false => {}
            }
        }
        if valid {
            let value = page.page(number);
            self.set_page(digest, value);
        }
        valid
    }

    pub(crate) fn log_discarded_value(&mut self, key: &PlatformKey) {
        let key = SmolStr::new(key.to_string());
        self.log(ControlLog::PlatformValueDiscarded { key });
    }
}
