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
use crate::former::MAX_FORMER_SETS;
use crate::path::FieldLocation;
use crate::path::POLICY;
use crate::rules;
use crate::rules::FieldRules;
use crate::rules::MessageRules;

/// Returns the fields of a set whose value is missing or not accepted.
///
/// Messages are destructured field by field, so that a field added to the schema
/// does not compile until it is checked here. Iterating over the descriptors
/// instead would take nine tenths of the time of acceptance.
pub(crate) fn check_fields(set: &ConfigSet) -> Vec<SetFault> {
    let ConfigSet {
        regions,
        failure_domains,
        services,
        routes,
        tenants,
        policy,
    } = set;
    let mut checker = FieldChecker { faults: Vec::new() };
    let rules = rules::of("radishgauge.config.v1.Region");
    for (index, Region { name }) in regions.iter().enumerate() {
        checker.check_text(rules, FieldLocation::new("regions", index, "name"), name);
    }
    let rules = rules::of("radishgauge.config.v1.FailureDomain");
    for (index, domain) in failure_domains.iter().enumerate() {
        let FailureDomain {
            name,
            region,
            state,
        } = domain;
        let location = FieldLocation::new("failure_domains", index, "name");
        checker.check_text(rules, location, name);
        checker.check_text(rules, location.field("region"), region);
        checker.check_enum(rules, location.field("state"), *state);
    }
    let rules = rules::of("radishgauge.config.v1.Service");
    for (index, service) in services.iter().enumerate() {
        let Service {
            name,
            slots,
            connections,
            cold_start_slots,
            targets,
            owner_epoch,
            former_targets,
        } = service;
        let location = FieldLocation::new("services", index, "name");
        checker.check_text(rules, location, name);
        checker.check_number(rules, location.field("slots"), u64::from(*slots));
        checker.check_number(
            rules,
            location.field("connections"),
            u64::from(*connections),
        );
        let cold = u64::from(*cold_start_slots);
        checker.check_number(rules, location.field("cold_start_slots"), cold);
        checker.check_number(rules, location.field("owner_epoch"), *owner_epoch);
        checker.check_targets(location.field("targets"), targets);
        checker.check_former_targets(location.field("former_targets"), former_targets);
    }
    let rules = rules::of("radishgauge.config.v1.Route");
    for (index, route) in routes.iter().enumerate() {
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
        let location = FieldLocation::new("routes", index, "name");
        checker.check_text(rules, location, name);
        checker.check_text(rules, location.field("path_prefix"), path_prefix);
        checker.check_texts(rules, location.field("methods"), methods);
        checker.check_text(rules, location.field("service"), service);
        checker.check_enum(rules, location.field("criticality"), *criticality);
        checker.check_number(rules, location.field("timeout_ms"), *timeout_ms);
        checker.check_texts(rules, location.field("home_regions"), home_regions);
        checker.check_texts(rules, location.field("calls"), calls);
    }
    let rules = rules::of("radishgauge.config.v1.Tenant");
    for (index, Tenant { name, home_regions }) in tenants.iter().enumerate() {
        let location = FieldLocation::new("tenants", index, "name");
        checker.check_text(rules, location, name);
        checker.check_texts(rules, location.field("home_regions"), home_regions);
    }
    if let Some(policy) = policy {
        checker.check_policy(policy);
    }
    checker.faults
}

struct FieldChecker {
    faults: Vec<SetFault>,
}

impl FieldChecker {
    fn check_targets(&mut self, list: FieldLocation, targets: &[Target]) {
        let rules = rules::of("radishgauge.config.v1.Target");
        for (index, target) in targets.iter().enumerate() {
            let Target {
                host,
                address,
                daemon,
                failure_domain,
            } = target;
            let location = list.item(index);
            self.check_text(rules, location.field("host"), host);
            self.check_text(rules, location.field("address"), address);
            self.check_text(rules, location.field("daemon"), daemon);
            self.check_text(rules, location.field("failure_domain"), failure_domain);
        }
    }

    fn check_former_targets(&mut self, list: FieldLocation, former: &[FormerTargets]) {
        // One additional entry contains the merged older sets.
        if former.len() > MAX_FORMER_SETS + 1 {
            self.faults.push(SetFault {
                path: list.path(),
                problem: "too many former sets of targets".to_owned(),
                found: former.len().to_string(),
                accepted: format!("up to {}", MAX_FORMER_SETS + 1),
                other: None,
            });
        }
        let rules = rules::of("radishgauge.config.v1.FormerTargets");
        let target_rules = rules::of("radishgauge.config.v1.FormerTarget");
        for (index, entry) in former.iter().enumerate() {
            let FormerTargets {
                owner_epoch: _,
                targets,
                left_at,
                merged: _,
            } = entry;
            let location = list.item(index);
            self.check_number(rules, location.field("left_at"), *left_at);
            let location = location.field("targets");
            for (inner, FormerTarget { host, region }) in targets.iter().enumerate() {
                for (name, text) in [("host", host), ("region", region)] {
                    let field = target_rules.field(name).expect("the schema has the field");
                    if let Some((problem, found)) = text_fault(field, text) {
                        let path = location.path().item(inner).field(name);
                        self.add_fault_at(field, path, problem, found);
                    }
                }
            }
        }
    }

    fn check_policy(&mut self, policy: &FleetPolicy) {
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
            self.check_number(rules, FieldLocation::new(POLICY, 0, field), number);
        }
    }

    fn check_text(&mut self, rules: &MessageRules, location: FieldLocation, text: &str) {
        let field = field_rules(rules, location);
        if let Some((problem, found)) = text_fault(field, text) {
            self.add_fault(field, location, problem, found);
        }
    }

    fn check_texts(&mut self, rules: &MessageRules, list: FieldLocation, texts: &[String]) {
        let field = field_rules(rules, list);
        for (index, text) in texts.iter().enumerate() {
            if !field.accepts_text(text) {
                self.add_fault(field, list.item(index), NOT_ACCEPTED, format!("{text:?}"));
            }
        }
    }

    fn check_number(&mut self, rules: &MessageRules, location: FieldLocation, number: u64) {
        let field = field_rules(rules, location);
        if !field.accepts_number(number) {
            self.add_fault(field, location, NOT_ACCEPTED, number.to_string());
        }
    }

    // The number 0 means that the value is absent and has its default.
    fn check_enum(&mut self, rules: &MessageRules, location: FieldLocation, number: i32) {
        let field = field_rules(rules, location);
        if number != 0 && !field.accepts_enum(number) {
            self.add_fault(field, location, NOT_ACCEPTED, number.to_string());
        }
    }

    fn add_fault(
        &mut self,
        field: &FieldRules,
        location: FieldLocation,
        problem: &str,
        found: String,
    ) {
        self.add_fault_at(field, location.path(), problem, found);
    }

    fn add_fault_at(&mut self, field: &FieldRules, path: FieldPath, problem: &str, found: String) {
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
const NOT_ACCEPTED: &str = "value not accepted";

/// Returns the problem and the value found when a text violates the rule of its
/// field. An absent text is empty, which is accepted unless the field is required.
fn text_fault(field: &FieldRules, text: &str) -> Option<(&'static str, String)> {
    if text.is_empty() {
        let missing = ("required field missing", String::new());
        return field.rule.required.then_some(missing);
    }
    (!field.accepts_text(text)).then(|| (NOT_ACCEPTED, format!("{text:?}")))
}

fn field_rules(rules: &MessageRules, location: FieldLocation) -> &FieldRules {
    rules
        .field(location.name())
        .expect("the schema has the field")
}
