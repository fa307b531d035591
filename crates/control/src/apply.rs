//! Validates a fetched version and puts it in force.
//!
//! This is the only place where a version comes into force. It does so only
//! when the index and all needed parts are present, the version was validated,
//! and the model of the daemon's scope was built.

use std::collections::HashSet;
use std::sync::Arc;

use prost::Message;
use radishgauge_config::FleetModel;
use radishgauge_config::PartDigest;
use radishgauge_schema::config::ConfigPart;
use radishgauge_schema::config::config_part::Part;
use smol_str::SmolStr;

use crate::accept::NamedPart;
use crate::exchange;
use crate::fleet_state;
use crate::ledger::VersionId;
use crate::log::ControlLog;
use crate::machine::ControlMachine;
use crate::machine::FetchState;
use crate::view::EntryChange;
use crate::view::IndexChange;

/// Above this many changed entries, the missing parts are recomputed from the
/// whole index, because the update for one entry is a linear search.
const RECOMPUTE_ABOVE: usize = 64;

impl ControlMachine {
    /// Returns whether this daemon needs every part, not just those in its scope.
    pub(crate) fn needs_all_parts(&self) -> bool {
        self.roles.relay || self.fetch_all
    }

    /// Updates the scope and the missing parts after a change of the index.
    pub(crate) fn apply_index_change(&mut self, change: &IndexChange) {
        let recompute = change.len() > RECOMPUTE_ABOVE;
        for (key, digest) in change {
            if !recompute {
                self.missing_parts.retain(|_, other| other != key);
            }
            match digest {
                None => self.scope.forget(key),
                Some(digest) => self.update_missing_part(key, *digest),
            }
        }
        if self.scope.refresh() || recompute {
            self.recompute_missing_parts();
        }
    }

    fn update_missing_part(&mut self, key: &SmolStr, digest: PartDigest) {
        if let Some(value) = self.parts.get(digest) {
            self.scope.note(key, value);
        } else if self.needs_all_parts() || self.scope.covers(key) {
            self.missing_parts.insert(digest, key.clone());
        }
    }

    fn has_all_parts(&self) -> bool {
        let mut entries = self.view.index().iter();
        entries.all(|(_, digest)| self.parts.contains(digest))
    }

    /// Recomputes the missing parts from the whole index.
    pub(crate) fn recompute_missing_parts(&mut self) {
        let all = self.needs_all_parts();
        self.missing_parts = self
            .view
            .index()
            .iter()
            .filter(|(key, digest)| {
                (all || self.scope.covers(key)) && !self.parts.contains(*digest)
            })
            .map(|(key, digest)| (digest, key.clone()))
            .collect();
    }

    /// Updates the scope after a part that was missing has been stored.
    pub(crate) fn part_stored(&mut self, digest: PartDigest) {
        let Some(key) = self.missing_parts.swap_remove(&digest) else {
            return;
        };
        if let Some(value) = self.parts.get(digest) {
            self.scope.note(&key, value);
        }
    }

    /// Restores the index and the scope of the version in force.
    fn revert(&mut self) {
        self.view.revert();
        self.scope.clear();
        for (key, digest) in self.view.index().iter() {
            if let Some(value) = self.parts.get(digest) {
                self.scope.note(key, value);
            }
        }
        self.scope.refresh();
        self.recompute_missing_parts();
        self.drop_unreferenced_parts();
    }

    /// Validates the fetched version and puts it in force, if no part is missing.
    ///
    /// `validated_by_peer` says that the version came from a peer, which had
    /// validated it. Returns whether the fetch ended, either with the version in
    /// force or with its refusal.
    pub(crate) fn try_complete(
        &mut self,
        version: VersionId,
        source: SmolStr,
        validated_by_peer: bool,
        unconfirmed: bool,
    ) -> bool {
        if self.scope.refresh() {
            self.recompute_missing_parts();
        }
        if !self.missing_parts.is_empty() || self.view.root_digest() != version.root {
            return false;
        }
        // The rule expects all parts. With only the parts of the scope, it would
        // refuse a valid version, and refusals last until this daemon restarts.
        let scope_suffices = validated_by_peer && !self.needs_all_parts();
        if !scope_suffices && self.ledger.version() != Some(version) && !self.has_all_parts() {
            self.fetch_all |= !self.roles.relay;
            self.recompute_missing_parts();
            return false;
        }
        self.fetch = FetchState::Idle;
        if self.ledger.version() == Some(version) {
            self.rebuild_model();
            return true;
        }
        match self.validate(version, validated_by_peer) {
            Ok(model) => self.activate(version, source, unconfirmed, model),
            Err(reasons) => self.refuse(version, reasons),
        }
        self.fetch_all = false;
        true
    }

    // Returns `None` instead of a model if nothing in the scope changed.
    fn validate(
        &mut self,
        version: VersionId,
        validated_by_peer: bool,
    ) -> Result<Option<FleetModel>, Vec<String>> {
        if !validated_by_peer || self.needs_all_parts() {
            let parts = self.named_parts(|_| true);
            let root = self.view.root();
            debug_assert_eq!(root.revision, version.revision);
            self.config.rule.accept(&root, &parts)?;
        }
        let scope_changed = self.ledger.record().is_none()
            || self.model_scope != *self.scope.needed()
            || self.view.pending_keys().any(|key| self.scope.covers(key));
        scope_changed.then(|| self.build_model()).transpose()
    }

