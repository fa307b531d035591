//! Checks of a whole set: bounds of its fields and references between entries.
//!
//! The checks read messages and not files, so that `radishgauge check` and
//! acceptance in a daemon find the same faults. Each fault names its field by
//! path; loading turns paths into file positions.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::fmt::Display;
use std::hash::Hash;
use std::net::SocketAddr;

use prost::Message;
use prost_reflect::DynamicMessage;
use prost_reflect::ReflectMessage;
use prost_reflect::Value;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::DomainState;
use radishgauge_schema::config::Route;
use radishgauge_schema::config::Service;
use smol_str::SmolStr;

use crate::FleetModel;
use crate::model::PolicyModel;
use crate::rules;
use crate::rules::FieldKind;
use crate::rules::FieldRules;

/// One step of a [`FieldPath`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PathStep {
    /// The field of a message, by name.
    Field(SmolStr),
    /// The element of a list, counted from 0.
    Item(usize),
}

/// The way from a set or a settings file to one field.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldPath(pub Vec<PathStep>);

impl FieldPath {
    /// Returns the path of a field of this message.
    pub fn field(&self, name: &str) -> FieldPath {
        let mut path = self.clone();
        path.0.push(PathStep::Field(SmolStr::new(name)));
        path
    }

    /// Returns the path of an element of this list.
    pub fn item(&self, at: usize) -> FieldPath {
        let mut path = self.clone();
        path.0.push(PathStep::Item(at));
        path
    }
}

impl Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Field(name) if at == 0 => f.write_str(name)?,
                PathStep::Field(name) => write!(f, ".{name}")?,
                PathStep::Item(item) => write!(f, "[{item}]")?,
            }
        }
        Ok(())
    }
}

/// A fault of a set, without the file that it came from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub struct SetFault {
    /// The field with the fault.
    pub path: FieldPath,
    /// What is wrong.
    pub problem: String,
    /// The value found; empty when the field is absent.
    pub found: String,
    /// The accepted values.
    pub accepted: String,
    /// Another field that takes part in the fault, such as the first use of a
    /// name.
    pub other: Option<FieldPath>,
}

impl Display for SetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.path)?;
        write_problem(f, &self.problem, &self.found, &self.accepted)
    }
}

/// Writes the sentence that faults with and without a file share.
pub(crate) fn write_problem(
    f: &mut fmt::Formatter<'_>,
    problem: &str,
    found: &str,
    accepted: &str,
) -> fmt::Result {
    f.write_str(problem)?;
    if !found.is_empty() {
        write!(f, "; found: {found}")?;
    }
    write!(f, "; accepted: {accepted}")
}

/// Checks the fields of a set and the references between its entries.
///
/// Sets from [`crate::load_set`] have passed this check.
///
/// # Examples
///
/// ```
/// use radishgauge_config::check_set;
/// use radishgauge_schema::config::ConfigSet;
/// use radishgauge_schema::config::Region;
///
/// let region = Region { name: "Addis".to_owned() };
/// let set = ConfigSet { regions: vec![region], ..ConfigSet::default() };
/// let faults = check_set(&set).unwrap_err();
/// assert_eq!(faults[0].path.to_string(), "regions[0].name");
/// ```
///
/// # Errors
///
/// All faults, in the order of their paths.
pub fn check_set(set: &ConfigSet) -> Result<(), Vec<SetFault>> {
    check_all(set, &|_| false)
}

/// Checks a daemon's share of a version, in which services may be absent.
///
/// Targets must be in known failure domains, home regions must be known, and
/// all bounds hold. Services that the routes name are not looked up, since a
/// share does not hold them all; see [`check_services`].
///
/// # Errors
///
/// All faults, in the order of their paths. Positions in lists follow the
/// model's order, which is the order of names.
pub fn check_closure(model: &FleetModel) -> Result<(), Vec<SetFault>> {
    check_all(&model.to_set(), &|_| true)
}

/// Checks that every service that a route of the share names is known, for
/// example from the digest index.
///
/// # Errors
///
/// The names of the services that are not known, in order.
pub fn check_services<F>(model: &FleetModel, known: F) -> Result<(), Vec<SmolStr>>
where
    F: Fn(&str) -> bool,
{
    let routes = model.routes.values();
    let named = routes.flat_map(|route| route.calls.iter().chain([&route.service]));
    let mut missing: Vec<SmolStr> = named.filter(|name| !known(name)).cloned().collect();
    missing.sort_unstable();
    missing.dedup();
    if missing.is_empty() {
        Ok(())
    } else {
        Err(missing)
    }
}

