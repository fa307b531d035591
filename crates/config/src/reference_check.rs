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
use crate::path::Spot;
use crate::rules;

/// Returns duplicate names, unknown references and conflicts between entries.
///
/// `absent` returns whether a service that is not in the set may be absent.
pub(crate) fn check_links(set: &ConfigSet, absent: &dyn Fn(&str) -> bool) -> Vec<SetFault> {
    let mut check = LinkCheck {
        faults: Vec::new(),
        regions: names(set.regions.iter().map(|region| &region.name)),
        domains: names(set.failure_domains.iter().map(|domain| &domain.name)),
        services: names(set.services.iter().map(|service| &service.name)),
    };
    check.names(set);
    check.domains(set);
    check.services(set);
    check.routes(set, absent);
    for (at, tenant) in set.tenants.iter().enumerate() {
        check.home(
            &tenant.home_regions,
            Spot::new("tenants", at, "home_regions"),
        );
    }
    check.faults
}

// Skips empty names: a missing name is reported by the check of single fields.
fn names<'n, N>(names: N) -> Names<'n>
where
    N: Iterator<Item = &'n String>,
{
    let names = names.map(String::as_str).filter(|name| !name.is_empty());
    Names {
        names: names.collect(),
    }
}

/// The location of the first use of each value, for reports of duplicates.
struct FirstUse<K> {
    first: HashMap<K, Spot>,
}

impl<K> FirstUse<K>
where
    K: Eq + Hash,
{
    fn new() -> FirstUse<K> {
        let first = HashMap::new();
        FirstUse { first }
    }

    fn earlier(&mut self, key: K, spot: Spot) -> Option<Spot> {
        match self.first.entry(key) {
            Entry::Occupied(entry) => Some(*entry.get()),
            Entry::Vacant(entry) => {
                entry.insert(spot);
                None
            }
        }
    }
}

/// The defined names of one kind of entry, in the order of the set.
struct Names<'n> {
    names: IndexSet<&'n str>,
}

impl Names<'_> {
    fn has(&self, name: &str) -> bool {
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
struct HostUse<'s> {
    spot: Spot,
    target: &'s Target,
}

struct LinkCheck<'s> {
    faults: Vec<SetFault>,
    regions: Names<'s>,
    domains: Names<'s>,
    services: Names<'s>,
}

impl<'s> LinkCheck<'s> {
    fn add(&mut self, spot: Spot, problem: &str, found: &str, accepted: String) {
        self.faults.push(SetFault {
            path: spot.path(),
            problem: problem.to_owned(),
            found: found.to_owned(),
            accepted,
            other: None,
        });
    }

    fn add_with(&mut self, spot: Spot, problem: &str, found: &str, accepted: &str, other: Spot) {
        self.add(spot, problem, found, accepted.to_owned());
        if let Some(fault) = self.faults.last_mut() {
            fault.other = Some(other.path());
        }
    }

    fn names(&mut self, set: &ConfigSet) {
        let regions = set.regions.iter().map(|region| &region.name);
        self.unique(regions, |at| Spot::new("regions", at, "name"));
        let domains = set.failure_domains.iter().map(|domain| &domain.name);
        self.unique(domains, |at| Spot::new("failure_domains", at, "name"));
        let services = set.services.iter().map(|service| &service.name);
        self.unique(services, |at| Spot::new("services", at, "name"));
        let routes = set.routes.iter().map(|route| &route.name);
        self.unique(routes, |at| Spot::new("routes", at, "name"));
        let tenants = set.tenants.iter().map(|tenant| &tenant.name);
        self.unique(tenants, |at| Spot::new("tenants", at, "name"));
    }

    fn unique<'n, N, S>(&mut self, values: N, spot: S)
    where
        N: ExactSizeIterator<Item = &'n String>,
        S: Fn(usize) -> Spot,
    {
        if values.len() < 2 {
            return;
        }
        let mut uses = FirstUse::new();
        for (at, value) in values.enumerate().filter(|(_, value)| !value.is_empty()) {
            if let Some(first) = uses.earlier(value, spot(at)) {
                self.duplicate(spot(at), value, first);
            }
        }
    }

    fn duplicate(&mut self, spot: Spot, value: &str, first: Spot) {
        let found = format!("{value:?}");
        self.add_with(spot, "duplicate value", &found, "a value used once", first);
    }

    fn domains(&mut self, set: &ConfigSet) {
        let limit = match &set.policy {
            Some(policy) => policy.max_domains_out,
            None => PolicyModel::default().max_domains_out,
        };
        let mut out = 0;
        for (at, domain) in set.failure_domains.iter().enumerate() {
            let spot = Spot::new("failure_domains", at, "region");
            self.known_region(&domain.region, spot);
            if domain.state() == DomainState::Out {
                out += 1;
                if out > limit {
                    let accepted = format!("up to {limit}, by policy.max_domains_out");
                    let found = format!("{out} out");
                    let problem = "too many failure domains have state out";
                    self.add(spot.field("state"), problem, &found, accepted);
                }
            }
        }
    }

