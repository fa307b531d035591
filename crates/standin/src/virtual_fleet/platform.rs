//! The simulated configuration service of the platform in a virtual fleet.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use radishgauge_config::PartDigest;
use radishgauge_control::event::PlatformAnswer;
use radishgauge_control::event::PlatformFailure;
use radishgauge_control::event::PlatformKey;
use radishgauge_control::ledger::VersionId;
use radishgauge_schema::config::HostEntry;
use radishgauge_schema::config::HostList;
use radishgauge_schema::config::HostState;

use crate::virtual_fleet::content::FleetContent;
use crate::virtual_fleet::content::FleetSpec;

/// The platform's health or fault, which determines its responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlatformState {
    /// It returns the present values.
    #[default]
    Up,
    /// It fails every call.
    Down,
    /// It returns the values that it had when it became stale.
    Stale,
    /// It returns only the first half of every other value.
    Truncated,
}

/// A platform call: a watch that waits until a value changes or a time is
/// reached, or a read.
#[derive(Debug, Clone)]
pub(crate) struct Watch {
    pub(crate) caller: (usize, u32),
    pub(crate) id: radishgauge_control::RequestId,
    pub(crate) key: PlatformKey,
    pub(crate) known: Option<PartDigest>,
    pub(crate) until: Duration,
}

/// The simulated configuration service: its values, host lists and faults.
#[derive(Debug, Default)]
pub struct VirtualPlatform {
    values: HashMap<PlatformKey, Bytes>,
    stale_values: HashMap<PlatformKey, Bytes>,
    roots: HashMap<VersionId, Bytes>,
    state: PlatformState,
    is_odd_read: bool,
    pub(crate) watches: Vec<Watch>,
    /// The number of calls that arrived in each second of virtual time.
    pub calls: Vec<u32>,
    content: Option<FleetContent>,
    host_lists: HashMap<usize, (u64, Vec<HostEntry>)>,
}

impl VirtualPlatform {
    /// Changes how the platform answers.
    pub fn set_state(&mut self, state: PlatformState) {
        if state == PlatformState::Stale && self.state != state {
            self.stale_values = self.values.clone();
        }
        self.state = state;
    }

    /// Makes the platform stale, with the root of an earlier version and the
    /// present values of all other keys.
    pub(crate) fn set_stale_at(&mut self, version: &VersionId) {
        self.stale_values = self.values.clone();
        if let Some(root) = self.roots.get(version) {
            self.stale_values.insert(PlatformKey::Root, root.clone());
        }
        self.state = PlatformState::Stale;
    }

    /// Publishes a version. The parts and pages of earlier versions stay readable.
    pub fn publish(&mut self, content: &FleetContent) {
        let values = content.values(self.content.as_ref());
        self.values.extend(values);
        let root = self.values[&PlatformKey::Root].clone();
        self.roots.insert(content.version(), root);
        self.content = Some(content.clone());
    }

    /// Enters a host in the host list of its failure domain. Readers see the
    /// change after [`VirtualPlatform::publish_lists`].
    pub fn set_host_entry(
        &mut self,
        spec: &FleetSpec,
        host: usize,
        incarnation: u64,
        state: HostState,
    ) {
        let domain = spec.domain_of(host);
        let (revision, entries) = self.host_lists.entry(domain).or_default();
        let entry = HostEntry {
            host: spec.host_name(host).into(),
            failure_domain: spec.domain_name(domain).into(),
            daemon: spec.address(host).to_string(),
            incarnation,
            state: state.into(),
        };
        if entries.contains(&entry) {
            return;
        }
        match entries.iter_mut().find(|listed| listed.host == entry.host) {
            Some(listed) => *listed = entry,
            None => entries.push(entry),
        }
        entries.retain(|entry| entry.state() != HostState::Gone);
        *revision += 1;
    }

    /// Makes the changes by [`VirtualPlatform::set_host_entry`] visible to readers.
    pub fn publish_lists(&mut self, spec: &FleetSpec) {
        for (domain, (revision, hosts)) in &self.host_lists {
            let list = HostList {
                failure_domain: spec.domain_name(*domain).into(),
                revision: *revision,
                hosts: hosts.clone(),
            };
            let key = PlatformKey::Hosts(spec.domain_name(*domain));
            self.values.insert(key, list.encode_to_vec().into());
        }
    }

    /// Counts a call in [`VirtualPlatform::calls`].
    pub(crate) fn count(&mut self, now: Duration) {
        let second = now.as_secs() as usize;
        if self.calls.len() <= second {
            self.calls.resize(second + 1, 0);
        }
        self.calls[second] += 1;
    }

    /// Returns the result of a read.
    pub(crate) fn read(&mut self, key: &PlatformKey) -> Result<PlatformAnswer, PlatformFailure> {
        let values = match self.state {
            PlatformState::Down => return Err(PlatformFailure("down".into())),
            PlatformState::Stale => &self.stale_values,
            PlatformState::Up | PlatformState::Truncated => &self.values,
        };
        let Some(value) = values.get(key) else {
            return Ok(PlatformAnswer::Missing);
        };
        self.is_odd_read = !self.is_odd_read;
        let is_complete = self.state != PlatformState::Truncated || self.is_odd_read;
        let length = if is_complete {
            value.len()
        } else {
            value.len() / 2
        };
        Ok(PlatformAnswer::Value(value.slice(..length)))
    }

    /// Returns the result of a watch, or `None` while the value is missing or has
    /// the digest that the caller already knows.
    pub(crate) fn watch(
        &mut self,
        key: &PlatformKey,
        known: Option<PartDigest>,
    ) -> Option<Result<PlatformAnswer, PlatformFailure>> {
        match self.read(key) {
            Ok(PlatformAnswer::Value(value)) if Some(PartDigest::of(&value)) == known => None,
            Ok(PlatformAnswer::Missing) => None,
            other => Some(other),
        }
    }
}
