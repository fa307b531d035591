//! Configurations of any size for the virtual fleet, packed as the platform
//! stores them, and an acceptance rule that tests can make refuse a version.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use bytes::Bytes;
use prost::Message;
use radishgauge_config::AcceptVerdict;
use radishgauge_config::DigestIndex;
use radishgauge_config::FleetModel;
use radishgauge_config::PartDigest;
use radishgauge_control::accept::AcceptRule;
use radishgauge_control::accept::NamedPart;
use radishgauge_control::event::PlatformKey;
use radishgauge_control::ledger::VersionId;
use radishgauge_schema::config::ConfigPart;
use radishgauge_schema::config::FailureDomain;
use radishgauge_schema::config::FleetPart;
use radishgauge_schema::config::IndexRoot;
use radishgauge_schema::config::Region;
use radishgauge_schema::config::Route;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::Target;
use radishgauge_schema::config::config_part::Part;
use radishgauge_schema::peer::PartReply;
use radishgauge_schema::peer::PartValue;
use smol_str::SmolStr;

/// A number of connections outside the schema's range. A version that contains it
/// is refused.
pub const REFUSED_CONNECTIONS: u32 = 1_000_000;

/// The numbers of regions, failure domains, hosts, services and seeds of a
/// virtual fleet.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// The number of regions.
    pub regions: usize,
    /// The number of failure domains in each region.
    pub domains: usize,
    /// The number of hosts in each failure domain.
    pub hosts: usize,
    /// The number of services. Each host runs a worker of one of them.
    pub services: usize,
    /// The number of hosts in each failure domain that are configured as seeds.
    pub seeds: usize,
}

impl FleetSpec {
    /// Returns the number of hosts in the whole fleet.
    pub fn host_count(&self) -> usize {
        self.regions * self.domains * self.hosts
    }

    /// Returns the index of a host's failure domain.
    pub fn domain_of(&self, host: usize) -> usize {
        host / self.hosts
    }

    /// Returns the index of a failure domain's region.
    pub fn region_of(&self, domain: usize) -> usize {
        domain / self.domains
    }

    /// Returns the name of a host.
    pub fn host_name(&self, host: usize) -> SmolStr {
        smol_str::format_smolstr!("host-{host:04}")
    }

    /// Returns the name of a failure domain.
    pub fn domain_name(&self, domain: usize) -> SmolStr {
        smol_str::format_smolstr!("zone-{domain}")
    }

    /// Returns the name of a region.
    pub fn region_name(&self, region: usize) -> SmolStr {
        smol_str::format_smolstr!("region-{region}")
    }

    /// Returns the peer address of a host.
    pub fn address(&self, host: usize) -> SocketAddr {
        let [_, a, b, c] = (host as u32 + 1).to_be_bytes();
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, a, b, c)), 7000)
    }
}

/// A version of a packed configuration, of which single parts can be changed.
#[derive(Debug, Clone)]
pub struct FleetContent {
    index: DigestIndex,
    parts: BTreeMap<SmolStr, Bytes>,
    services: Vec<Service>,
}

impl FleetContent {
    /// Creates revision 1 of a fleet's configuration. Every host runs a worker of
    /// one service, and the workers of each service call the next two services.
    pub fn new(spec: &FleetSpec) -> FleetContent {
        let mut content = FleetContent {
            index: DigestIndex::new(1),
            parts: BTreeMap::new(),
            services: Vec::new(),
        };
        let domains = 0..spec.regions * spec.domains;
        let fleet = FleetPart {
            regions: (0..spec.regions)
                .map(|region| Region {
                    name: spec.region_name(region).into(),
                })
                .collect(),
            failure_domains: domains
                .map(|domain| FailureDomain {
                    name: spec.domain_name(domain).into(),
                    region: spec.region_name(spec.region_of(domain)).into(),
                    state: 0,
                })
                .collect(),
            tenants: Vec::new(),
            policy: None,
        };
        content.put("fleet".into(), Part::Fleet(fleet));
        let name = |service: usize| format!("service-{:03}", service % spec.services);
        for number in 0..spec.services {
            let hosts =
                (0..spec.host_count()).filter(|host| service_of_host(*host, spec) == number);
            let service = Service {
                name: name(number),
                slots: 20,
                connections: 110,
                cold_start_slots: 2,
                targets: hosts.map(|host| target(spec, host, 8000)).collect(),
                owner_epoch: 0,
                former_targets: Vec::new(),
            };
            let route = Route {
                name: format!("route-{number:03}"),
                path_prefix: format!("/api/{number:03}"),
                methods: Vec::new(),
                service: name(number),
                criticality: 0,
                repeatable: false,
                timeout_ms: 2000,
                home_regions: Vec::new(),
                calls: vec![name(number + 1), name(number + 2)],
            };
            content.put(
                smol_str::format_smolstr!("route/{}", route.name),
                Part::Route(route),
            );
            content.services.push(service);
            content.set_service(number);
        }
        content
    }

