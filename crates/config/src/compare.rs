//! Compares two sets and reports differences by the field names of the files.
//!
//! A valid version can still be harmful, such as one packed without the file that
//! lists the targets. Acceptance must not depend on earlier versions, so the
//! limit on removed targets is computed here and applied when an operator checks
//! or packs a set.

use std::fmt;
use std::fmt::Display;

use indexmap::IndexMap;
use indexmap::IndexSet;
use prost_reflect::DynamicMessage;
use prost_reflect::Value;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::Service;
use serde::Serialize;
use smol_str::SmolStr;

use crate::model::PolicyModel;
use crate::rules;
use crate::rules::FieldKind;
use crate::rules::FieldRules;
use crate::rules::MessageRules;

/// How an entry or a field differs between two sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The entry is only in the newer set.
    Added,
    /// The entry is only in the older set.
    Removed,
    /// The entry is in both sets and one of its fields differs.
    Changed,
}

impl ChangeKind {
    /// Returns `+` for an added, `-` for a removed and `~` for a changed value.
    pub fn sign(self) -> char {
        match self {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        }
    }
}

/// One difference between two sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SetChange {
    /// Whether the entry was added, removed or changed.
    pub kind: ChangeKind,
    /// The kind of the entry, such as `service` or `target`.
    pub entry: String,
    /// The name of the entry, for a target `SERVICE/HOST`.
    pub name: SmolStr,
    /// The name of the changed field; empty for added and removed entries.
    pub field: SmolStr,
    /// The value in the older set.
    pub before: String,
    /// The value in the newer set.
    pub after: String,
}

/// A service that loses more targets than the policy allows in one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TargetDrop {
    /// The name of the service.
    pub service: SmolStr,
    /// The number of targets in the older set.
    pub before: usize,
    /// The number of targets of the older set that are not in the newer one.
    pub removed: usize,
    /// The percentage of targets that one change may remove.
    pub limit_percent: u32,
}

impl Display for TargetDrop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TargetDrop {
            service,
            before,
            removed,
            limit_percent,
        } = self;
        write!(
            f,
            "service {service}: too many targets removed at once; found: {removed} of {before}; \
             accepted: up to {limit_percent} percent, by policy.max_target_drop_percent of the \
             newer set"
        )
    }
}

/// The differences between two sets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct SetDiff {
    /// All differences, by kind of entry and name.
    pub changes: Vec<SetChange>,
    /// The services that lose more targets than the policy allows.
    pub drops: Vec<TargetDrop>,
}

impl SetDiff {
    /// Returns whether the sets are equivalent.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Compares two sets.
///
/// The order of entries and of names in lists is not significant and is ignored.
///
/// # Examples
///
/// ```
/// use radishgauge_config::compare;
/// use radishgauge_schema::config::ConfigSet;
/// use radishgauge_schema::config::Region;
///
/// let region = Region { name: "addis".to_owned() };
/// let newer = ConfigSet { regions: vec![region], ..ConfigSet::default() };
/// let diff = compare(&ConfigSet::default(), &newer);
/// assert_eq!(diff.changes[0].entry, "region");
/// assert_eq!(diff.changes[0].name, "addis");
/// ```
pub fn compare(old: &ConfigSet, new: &ConfigSet) -> SetDiff {
    let mut changes = Vec::new();
    let rules = rules::of(rules::CONFIG_SET);
    let (before, after) = (to_dynamic(rules, old), to_dynamic(rules, new));
    for field in &rules.fields {
        let (before, after) = (
            before.get_field(&field.descriptor),
            after.get_field(&field.descriptor),
        );
        match (&field.kind, before.as_ref(), after.as_ref()) {
            (FieldKind::Message(name), Value::List(before), Value::List(after)) => {
                compare_lists(
                    rules::of(name),
                    entry_label(field),
                    "",
                    before,
                    after,
                    &mut changes,
                );
            }
            (FieldKind::Message(name), Value::Message(before), Value::Message(after)) => {
                let label = entry_label(field);
                compare_fields(rules::of(name), label, "", before, after, &mut changes);
            }
            _ => {}
        }
    }
    SetDiff {
        changes,
        drops: target_drops(old, new),
    }
}

// Applies the limit of the newer set, so that an operator can raise it in the
// same change that intentionally removes many targets.
fn target_drops(old: &ConfigSet, new: &ConfigSet) -> Vec<TargetDrop> {
    let policy = new.policy.as_ref();
    let limit_percent = policy.map_or(PolicyModel::default().max_target_drop_percent, |policy| {
        policy.max_target_drop_percent
    });
    let services: IndexMap<&str, &Service> = new
        .services
        .iter()
        .map(|service| (service.name.as_str(), service))
        .collect();
    let mut drops = Vec::new();
    for service in &old.services {
        let remaining: IndexSet<&str> = services
            .get(service.name.as_str())
            .into_iter()
            .flat_map(|service| &service.targets)
            .map(|target| target.host.as_str())
            .collect();
        let hosts = service.targets.iter().map(|target| target.host.as_str());
        let removed = hosts.filter(|host| !remaining.contains(host)).count();
        let before = service.targets.len();
        if removed * 100 > before * limit_percent as usize {
            drops.push(TargetDrop {
                service: SmolStr::new(&service.name),
                before,
                removed,
                limit_percent,
            });
        }
    }
    drops.sort_by(|a, b| a.service.cmp(&b.service));
    drops
}

fn to_dynamic(rules: &MessageRules, set: &ConfigSet) -> DynamicMessage {
    // A set without a policy has the default policy.
    let policy = set
        .policy
        .unwrap_or_else(|| PolicyModel::default().to_message());
    let set = ConfigSet {
        policy: Some(policy),
        ..set.clone()
    };
    let mut message = DynamicMessage::new(rules.descriptor.clone());
    message
        .transcode_from(&set)
        .expect("a set matches its own descriptor");
    message
}

fn entry_label(field: &FieldRules) -> &'static str {
    match field.name.as_str() {
        "regions" => "region",
        "failure_domains" => "failure domain",
        "services" => "service",
        "targets" => "target",
        "routes" => "route",
        "tenants" => "tenant",
        _ => "policy",
    }
}

