//! Checks that every field rule of the schema is applied to a set.

use std::path::Path;

use prost_reflect::DynamicMessage;
use prost_reflect::FieldDescriptor;
use prost_reflect::Kind;
use prost_reflect::ReflectMessage;
use prost_reflect::Value;
use radishgauge_config::check_set;
use radishgauge_config::load_set;
use radishgauge_config::with_former_targets;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::descriptors;
use radishgauge_schema::rules::FieldRule;

/// Returns values that the rule of a field must not accept.
fn unaccepted_values(field: &FieldDescriptor, rule: &FieldRule) -> Vec<Value> {
    let number = |number: u64| match field.kind() {
        Kind::Uint32 => u32::try_from(number).map(Value::U32).ok(),
        _ => Some(Value::U64(number)),
    };
    let mut values = Vec::new();
    match field.kind() {
        Kind::Uint32 | Kind::Uint64 => {
            let below = rule.min.and_then(|min| min.checked_sub(1));
            let above = rule.max.and_then(|max| max.checked_add(1));
            values.extend(below.into_iter().chain(above).filter_map(number));
        }
        Kind::Enum(_) => values.push(Value::EnumNumber(99)),
        Kind::String => {
            assert!(!rule.form.is_empty(), "{} has no form", field.full_name());
            values.push(Value::String("\u{1f} no form".to_owned()));
            if rule.required {
                values.push(Value::String(String::new()));
            }
        }
        _ => {}
    }
    if field.is_list() {
        values = values
            .into_iter()
            .map(|value| Value::List(vec![value]))
            .collect();
    }
    values
}

/// Checks copies of a set, each with one field set to a value that its rule must
/// not accept, and returns the number of copies.
fn check_each_field(
    message: &DynamicMessage,
    path: &str,
    rebuild: &dyn Fn(DynamicMessage) -> DynamicMessage,
) -> usize {
    let mut checked = 0;
    for field in message.descriptor().fields() {
        let rule = descriptors::rule(&field);
        let name = field.name();
        let dot = if path.is_empty() { "" } else { "." };
        match message.get_field(&field).as_ref() {
            Value::Message(inner) => {
                let path = format!("{path}{dot}{name}");
                checked += check_each_field(inner, &path, &|inner| {
                    let mut copy = message.clone();
                    copy.set_field(&field, Value::Message(inner));
                    rebuild(copy)
                });
            }
            Value::List(values) if matches!(field.kind(), Kind::Message(_)) => {
                let inner = values[0].as_message().unwrap();
                let path = format!("{path}{dot}{name}[0]");
                checked += check_each_field(inner, &path, &|inner| {
                    let mut values = values.clone();
                    values[0] = Value::Message(inner);
                    let mut copy = message.clone();
                    copy.set_field(&field, Value::List(values));
                    rebuild(copy)
                });
            }
            _ => {
                for value in unaccepted_values(&field, &rule) {
                    let mut copy = message.clone();
                    copy.set_field(&field, value);
                    let set = rebuild(copy).transcode_to::<ConfigSet>().unwrap();
                    let item = if field.is_list() { "[0]" } else { "" };
                    let path = format!("{path}{dot}{name}{item}");
                    let faults = check_set(&set).expect_err(&path);
                    let found = faults.iter().any(|fault| {
                        fault.path.to_string() == path
                            && (fault.problem == "value not accepted"
                                || fault.problem == "required field missing")
                    });
                    assert!(found, "{path}: {faults:?}");
                    checked += 1;
                }
            }
        }
    }
    checked
}

// Guards against a field rule of the schema that `check_set` does not apply.
#[test]
fn every_field_rule_is_applied() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/abay-etchcraft");
    let mut set = load_set(&dir).unwrap();
    let previous = set.clone();
    for service in &mut set.services {
        service.owner_epoch += 1;
    }
    let set = with_former_targets(&set, &previous, 2);
    let descriptor = descriptors::message("radishgauge.config.v1.ConfigSet").unwrap();
    let mut message = DynamicMessage::new(descriptor);
    message.transcode_from(&set).unwrap();
    let checked = check_each_field(&message, "", &|message| message);
    assert!(checked > 40, "{checked}");
}
