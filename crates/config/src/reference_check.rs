//! Checks names, references and conflicts between the entries of a set.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::Hash;
use std::net::SocketAddr;

use indexmap::IndexSet;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::DomainState;
use radishgauge_schema::config::Route;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::Target;

use crate::SetFault;
use crate::model::PolicyModel;
use crate::path::FieldLocation;
use crate::rules;

/// Returns duplicate names, unknown references and conflicts between entries.
///
/// `may_be_absent` returns whether a service that is not in the set may be absent.
pub(crate) fn check_references(
    set: &ConfigSet,
    may_be_absent: &dyn Fn(&str) -> bool,
) -> Vec<SetFault> {
    let mut checker = ReferenceChecker {
        faults: Vec::new(),
        regions: defined_names(set.regions.iter().map(|region| &region.name)),
        domains: defined_names(set.failure_domains.iter().map(|domain| &domain.name)),
        services: defined_names(set.services.iter().map(|service| &service.name)),
    };
    checker.check_names(set);
    checker.check_domains(set);
    checker.check_services(set);
    checker.check_routes(set, may_be_absent);
    for (index, tenant) in set.tenants.iter().enumerate() {
        checker.check_home_regions(
            &tenant.home_regions,
            FieldLocation::new("tenants", index, "home_regions"),
        );
    }
    checker.faults
}

// Skips empty names: a missing name is reported by the check of single fields.
fn defined_names<'n, N>(names: N) -> DefinedNames<'n>
where
    N: Iterator<Item = &'n String>,
{
    let names = names.map(String::as_str).filter(|name| !name.is_empty());
    DefinedNames {
        names: names.collect(),
    }
}

/// The location of the first use of each value, for reports of duplicates.
struct FirstUses<K> {
    first: HashMap<K, FieldLocation>,
}

impl<K> FirstUses<K>
where
    K: Eq + Hash,
{
    fn new() -> FirstUses<K> {
        let first = HashMap::new();
        FirstUses { first }
    }

    fn record(&mut self, key: K, location: FieldLocation) -> Option<FieldLocation> {
        match self.first.entry(key) {
            Entry::Occupied(entry) => Some(*entry.get()),
            Entry::Vacant(entry) => {
                entry.insert(location);
                None
            }
        }
    }
}

/// The defined names of one kind of entry, in the order of the set.
struct DefinedNames<'n> {
    names: IndexSet<&'n str>,
}

impl DefinedNames<'_> {
    fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    // More than eight names are shortened to their number and the most similar
    // name, so that the message stays readable.
    fn accepted(&self, kind: &str, found: &str) -> String {
        let names: Vec<&str> = self.names.iter().copied().collect();
        match names.len() {
            0 => format!("the name of a {kind}; none is defined"),
            1..=8 => rules::one_of(&names),
            count => match nearest(found, names.iter().copied()) {
                Some(near) => format!("one of {count} names; the nearest is {near}"),
                None => format!("one of {count} names"),
            },
        }
    }
}

/// Returns the name with the smallest edit distance to a text, if it is similar.
pub(crate) fn nearest<'n, N>(text: &str, names: N) -> Option<&'n str>
where
    N: Iterator<Item = &'n str>,
{
    let scored = names.map(|name| (strsim::damerau_levenshtein(text, name), name));
    let (distance, name) = scored.min()?;
    (distance <= 1 + text.len() / 3).then_some(name)
}

/// The first target on a host; other services on the host must have the same
/// daemon and failure domain.
struct FirstTarget<'s> {
    location: FieldLocation,
    target: &'s Target,
}

struct ReferenceChecker<'s> {
    faults: Vec<SetFault>,
    regions: DefinedNames<'s>,
    domains: DefinedNames<'s>,
    services: DefinedNames<'s>,
}

impl<'s> ReferenceChecker<'s> {
    fn add_fault(&mut self, location: FieldLocation, problem: &str, found: &str, accepted: String) {
        self.faults.push(SetFault {
            path: location.path(),
            problem: problem.to_owned(),
            found: found.to_owned(),
            accepted,
            other: None,
        });
    }

    fn add_conflict(
        &mut self,
        location: FieldLocation,
        problem: &str,
        found: &str,
        accepted: &str,
        other: FieldLocation,
    ) {
        self.add_fault(location, problem, found, accepted.to_owned());
        if let Some(fault) = self.faults.last_mut() {
            fault.other = Some(other.path());
        }
    }