// Returns the value of the entry's unique field.
fn entry_name(rules: &MessageRules, entry: &DynamicMessage) -> SmolStr {
    let unique = rules.fields.iter().find(|field| field.rule.unique);
    unique.map_or_else(SmolStr::default, |field| {
        let value = entry.get_field(&field.descriptor);
        SmolStr::new(value.as_str().unwrap_or_default())
    })
}

fn compare_lists(
    rules: &MessageRules,
    label: &str,
    prefix: &str,
    before: &[Value],
    after: &[Value],
    changes: &mut Vec<SetChange>,
) {
    let by_name = |values: &[Value]| -> IndexMap<SmolStr, DynamicMessage> {
        let entries = values.iter().filter_map(Value::as_message);
        entries
            .map(|entry| (entry_name(rules, entry), entry.clone()))
            .collect()
    };
    let (before, after) = (by_name(before), by_name(after));
    let mut names: Vec<&SmolStr> = before.keys().chain(after.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let full_name = smol_str::format_smolstr!("{prefix}{name}");
        let entry_change = |kind, before: String, after: String| SetChange {
            kind,
            entry: label.to_owned(),
            name: full_name.clone(),
            field: SmolStr::default(),
            before,
            after,
        };
        match (before.get(name), after.get(name)) {
            (Some(before), Some(after)) => {
                compare_fields(rules, label, &full_name, before, after, changes);
            }
            (Some(before), None) => {
                let before = summary(rules, before);
                changes.push(entry_change(ChangeKind::Removed, before, String::new()));
            }
            (None, Some(after)) => {
                let after = summary(rules, after);
                changes.push(entry_change(ChangeKind::Added, String::new(), after));
            }
            (None, None) => {}
        }
    }
}

fn compare_fields(
    rules: &MessageRules,
    label: &str,
    name: &str,
    before: &DynamicMessage,
    after: &DynamicMessage,
    changes: &mut Vec<SetChange>,
) {
    for field in &rules.fields {
        let (before, after) = (
            before.get_field(&field.descriptor),
            after.get_field(&field.descriptor),
        );
        if let (FieldKind::Message(inner), Value::List(before), Value::List(after)) =
            (&field.kind, before.as_ref(), after.as_ref())
        {
            let prefix = format!("{name}/");
            let label = entry_label(field);
            compare_lists(rules::of(inner), label, &prefix, before, after, changes);
            continue;
        }
        let (before, after) = (display_value(field, &before), display_value(field, &after));
        if before != after {
            changes.push(SetChange {
                kind: ChangeKind::Changed,
                entry: label.to_owned(),
                name: SmolStr::new(name),
                field: field.name.clone(),
                before,
                after,
            });
        }
    }
}

/// Returns a value as it is written in YAML, with lists sorted.
fn display_value(field: &FieldRules, value: &Value) -> String {
    match value {
        Value::List(values) => {
            let mut texts: Vec<String> = values
                .iter()
                .map(|value| display_value(field, value))
                .collect();
            texts.sort_unstable();
            format!("[{}]", texts.join(", "))
        }
        Value::String(text) => text.clone(),
        Value::Bool(flag) => flag.to_string(),
        Value::U32(number) => number.to_string(),
        Value::U64(number) => number.to_string(),
        Value::EnumNumber(number) => match &field.kind {
            FieldKind::Enum(names) => names
                .iter()
                .find(|(_, known)| known == number)
                .map_or_else(|| field.rule.default.clone(), |(name, _)| name.to_string()),
            _ => number.to_string(),
        },
        _ => String::new(),
    }
}

/// Returns the fields of an added or removed entry in one line of text.
fn summary(rules: &MessageRules, entry: &DynamicMessage) -> String {
    let fields = rules.fields.iter().filter(|field| !field.rule.unique);
    let fields = fields.filter_map(|field| {
        let value = entry.get_field(&field.descriptor);
        let text = match (&field.kind, value.as_ref()) {
            (_, Value::List(values)) if values.is_empty() => return None,
            (FieldKind::Message(_), Value::List(values)) => values.len().to_string(),
            (_, value) => display_value(field, value),
        };
        Some(format!("{}: {text}", field.name))
    });
    fields.collect::<Vec<String>>().join(", ")
}