    /// Changes the number of slots of one service and increments the revision.
    pub fn change_slots(&mut self, service: usize) {
        let value = &mut self.services[service];
        value.slots = value.slots % 1000 + 1;
        self.set_service(service);
        self.next_revision();
    }

    /// Makes a host a target of one more service and increments the revision.
    pub fn add_target(&mut self, service: usize, spec: &FleetSpec, host: usize) {
        // A host's workers of different services have different ports.
        let port = 8001 + service as u16;
        self.services[service]
            .targets
            .push(target(spec, host, port));
        self.set_service(service);
        self.next_revision();
    }

    /// Sets the number of connections of one service and increments the revision;
    /// see [`REFUSED_CONNECTIONS`].
    pub fn set_connections(&mut self, service: usize, connections: u32) {
        self.services[service].connections = connections;
        self.set_service(service);
        self.next_revision();
    }

    /// Increments the revision without any other change.
    pub fn next_revision(&mut self) {
        self.index.set_revision(self.index.revision() + 1);
    }

    /// Returns the revision and root digest of this version.
    pub fn version(&self) -> VersionId {
        VersionId {
            revision: self.index.revision(),
            root: self.index.root_digest(),
        }
    }

    /// Returns the index of the parts' digests.
    pub fn index(&self) -> &DigestIndex {
        &self.index
    }

    /// Returns the length in bytes of a full copy: all parts and index pages.
    pub fn full_copy_bytes(&self) -> usize {
        let pages =
            (0..radishgauge_config::index::PAGES).map(|page| self.index.page(page).encoded_len());
        self.parts.values().map(Bytes::len).sum::<usize>() + pages.sum::<usize>()
    }

    /// Returns the platform values of this version that differ from those of an
    /// earlier one.
    pub fn values(&self, earlier: Option<&FleetContent>) -> Vec<(PlatformKey, Bytes)> {
        let mut values = Vec::new();
        let earlier_digest = |key: &str| earlier.and_then(|earlier| earlier.index.get(key));
        let mut pages = vec![false; radishgauge_config::index::PAGES];
        for (key, digest) in self.index.iter() {
            if earlier_digest(key) != Some(digest) {
                pages[DigestIndex::page_of(key)] = true;
                values.push((PlatformKey::Part(digest), self.parts[key].clone()));
            }
        }
        for (page, changed) in pages.into_iter().enumerate() {
            if !changed && earlier.is_some() {
                continue;
            }
            let value = self.index.page(page);
            let digest = self.index.page_digest(page);
            let parts = value.entries.iter().map(|entry| PartValue {
                digest: entry.digest.clone(),
                value: self.parts[entry.key.as_str()].clone(),
                compressed: false,
            });
            let bundle = PartReply {
                parts: parts.collect(),
                busy_ms: 0,
            };
            values.push((PlatformKey::Page(digest), value.encode_to_vec().into()));
            values.push((PlatformKey::Bundle(digest), bundle.encode_to_vec().into()));
        }
        values.push((PlatformKey::Root, self.index.root().encode_to_vec().into()));
        values
    }

    fn set_service(&mut self, number: usize) {
        let service = self.services[number].clone();
        let key = smol_str::format_smolstr!("service/{}", service.name);
        self.put(key, Part::Service(service));
    }

    fn put(&mut self, key: SmolStr, part: Part) {
        let value: Bytes = ConfigPart { part: Some(part) }.encode_to_vec().into();
        self.index.insert(key.clone(), PartDigest::of(&value));
        self.parts.insert(key, value);
    }
}

/// Returns the index of the service whose worker a host runs. The workers of a
/// service are spread over the failure domains.
pub fn service_of_host(host: usize, spec: &FleetSpec) -> usize {
    let domains = spec.regions * spec.domains;
    ((host % spec.hosts) * domains + spec.domain_of(host)) % spec.services
}

fn target(spec: &FleetSpec, host: usize, port: u16) -> Target {
    let mut address = spec.address(host);
    let daemon = address.to_string();
    address.set_port(port);
    Target {
        host: spec.host_name(host).into(),
        address: address.to_string(),
        daemon,
        failure_domain: spec.domain_name(spec.domain_of(host)).into(),
    }
}

/// An acceptance rule that applies the checks of `radishgauge-config`.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigRule;

impl AcceptRule for ConfigRule {
    fn accept(&self, root: &IndexRoot, parts: &[NamedPart]) -> Result<(), Vec<String>> {
        let parts = parts.iter().map(|(key, value)| (key, value));
        match radishgauge_config::accept(root, parts) {
            AcceptVerdict::Accepted => Ok(()),
            refused => Err(refused.reasons()),
        }
    }

    fn model(&self, parts: &[NamedPart]) -> Result<FleetModel, Vec<String>> {
        let parts = parts.iter().map(|(key, value)| (key, value));
        FleetModel::from_parts(parts).map_err(|error| vec![error.to_string()])
    }
}