    fn check_names(&mut self, set: &ConfigSet) {
        let regions = set.regions.iter().map(|region| &region.name);
        self.check_unique(regions, |index| {
            FieldLocation::new("regions", index, "name")
        });
        let domains = set.failure_domains.iter().map(|domain| &domain.name);
        self.check_unique(domains, |index| {
            FieldLocation::new("failure_domains", index, "name")
        });
        let services = set.services.iter().map(|service| &service.name);
        self.check_unique(services, |index| {
            FieldLocation::new("services", index, "name")
        });
        let routes = set.routes.iter().map(|route| &route.name);
        self.check_unique(routes, |index| FieldLocation::new("routes", index, "name"));
        let tenants = set.tenants.iter().map(|tenant| &tenant.name);
        self.check_unique(tenants, |index| {
            FieldLocation::new("tenants", index, "name")
        });
    }

    fn check_unique<'n, N, S>(&mut self, values: N, location_of: S)
    where
        N: ExactSizeIterator<Item = &'n String>,
        S: Fn(usize) -> FieldLocation,
    {
        if values.len() < 2 {
            return;
        }
        let mut uses = FirstUses::new();
        for (index, value) in values.enumerate().filter(|(_, value)| !value.is_empty()) {
            if let Some(first) = uses.record(value, location_of(index)) {
                self.add_duplicate(location_of(index), value, first);
            }
        }
    }

    fn add_duplicate(&mut self, location: FieldLocation, value: &str, first: FieldLocation) {
        let found = format!("{value:?}");
        self.add_conflict(
            location,
            "duplicate value",
            &found,
            "a value used once",
            first,
        );
    }

    fn check_domains(&mut self, set: &ConfigSet) {
        let limit = match &set.policy {
            Some(policy) => policy.max_domains_out,
            None => PolicyModel::default().max_domains_out,
        };
        let mut out = 0;
        for (index, domain) in set.failure_domains.iter().enumerate() {
            let location = FieldLocation::new("failure_domains", index, "region");
            self.check_region_ref(&domain.region, location);
            if domain.state() == DomainState::Out {
                out += 1;
                if out > limit {
                    let accepted = format!("up to {limit}, by policy.max_domains_out");
                    let found = format!("{out} out");
                    let problem = "too many failure domains out";
                    self.add_fault(location.field("state"), problem, &found, accepted);
                }
            }
        }
    }

    fn check_services(&mut self, set: &'s ConfigSet) {
        let mut addresses = FirstUses::new();
        let mut daemons = FirstUses::new();
        let mut hosts: HashMap<&str, FirstTarget> = HashMap::new();
        for (index, service) in set.services.iter().enumerate() {
            let list = FieldLocation::new("services", index, "targets");
            self.check_cold_start_slots(service, list);
            let names = service.targets.iter().map(|target| &target.host);
            self.check_unique(names, |index| list.item(index).field("host"));
            for (index, target) in service.targets.iter().enumerate() {
                let location = list.item(index);
                self.check_domain_ref(&target.failure_domain, location.field("failure_domain"));
                self.check_address(
                    &target.address,
                    location.field("address"),
                    Some(&mut addresses),
                );
                if target.host.is_empty() {
                    continue;
                }
                match hosts.entry(&target.host) {
                    Entry::Occupied(entry) => {
                        self.check_address(&target.daemon, location.field("daemon"), None);
                        self.check_same_host(target, location, entry.get());
                    }
                    Entry::Vacant(entry) => {
                        entry.insert(FirstTarget { location, target });
                        self.check_address(
                            &target.daemon,
                            location.field("daemon"),
                            Some(&mut daemons),
                        );
                    }
                }
            }
        }
    }

    fn check_cold_start_slots(&mut self, service: &Service, location: FieldLocation) {
        if service.cold_start_slots > service.slots && service.slots > 0 {
            let problem = "more slots at a cold start than in service";
            let accepted = format!("up to {}, the slots of the service", service.slots);
            let found = service.cold_start_slots.to_string();
            let slots = location.field("slots");
            let location = location.field("cold_start_slots");
            self.add_conflict(location, problem, &found, &accepted, slots);
        }
    }