fn check_all(set: &ConfigSet, absent: &dyn Fn(&str) -> bool) -> Result<(), Vec<SetFault>> {
    let mut faults = check_bounds(rules::CONFIG_SET, set);
    let bad: HashSet<FieldPath> = faults.iter().map(|fault| fault.path.clone()).collect();
    // A value that is not accepted refers to nothing, which is not a second fault.
    let links = check_links(set, absent).into_iter();
    faults.extend(links.filter(|fault| !bad.contains(&fault.path)));
    faults.sort();
    faults.dedup();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

/// Checks the range, form and presence of each field of a message.
pub(crate) fn check_bounds<M>(name: &str, message: &M) -> Vec<SetFault>
where
    M: Message,
{
    let descriptor = rules::of(name).descriptor.clone();
    let mut dynamic = DynamicMessage::new(descriptor);
    let mut faults = Vec::new();
    match dynamic.transcode_from(message) {
        Ok(()) => check_message(&dynamic, &FieldPath::default(), &mut faults),
        Err(_) => faults.push(SetFault {
            path: FieldPath::default(),
            problem: "the message does not match the schema".to_owned(),
            found: String::new(),
            accepted: format!("a {name}"),
            other: None,
        }),
    }
    faults
}

fn check_message(message: &DynamicMessage, path: &FieldPath, faults: &mut Vec<SetFault>) {
    for field in &rules::of(message.descriptor().full_name()).fields {
        let path = path.field(&field.name);
        let value = message.get_field(&field.descriptor);
        match value.as_ref() {
            Value::List(values) => {
                for (at, value) in values.iter().enumerate() {
                    check_value(value, field, &path.item(at), faults);
                }
            }
            Value::Message(_) if !message.has_field(&field.descriptor) => {
                if field.rule.required {
                    faults.push(absent(field, path));
                }
            }
            value => check_value(value, field, &path, faults),
        }
    }
}

fn check_value(value: &Value, field: &FieldRules, path: &FieldPath, faults: &mut Vec<SetFault>) {
    let found = match value {
        Value::Message(inner) => return check_message(inner, path, faults),
        // An absent text is empty, which only a required field refuses.
        Value::String(text) if text.is_empty() && !field.list => {
            if field.rule.required {
                faults.push(absent(field, path.clone()));
            }
            return;
        }
        Value::String(text) if !field.accepts_text(text) => format!("{text:?}"),
        Value::U32(number) if !field.accepts_number(u64::from(*number)) => number.to_string(),
        Value::U64(number) if !field.accepts_number(*number) => number.to_string(),
        Value::EnumNumber(number) if *number != 0 => match &field.kind {
            FieldKind::Choice(names) if names.iter().all(|(_, known)| known != number) => {
                number.to_string()
            }
            _ => return,
        },
        _ => return,
    };
    faults.push(SetFault {
        path: path.clone(),
        problem: "value not accepted".to_owned(),
        found,
        accepted: field.accepted(),
        other: None,
    });
}

fn absent(field: &FieldRules, path: FieldPath) -> SetFault {
    SetFault {
        path,
        problem: "required field missing".to_owned(),
        found: String::new(),
        accepted: field.accepted(),
        other: None,
    }
}

/// Checks names, references and contradictions between entries.
///
/// `absent` says of a service that is not in the set whether it may be absent.
pub(crate) fn check_links(set: &ConfigSet, absent: &dyn Fn(&str) -> bool) -> Vec<SetFault> {
    let mut check = LinkCheck {
        faults: Vec::new(),
        regions: Names::default(),
        domains: Names::default(),
        services: Names::default(),
    };
    check.names(set);
    check.domains(set);
    check.services(set);
    check.routes(set, absent);
    check.tenants(set);
    check.faults
}

/// The first use of each value, to find the second.
struct FirstUse<K> {
    first: HashMap<K, FieldPath>,
}

impl<K> FirstUse<K>
where
    K: Eq + Hash,
{
    fn new() -> FirstUse<K> {
        let first = HashMap::new();
        FirstUse { first }
    }

    fn earlier(&mut self, key: K, path: &FieldPath) -> Option<FieldPath> {
        if let Some(first) = self.first.get(&key) {
            return Some(first.clone());
        }
        self.first.insert(key, path.clone());
        None
    }
}

/// Known names of one kind, in the order of the set.
#[derive(Default)]
struct Names {
    names: indexmap::IndexSet<SmolStr>,
}

impl Names {
    fn has(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    // Long lists are cut to the nearest names, so that a message stays readable.
    fn accepted(&self, kind: &str, found: &str) -> String {
        let names: Vec<&str> = self.names.iter().map(SmolStr::as_str).collect();
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

/// Returns the name that differs least from a text, when one is similar.
pub(crate) fn nearest<'n, N>(text: &str, names: N) -> Option<&'n str>
where
    N: Iterator<Item = &'n str>,
{
    let scored = names.map(|name| (strsim::damerau_levenshtein(text, name), name));
    let (distance, name) = scored.min()?;
    (distance <= 1 + text.len() / 3).then_some(name)
}

struct LinkCheck {
    faults: Vec<SetFault>,
    regions: Names,
    domains: Names,
    services: Names,
}

impl LinkCheck {
    fn add(&mut self, path: FieldPath, problem: &str, found: &str, accepted: String) {
        self.faults.push(SetFault {
            path,
            problem: problem.to_owned(),
            found: found.to_owned(),
            accepted,
            other: None,
        });
    }

    fn add_with(
        &mut self,
        path: FieldPath,
        problem: &str,
        found: &str,
        accepted: &str,
        other: FieldPath,
    ) {
        self.faults.push(SetFault {
            path,
            problem: problem.to_owned(),
            found: found.to_owned(),
            accepted: accepted.to_owned(),
            other: Some(other),
        });
    }

    fn names(&mut self, set: &ConfigSet) {
        let regions = set.regions.iter().map(|region| region.name.as_str());
        self.regions = self.list(&root("regions"), "name", regions);
        let domains = set
            .failure_domains
            .iter()
            .map(|domain| domain.name.as_str());
        self.domains = self.list(&root("failure_domains"), "name", domains);
        let services = set.services.iter().map(|service| service.name.as_str());
        self.services = self.list(&root("services"), "name", services);
        let routes = set.routes.iter().map(|route| route.name.as_str());
        self.list(&root("routes"), "name", routes);
        let tenants = set.tenants.iter().map(|tenant| tenant.name.as_str());
        self.list(&root("tenants"), "name", tenants);
    }

    // An empty name is an absent one, which the check of bounds reports.
    fn list<'n, N>(&mut self, list: &FieldPath, field: &str, names: N) -> Names
    where
        N: Iterator<Item = &'n str>,
    {
        let mut known = Names::default();
        let mut uses = FirstUse::new();
        for (at, name) in names.enumerate().filter(|(_, name)| !name.is_empty()) {
            let path = list.item(at).field(field);
            if let Some(first) = uses.earlier(name, &path) {
                self.duplicate(path, name, first);
            }
            known.names.insert(SmolStr::new(name));
        }
        known
    }

    fn duplicate(&mut self, path: FieldPath, value: &str, first: FieldPath) {
        let found = format!("{value:?}");
        self.add_with(path, "duplicate value", &found, "a value used once", first);
    }

    fn domains(&mut self, set: &ConfigSet) {
        let list = root("failure_domains");
        let limit = match &set.policy {
            Some(policy) => policy.max_domains_out,
            None => PolicyModel::default().max_domains_out,
        };
        let mut out = 0;
        for (at, domain) in set.failure_domains.iter().enumerate() {
            if !domain.region.is_empty() && !self.regions.has(&domain.region) {
                let accepted = self.regions.accepted("region", &domain.region);
                let found = format!("{:?}", domain.region);
                let path = list.item(at).field("region");
                self.add(path, "unknown region", &found, accepted);
            }
            if domain.state() == DomainState::Out {
                out += 1;
                if out > limit {
                    let path = list.item(at).field("state");
                    let accepted = format!("up to {limit}, by policy.max_domains_out");
                    let found = format!("{out} out");
                    self.add(path, "too many failure domains out", &found, accepted);
                }
            }
        }
    }

    fn services(&mut self, set: &ConfigSet) {
        let list = root("services");
        let mut addresses = FirstUse::new();
        let mut daemons = FirstUse::new();
        let mut hosts: HashMap<&str, (&str, &str, FieldPath)> = HashMap::new();
        for (at, service) in set.services.iter().enumerate() {
            let path = list.item(at);
            self.slots(service, &path);
            let targets = path.field("targets");
            let names = service.targets.iter().map(|target| target.host.as_str());
            self.list(&targets, "host", names);
            for (at, target) in service.targets.iter().enumerate() {
                let path = targets.item(at);
                self.known_domain(&target.failure_domain, path.field("failure_domain"));
                self.port(&target.address, path.field("address"));
                self.port(&target.daemon, path.field("daemon"));
                if let Ok(address) = target.address.parse::<SocketAddr>() {
                    let path = path.field("address");
                    if let Some(first) = addresses.earlier(address, &path) {
                        self.duplicate(path, &target.address, first);
                    }
                }
                if target.host.is_empty() {
                    continue;
                }
                let host = (target.daemon.as_str(), target.failure_domain.as_str());
                let Some((daemon, domain, first)) = hosts.get(target.host.as_str()) else {
                    let first = (host.0, host.1, path.clone());
                    hosts.insert(&target.host, first);
                    if let Ok(daemon) = target.daemon.parse::<SocketAddr>() {
                        let path = path.field("daemon");
                        if let Some(first) = daemons.earlier(daemon, &path) {
                            self.duplicate(path, &target.daemon, first);
                        }
                    }
                    continue;
                };
                for (field, known, value) in [
                    ("daemon", *daemon, host.0),
                    ("failure_domain", *domain, host.1),
                ] {
                    if known != value && !known.is_empty() && !value.is_empty() {
                        let problem = "one host with two values";
                        let accepted =
                            format!("{known}, as where host {} is first used", target.host);
                        let found = format!("{value:?}");
                        let first = first.field(field);
                        self.add_with(path.field(field), problem, &found, &accepted, first);
                    }
                }
            }
        }
    }

    fn slots(&mut self, service: &Service, path: &FieldPath) {
        if service.cold_start_slots > service.slots && service.slots > 0 {
            let problem = "more slots at a cold start than in service";
            let accepted = format!("up to {}, the slots of the service", service.slots);
            let found = service.cold_start_slots.to_string();
            let slots = path.field("slots");
            let path = path.field("cold_start_slots");
            self.add_with(path, problem, &found, &accepted, slots);
        }
    }

    fn port(&mut self, text: &str, path: FieldPath) {
        if text
            .parse()
            .is_ok_and(|address: SocketAddr| address.port() == 0)
        {
            let accepted = "a port from 1 to 65535".to_owned();
            self.add(path, "no port to dial", &format!("{text:?}"), accepted);
        }
    }

    fn known_domain(&mut self, name: &str, path: FieldPath) {
        if !name.is_empty() && !self.domains.has(name) {
            let accepted = self.domains.accepted("failure domain", name);
            self.add(
                path,
                "unknown failure domain",
                &format!("{name:?}"),
                accepted,
            );
        }
    }

    fn routes(&mut self, set: &ConfigSet, absent: &dyn Fn(&str) -> bool) {
        let list = root("routes");
        let mut matches: HashMap<&str, Vec<(usize, &Route)>> = HashMap::new();
        for (at, route) in set.routes.iter().enumerate() {
            let path = list.item(at);
            self.known_service(&route.service, path.field("service"), absent);
            for (at, name) in route.calls.iter().enumerate() {
                self.known_service(name, path.field("calls").item(at), absent);
            }
            self.once(&route.calls, &path.field("calls"));
            self.once(&route.methods, &path.field("methods"));
            self.home(&route.home_regions, &path.field("home_regions"));
            if route.path_prefix.is_empty() {
                continue;
            }
            let others = matches.entry(&route.path_prefix).or_default();
            if let Some((first, _)) = others.iter().find(|(_, other)| overlap(other, route)) {
                let found = format!("{:?}", route.path_prefix);
                let accepted = "one route for each path prefix and method";
                let first = list.item(*first).field("path_prefix");
                let path = path.field("path_prefix");
                self.add_with(
                    path,
                    "two routes match the same requests",
                    &found,
                    accepted,
                    first,
                );
            }
            others.push((at, route));
        }
    }

    fn known_service(&mut self, name: &str, path: FieldPath, absent: &dyn Fn(&str) -> bool) {
        if !name.is_empty() && !self.services.has(name) && !absent(name) {
            let accepted = self.services.accepted("service", name);
            self.add(path, "unknown service", &format!("{name:?}"), accepted);
        }
    }

    fn tenants(&mut self, set: &ConfigSet) {
        let list = root("tenants");
        for (at, tenant) in set.tenants.iter().enumerate() {
            self.home(&tenant.home_regions, &list.item(at).field("home_regions"));
        }
    }

    fn home(&mut self, regions: &[String], path: &FieldPath) {
        self.once(regions, path);
        for (at, name) in regions.iter().enumerate() {
            if !name.is_empty() && !self.regions.has(name) {
                let accepted = self.regions.accepted("region", name);
                let found = format!("{name:?}");
                self.add(path.item(at), "unknown region", &found, accepted);
            }
        }
    }

    fn once(&mut self, values: &[String], list: &FieldPath) {
        let mut uses = FirstUse::new();
        for (at, value) in values
            .iter()
            .enumerate()
            .filter(|(_, value)| !value.is_empty())
        {
            let path = list.item(at);
            if let Some(first) = uses.earlier(value.as_str(), &path) {
                self.duplicate(path, value, first);
            }
        }
    }
}

// An empty list stands for all methods.
fn overlap(a: &Route, b: &Route) -> bool {
    a.methods.is_empty()
        || b.methods.is_empty()
        || a.methods.iter().any(|method| b.methods.contains(method))
}

fn root(field: &str) -> FieldPath {
    FieldPath::default().field(field)
}
