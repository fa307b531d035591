//! Checks the range, form and presence of each field of a set.

use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::FailureDomain;
use radishgauge_schema::config::FleetPolicy;
use radishgauge_schema::config::FormerTarget;
use radishgauge_schema::config::FormerTargets;
use radishgauge_schema::config::Region;
use radishgauge_schema::config::Route;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::Target;
use radishgauge_schema::config::Tenant;

use crate::FieldPath;
use crate::SetFault;
use crate::former::FORMER_SETS;
use crate::path::POLICY;
use crate::path::Spot;
use crate::rules;
use crate::rules::FieldRules;
use crate::rules::MessageRules;

/// Returns the fields of a set whose value is missing or not accepted.
///
/// Messages are destructured field by field, so that a field added to the schema
/// does not compile until it is checked here. Iterating over the descriptors
/// instead would take nine tenths of the time of acceptance.
pub(crate) fn check_bounds(set: &ConfigSet) -> Vec<SetFault> {
    let ConfigSet {
        regions,
        failure_domains,
        services,
        routes,
        tenants,
        policy,
    } = set;
    let mut check = BoundCheck { faults: Vec::new() };
    let rules = rules::of("radishgauge.config.v1.Region");
    for (at, Region { name }) in regions.iter().enumerate() {
        check.text(rules, Spot::new("regions", at, "name"), name);
    }
    let rules = rules::of("radishgauge.config.v1.FailureDomain");
    for (at, domain) in failure_domains.iter().enumerate() {
        let FailureDomain {
            name,
            region,
            state,
        } = domain;
        let spot = Spot::new("failure_domains", at, "name");
        check.text(rules, spot, name);
        check.text(rules, spot.field("region"), region);
        check.choice(rules, spot.field("state"), *state);
    }
    let rules = rules::of("radishgauge.config.v1.Service");
    for (at, service) in services.iter().enumerate() {
        let Service {
            name,
            slots,
            connections,
            cold_start_slots,
            targets,
            owner_epoch,
            former_targets,
        } = service;
        let spot = Spot::new("services", at, "name");
        check.text(rules, spot, name);
        check.number(rules, spot.field("slots"), u64::from(*slots));
        check.number(rules, spot.field("connections"), u64::from(*connections));
        let cold = u64::from(*cold_start_slots);
        check.number(rules, spot.field("cold_start_slots"), cold);
        check.number(rules, spot.field("owner_epoch"), *owner_epoch);
        check.targets(spot.field("targets"), targets);
        check.former(spot.field("former_targets"), former_targets);
    }
    let rules = rules::of("radishgauge.config.v1.Route");
    for (at, route) in routes.iter().enumerate() {
        let Route {
            name,
            path_prefix,
            methods,
            service,
            criticality,
            repeatable: _,
            timeout_ms,
            home_regions,
            calls,
        } = route;
        let spot = Spot::new("routes", at, "name");
        check.text(rules, spot, name);
        check.text(rules, spot.field("path_prefix"), path_prefix);
        check.texts(rules, spot.field("methods"), methods);
        check.text(rules, spot.field("service"), service);
        check.choice(rules, spot.field("criticality"), *criticality);
        check.number(rules, spot.field("timeout_ms"), *timeout_ms);
        check.texts(rules, spot.field("home_regions"), home_regions);
        check.texts(rules, spot.field("calls"), calls);
    }
    let rules = rules::of("radishgauge.config.v1.Tenant");
    for (at, Tenant { name, home_regions }) in tenants.iter().enumerate() {
        let spot = Spot::new("tenants", at, "name");
        check.text(rules, spot, name);
        check.texts(rules, spot.field("home_regions"), home_regions);
    }
    if let Some(policy) = policy {
        check.policy(policy);
    }
    check.faults
}

struct BoundCheck {
    faults: Vec<SetFault>,
}

impl BoundCheck {
    fn targets(&mut self, list: Spot, targets: &[Target]) {
        let rules = rules::of("radishgauge.config.v1.Target");
        for (at, target) in targets.iter().enumerate() {
            let Target {
                host,
                address,
                daemon,
                failure_domain,
            } = target;
            let spot = list.item(at);
            self.text(rules, spot.field("host"), host);
            self.text(rules, spot.field("address"), address);
            self.text(rules, spot.field("daemon"), daemon);
            self.text(rules, spot.field("failure_domain"), failure_domain);
        }
    }