    fn build_model(&self) -> Result<FleetModel, Vec<String>> {
        let parts = self.named_parts(|key| self.scope.covers(key));
        self.config.rule.model(&parts)
    }

    fn named_parts<F>(&self, covers: F) -> Vec<NamedPart>
    where
        F: Fn(&str) -> bool,
    {
        self.view
            .index()
            .iter()
            .filter(|(key, _)| covers(key))
            .filter_map(|(key, digest)| Some((key.clone(), self.parts.get(digest)?.clone())))
            .collect()
    }

    fn refuse(&mut self, version: VersionId, reasons: Vec<String>) {
        if self.ledger.refuse(version, reasons.clone()) {
            let revision = version.revision;
            self.log(ControlLog::VersionRefused { revision, reasons });
        }
        self.revert();
        self.push_heads(u64::MAX);
    }

    fn activate(
        &mut self,
        version: VersionId,
        source: SmolStr,
        unconfirmed: bool,
        model: Option<FleetModel>,
    ) {
        if !self
            .ledger
            .activate(version, source.clone(), unconfirmed, self.now)
        {
            self.revert();
            return;
        }
        let first = self.view.base_revision() == 0;
        let (base, changes) = self.view.commit();
        if !first {
            let change = changes
                .iter()
                .map(|change| (change.key.clone(), change.new));
            self.history
                .push(base, version.root, version.revision, change.collect());
        }
        self.dial_new_targets(&changes);
        for change in &changes {
            if let Some(old) = change.old {
                self.parts.remove(old);
            }
        }
        if let Some(model) = model {
            self.set_model(model);
        }
        if first {
            self.local_services_at = Some(self.now);
        }
        self.fleet_state_dirty = true;
        let revision = version.revision;
        self.log(ControlLog::VersionInForce {
            revision,
            source,
            unconfirmed,
        });
        if let Some((_, seen, _)) = &self.plan.seen
            && seen.revision <= revision
        {
            self.plan.seen = None;
        }
        self.push_heads(revision);
    }

    /// Rebuilds the model of the version in force after the scope changed.
    pub(crate) fn rebuild_model(&mut self) {
        let Some(version) = self.ledger.version() else {
            return;
        };
        if self.view.root_digest() != version.root {
            return;
        }
        // This succeeds, because the rule accepted a superset of these parts.
        if let Ok(model) = self.build_model() {
            self.set_model(model);
        }
        self.drop_unreferenced_parts();
    }

    fn set_model(&mut self, mut model: FleetModel) {
        let unloaded = fleet_state::take_unloaded(&mut model);
        self.unloaded = Arc::new(unloaded);
        self.model_scope = self.scope.needed().clone();
        self.foreign_hosts = model
            .services
            .values()
            .flat_map(|service| &service.targets)
            .filter(|(_, target)| target.failure_domain != self.config.domain)
            .map(|(host, _)| host.clone())
            .collect();
        if model.domains != self.model.domains {
            self.roles_dirty = true;
        }
        self.model = Arc::new(model);
        self.fleet_state_dirty = true;
    }

    // Drops parts of services that are no longer in the scope, and of refused
    // versions.
    fn drop_unreferenced_parts(&mut self) {
        let all = self.needs_all_parts();
        let keep: HashSet<_> = self
            .view
            .index()
            .iter()
            .filter(|(key, _)| all || self.scope.covers(key))
            .map(|(_, digest)| digest)
            .collect();
        self.parts.retain(&keep);
    }

    /// Sends the head to all peers that are not known to have the revision.
    pub(crate) fn push_heads(&mut self, revision: u64) {
        for peer in exchange::outdated_peers(&self.peers, revision) {
            self.push_head(peer);
        }
    }

    // A host whose scope does not include a service cannot see that it became a
    // target of it. The first relay of the failure domain therefore opens a
    // session to each new target's host, which then requests its services.
    fn dial_new_targets(&mut self, changes: &[EntryChange]) {
        if !self.is_first_relay() {
            return;
        }
        for change in changes {
            let targets = |digest: Option<PartDigest>| {
                let value = digest.and_then(|digest| self.parts.get(digest))?;
                match ConfigPart::decode(value.as_ref()).ok()?.part? {
                    Part::Service(service) => Some(service.targets),
                    Part::Fleet(_) | Part::Route(_) => None,
                }
            };
            let old: HashSet<_> = targets(change.old)
                .into_iter()
                .flatten()
                .map(|target| target.host)
                .collect();
            let new = targets(change.new).into_iter().flatten();
            let added: Vec<_> = new
                .filter(|target| {
                    target.failure_domain == self.config.domain && !old.contains(&target.host)
                })
                .collect();
            for target in added {
                if let Ok(address) = target.daemon.parse() {
                    self.dial(address, SmolStr::new(&target.host));
                }
            }
        }
    }
}