    fn services(&mut self, set: &'s ConfigSet) {
        let mut addresses = FirstUse::new();
        let mut daemons = FirstUse::new();
        let mut hosts: HashMap<&str, HostUse> = HashMap::new();
        for (at, service) in set.services.iter().enumerate() {
            let list = Spot::new("services", at, "targets");
            self.slots(service, list);
            let names = service.targets.iter().map(|target| &target.host);
            self.unique(names, |at| list.item(at).field("host"));
            for (at, target) in service.targets.iter().enumerate() {
                let spot = list.item(at);
                self.known_domain(&target.failure_domain, spot.field("failure_domain"));
                self.address(&target.address, spot.field("address"), Some(&mut addresses));
                if target.host.is_empty() {
                    continue;
                }
                match hosts.entry(&target.host) {
                    Entry::Occupied(entry) => {
                        self.address(&target.daemon, spot.field("daemon"), None);
                        self.same_host(target, spot, entry.get());
                    }
                    Entry::Vacant(entry) => {
                        entry.insert(HostUse { spot, target });
                        self.address(&target.daemon, spot.field("daemon"), Some(&mut daemons));
                    }
                }
            }
        }
    }

    fn slots(&mut self, service: &Service, spot: Spot) {
        if service.cold_start_slots > service.slots && service.slots > 0 {
            let problem = "cold_start_slots is greater than slots";
            let accepted = format!("up to {}, the slots of the service", service.slots);
            let found = service.cold_start_slots.to_string();
            let slots = spot.field("slots");
            let spot = spot.field("cold_start_slots");
            self.add_with(spot, problem, &found, &accepted, slots);
        }
    }

    // Skips a malformed address, which is reported by the check of single fields.
    fn address(&mut self, text: &str, spot: Spot, uses: Option<&mut FirstUse<SocketAddr>>) {
        let Ok(address) = text.parse::<SocketAddr>() else {
            return;
        };
        if address.port() == 0 {
            let accepted = "a port from 1 to 65535".to_owned();
            self.add(spot, "the port is 0", &format!("{text:?}"), accepted);
        } else if let Some(first) = uses.and_then(|uses| uses.earlier(address, spot)) {
            self.duplicate(spot, text, first);
        }
    }

    fn same_host(&mut self, target: &Target, spot: Spot, first: &HostUse) {
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
                let (spot, first) = (spot.field(field), first.spot.field(field));
                self.add_with(
                    spot,
                    "conflicting values for one host",
                    &found,
                    &accepted,
                    first,
                );
            }
        }
    }

    fn known_region(&mut self, name: &str, spot: Spot) {
        if !name.is_empty() && !self.regions.has(name) {
            let accepted = self.regions.accepted("region", name);
            self.add(spot, "unknown region", &format!("{name:?}"), accepted);
        }
    }

    fn known_domain(&mut self, name: &str, spot: Spot) {
        if !name.is_empty() && !self.domains.has(name) {
            let accepted = self.domains.accepted("failure domain", name);
            let found = format!("{name:?}");
            self.add(spot, "unknown failure domain", &found, accepted);
        }
    }

    fn known_service(&mut self, name: &str, spot: Spot, absent: &dyn Fn(&str) -> bool) {
        if !name.is_empty() && !self.services.has(name) && !absent(name) {
            let accepted = self.services.accepted("service", name);
            self.add(spot, "unknown service", &format!("{name:?}"), accepted);
        }
    }

    fn routes(&mut self, set: &ConfigSet, absent: &dyn Fn(&str) -> bool) {
        let mut matches: HashMap<&str, Vec<(usize, &Route)>> = HashMap::new();
        for (at, route) in set.routes.iter().enumerate() {
            let spot = Spot::new("routes", at, "service");
            self.known_service(&route.service, spot, absent);
            let calls = spot.field("calls");
            for (at, name) in route.calls.iter().enumerate() {
                self.known_service(name, calls.item(at), absent);
            }
            self.unique(route.calls.iter(), |at| calls.item(at));
            let methods = spot.field("methods");
            self.unique(route.methods.iter(), |at| methods.item(at));
            self.home(&route.home_regions, spot.field("home_regions"));
            if route.path_prefix.is_empty() {
                continue;
            }
            let others = matches.entry(&route.path_prefix).or_default();
            if let Some((first, _)) = others.iter().find(|(_, other)| overlap(other, route)) {
                let found = format!("{:?}", route.path_prefix);
                let problem = "two routes match the same requests";
                let accepted = "one route for each path prefix and method";
                let first = Spot::new("routes", *first, "path_prefix");
                self.add_with(spot.field("path_prefix"), problem, &found, accepted, first);
            }
            others.push((at, route));
        }
    }

    fn home(&mut self, regions: &[String], list: Spot) {
        self.unique(regions.iter(), |at| list.item(at));
        for (at, name) in regions.iter().enumerate() {
            self.known_region(name, list.item(at));
        }
    }
}

// An empty list means all methods.
fn overlap(a: &Route, b: &Route) -> bool {
    a.methods.is_empty()
        || b.methods.is_empty()
        || a.methods.iter().any(|method| b.methods.contains(method))
}