    fn former(&mut self, list: Spot, former: &[FormerTargets]) {
        // One additional entry contains the merged older sets.
        if former.len() > FORMER_SETS + 1 {
            self.faults.push(SetFault {
                path: list.path(),
                problem: "too many former sets of targets".to_owned(),
                found: former.len().to_string(),
                accepted: format!("up to {}", FORMER_SETS + 1),
                other: None,
            });
        }
        let rules = rules::of("radishgauge.config.v1.FormerTargets");
        let target_rules = rules::of("radishgauge.config.v1.FormerTarget");
        for (at, entry) in former.iter().enumerate() {
            let FormerTargets {
                owner_epoch: _,
                targets,
                left_at,
                merged: _,
            } = entry;
            let spot = list.item(at);
            self.number(rules, spot.field("left_at"), *left_at);
            let spot = spot.field("targets");
            for (inner, FormerTarget { host, region }) in targets.iter().enumerate() {
                for (name, text) in [("host", host), ("region", region)] {
                    let field = target_rules.field(name).expect("the schema has the field");
                    if let Some((problem, found)) = text_fault(field, text) {
                        let path = spot.path().item(inner).field(name);
                        self.add_at(field, path, problem, found);
                    }
                }
            }
        }
    }

    fn policy(&mut self, policy: &FleetPolicy) {
        let FleetPolicy {
            retry_percent,
            link_budget_kbit,
            repeat_window_s,
            max_domains_out,
            max_target_drop_percent,
            quarantine_s,
            ramp_step_ms,
        } = *policy;
        let rules = rules::of("radishgauge.config.v1.FleetPolicy");
        for (field, number) in [
            ("retry_percent", u64::from(retry_percent)),
            ("link_budget_kbit", link_budget_kbit),
            ("repeat_window_s", repeat_window_s),
            ("max_domains_out", u64::from(max_domains_out)),
            (
                "max_target_drop_percent",
                u64::from(max_target_drop_percent),
            ),
            ("quarantine_s", quarantine_s),
            ("ramp_step_ms", ramp_step_ms),
        ] {
            self.number(rules, Spot::new(POLICY, 0, field), number);
        }
    }

    fn text(&mut self, rules: &MessageRules, spot: Spot, text: &str) {
        let field = rules_of(rules, spot);
        if let Some((problem, found)) = text_fault(field, text) {
            self.add(field, spot, problem, found);
        }
    }

    fn texts(&mut self, rules: &MessageRules, list: Spot, texts: &[String]) {
        let field = rules_of(rules, list);
        for (at, text) in texts.iter().enumerate() {
            if !field.accepts_text(text) {
                self.add(field, list.item(at), REFUSED, format!("{text:?}"));
            }
        }
    }

    fn number(&mut self, rules: &MessageRules, spot: Spot, number: u64) {
        let field = rules_of(rules, spot);
        if !field.accepts_number(number) {
            self.add(field, spot, REFUSED, number.to_string());
        }
    }

    // The number 0 means that the value is absent and has its default.
    fn choice(&mut self, rules: &MessageRules, spot: Spot, number: i32) {
        let field = rules_of(rules, spot);
        if number != 0 && !field.accepts_choice(number) {
            self.add(field, spot, REFUSED, number.to_string());
        }
    }

    fn add(&mut self, field: &FieldRules, spot: Spot, problem: &str, found: String) {
        self.add_at(field, spot.path(), problem, found);
    }

    fn add_at(&mut self, field: &FieldRules, path: FieldPath, problem: &str, found: String) {
        self.faults.push(SetFault {
            path,
            problem: problem.to_owned(),
            found,
            accepted: field.accepted(),
            other: None,
        });
    }
}

/// The problem text for a value that violates the rule of its field.
const REFUSED: &str = "value not accepted";

/// Returns the problem and the value found when a text violates the rule of its
/// field. An absent text is empty, which is accepted unless the field is required.
fn text_fault(field: &FieldRules, text: &str) -> Option<(&'static str, String)> {
    if text.is_empty() {
        let missing = ("required field missing", String::new());
        return field.rule.required.then_some(missing);
    }
    (!field.accepts_text(text)).then(|| (REFUSED, format!("{text:?}")))
}

fn rules_of(rules: &MessageRules, spot: Spot) -> &FieldRules {
    rules.field(spot.name()).expect("the schema has the field")
}