    // Skips a malformed address, which is reported by the check of single fields.
    fn check_address(
        &mut self,
        text: &str,
        location: FieldLocation,
        uses: Option<&mut FirstUses<SocketAddr>>,
    ) {
        let Ok(address) = text.parse::<SocketAddr>() else {
            return;
        };
        if address.port() == 0 {
            let accepted = "a port from 1 to 65535".to_owned();
            self.add_fault(location, "no port to dial", &format!("{text:?}"), accepted);
        } else if let Some(first) = uses.and_then(|uses| uses.record(address, location)) {
            self.add_duplicate(location, text, first);
        }
    }

    fn check_same_host(&mut self, target: &Target, location: FieldLocation, first: &FirstTarget) {
        let fields = [
            ("daemon", &first.target.daemon, &target.daemon),
            (
                "failure_domain",
                &first.target.failure_domain,
                &target.failure_domain,
            ),
        ];
        for (field, known, value) in fields {
            if known != value && !known.is_empty() && !value.is_empty() {
                let accepted = format!("{known}, as where host {} is first used", target.host);
                let found = format!("{value:?}");
                let (location, first) = (location.field(field), first.location.field(field));
                self.add_conflict(
                    location,
                    "one host with two values",
                    &found,
                    &accepted,
                    first,
                );
            }
        }
    }

    fn check_region_ref(&mut self, name: &str, location: FieldLocation) {
        if !name.is_empty() && !self.regions.contains(name) {
            let accepted = self.regions.accepted("region", name);
            self.add_fault(location, "unknown region", &format!("{name:?}"), accepted);
        }
    }

    fn check_domain_ref(&mut self, name: &str, location: FieldLocation) {
        if !name.is_empty() && !self.domains.contains(name) {
            let accepted = self.domains.accepted("failure domain", name);
            let found = format!("{name:?}");
            self.add_fault(location, "unknown failure domain", &found, accepted);
        }
    }

    fn check_service_ref(
        &mut self,
        name: &str,
        location: FieldLocation,
        may_be_absent: &dyn Fn(&str) -> bool,
    ) {
        if !name.is_empty() && !self.services.contains(name) && !may_be_absent(name) {
            let accepted = self.services.accepted("service", name);
            self.add_fault(location, "unknown service", &format!("{name:?}"), accepted);
        }
    }

    fn check_routes(&mut self, set: &ConfigSet, may_be_absent: &dyn Fn(&str) -> bool) {
        let mut matches: HashMap<&str, Vec<(usize, &Route)>> = HashMap::new();
        for (index, route) in set.routes.iter().enumerate() {
            let location = FieldLocation::new("routes", index, "service");
            self.check_service_ref(&route.service, location, may_be_absent);
            let calls = location.field("calls");
            for (index, name) in route.calls.iter().enumerate() {
                self.check_service_ref(name, calls.item(index), may_be_absent);
            }
            self.check_unique(route.calls.iter(), |index| calls.item(index));
            let methods = location.field("methods");
            self.check_unique(route.methods.iter(), |index| methods.item(index));
            self.check_home_regions(&route.home_regions, location.field("home_regions"));
            if route.path_prefix.is_empty() {
                continue;
            }
            let others = matches.entry(&route.path_prefix).or_default();
            if let Some((first, _)) = others
                .iter()
                .find(|(_, other)| routes_overlap(other, route))
            {
                let found = format!("{:?}", route.path_prefix);
                let problem = "two routes match the same requests";
                let accepted = "one route for each path prefix and method";
                let first = FieldLocation::new("routes", *first, "path_prefix");
                self.add_conflict(
                    location.field("path_prefix"),
                    problem,
                    &found,
                    accepted,
                    first,
                );
            }
            others.push((index, route));
        }
    }

    fn check_home_regions(&mut self, regions: &[String], list: FieldLocation) {
        self.check_unique(regions.iter(), |index| list.item(index));
        for (index, name) in regions.iter().enumerate() {
            self.check_region_ref(name, list.item(index));
        }
    }
}

// An empty list means all methods.
fn routes_overlap(a: &Route, b: &Route) -> bool {
    a.methods.is_empty()
        || b.methods.is_empty()
        || a.methods.iter().any(|method| b.methods.contains(method))
}
