//! Watches and polls of platform values, and the handling of their results.

use std::time::Duration;

use bytes::Bytes;
use radishgauge_config::PartDigest;
use radishgauge_config::open_root;

use crate::event::ControlAction;
use crate::event::PlatformAnswer;
use crate::event::PlatformFailure;
use crate::event::PlatformKey;
use crate::event::RequestId;
use crate::ledger::VersionComparison;
use crate::ledger::VersionId;
use crate::log::ControlLog;
use crate::machine::ControlMachine;
use crate::machine::FetchState;
use crate::platform::FollowMode;
use crate::platform_fetch::CALL_TIMEOUT;
use crate::platform_fetch::RETRY_DELAY;

impl ControlMachine {
    fn follow_mode(&self) -> (FollowMode, FollowMode) {
        let may = self.ledger.record().is_some()
            || self
                .startup
                .as_ref()
                .is_some_and(|startup| startup.may_read(self.now));
        let root = if may { self.roles.rank } else { None };
        (
            FollowMode::of_rank(root),
            FollowMode::of_list_rank(self.relay_rank()),
        )
    }

    /// Makes the platform calls that are due.
    pub(crate) fn follow_platform(&mut self) {
        let (root, hosts) = self.follow_mode();
        let now = self.now;
        if self.plan.root.due(root, now, &mut self.rng) {
            // A poll compares with the root in force and returns a value only if
            // that differs. While the platform is stale, a watch that compared
            // with the root in force would return at once, over and over, so it
            // compares with the value last seen.
            let in_force = self.ledger.version().map(|version| version.root);
            let known = match root {
                FollowMode::Poll => in_force.or(self.plan.root.known),
                FollowMode::Watch | FollowMode::Off => self.plan.root.known,
            };
            if let Some(id) = self.follow(PlatformKey::Root, known, root) {
                self.plan
                    .root
                    .call_started(id, now + self.config.policy.watch + CALL_TIMEOUT);
            }
        }
        if self.plan.hosts.due(hosts, now, &mut self.rng) {
            let known = self.plan.hosts.known;
            let key = PlatformKey::Hosts(self.config.domain.clone());
            if let Some(id) = self.follow(key, known, hosts) {
                self.plan
                    .hosts
                    .call_started(id, now + self.config.policy.watch + CALL_TIMEOUT);
            }
        }
        if self.lists.revision(&self.config.domain) == 0
            && self
                .startup
                .as_mut()
                .is_some_and(|startup| startup.list_due(now, &mut self.rng))
        {
            let key = PlatformKey::Hosts(self.config.domain.clone());
            self.read_value(key);
        }
        self.read_foreign_lists();
        self.try_full_read();
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
        // A poll is a watch with no wait, so that an unchanged value is not sent.
        let wait = match mode {
            FollowMode::Watch => self.config.policy.watch,
            FollowMode::Poll | FollowMode::Off => Duration::ZERO,
        };
        self.actions.push(ControlAction::WatchPlatform {
            id,
            key,
            known,
            wait,
        });
        Some(id)
    }

    pub(crate) fn read_value(&mut self, key: PlatformKey) {
        if let Some(id) = self.read_platform(key.clone()) {
            self.pending_reads
                .insert(id, (key, self.now + CALL_TIMEOUT));
        }
    }

    pub(crate) fn version_announced(&self) -> bool {
        self.peers.iter().any(|(_, info)| info.revision > 0)
    }

    // Reads the root, and with it the whole version, from the platform if no
    // peer has announced a version.
    fn try_full_read(&mut self) {
        if self.ledger.record().is_some()
            || self.roles.relay
            || self.plan.seen.is_some()
            || self.version_announced()
        {
            return;
        }
        let now = self.now;
        if !matches!(self.fetch, FetchState::Idle) || now < self.plan.retry_at {
            return;
        }
        if self
            .startup
            .as_mut()
            .is_some_and(|startup| startup.full_read_due(now, &mut self.rng))
        {
            self.plan.retry_at = now + RETRY_DELAY;
            self.read_value(PlatformKey::Root);
        }
    }

    pub(crate) fn platform_value(
        &mut self,
        id: RequestId,
        result: Result<PlatformAnswer, PlatformFailure>,
    ) {
        let now = self.now;
        match &result {
            Ok(_) => self.plan.last_response = Some(now),
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
        if self.plan.root.call_ended(id, ok, root, now, &mut self.rng) {
            if let Some(value) = value {
                self.plan.root.known = Some(PartDigest::of(&value));
                self.handle_root(&value);
            }
        } else if self
            .plan
            .hosts
            .call_ended(id, ok, hosts, now, &mut self.rng)
        {
            if let Some(value) = value {
                self.plan.hosts.known = Some(PartDigest::of(&value));
                self.handle_host_list(&value);
            }
        } else if let Some((key, _)) = self.pending_reads.remove(&id) {
            match (key, value) {
                // A fetch from a peer may have begun since the call.
                (PlatformKey::Root, Some(_)) if !matches!(self.fetch, FetchState::Idle) => {}
                (PlatformKey::Root, Some(value)) => {
                    self.handle_root(&value);
                    self.fetch_all = !self.roles.relay && self.plan.seen.is_some();
                }
                (PlatformKey::Root, None) => {
                    if let Some(startup) = &mut self.startup {
                        startup.full_read_failed(now, &mut self.rng);
                    }
                }
                (PlatformKey::Hosts(_), Some(value)) => self.handle_host_list(&value),
                _ => {}
            }
        } else {
            self.handle_read_result(id, value);
        }
        self.advance();
    }

    fn handle_root(&mut self, value: &Bytes) {
        let version = open_root(value.as_ref()).ok().map(|root| {
            let revision = root.revision;
            let digest = PartDigest::of(value);
            (
                root,
                VersionId {
                    revision,
                    root: digest,
                },
            )
        });
        let Some((root, version)) = version.filter(|(_, version)| version.revision > 0) else {
            self.log_discarded_value(&PlatformKey::Root);
            return;
        };
        let (comparison, first) = self.ledger.record_announced(version, self.now);
        if comparison == VersionComparison::Conflict && first {
            let held = self
                .ledger
                .version()
                .map(|version| version.root)
                .unwrap_or_default();
            self.log(ControlLog::ConflictingRevision {
                revision: version.revision,
                held,
                refused: version.root,
            });
        }
        if comparison != VersionComparison::Newer {
            return;
        }
        if self.view.differing(&root).is_err() {
            let reasons = vec![format!(
                "schema {} is not known, or pages are missing",
                root.schema
            )];
            if self.ledger.refuse(version, reasons.clone()) {
                let revision = version.revision;
                self.log(ControlLog::VersionRefused { revision, reasons });
                self.push_heads(u64::MAX);
            }
            return;
        }
        self.plan.seen = Some((root, version, self.now));
    }
}
