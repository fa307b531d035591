//! Lists the fields of files with their accepted values, for reference pages.

use smol_str::SmolStr;

use crate::rules;
use crate::rules::FieldKind;
use crate::rules::FieldRules;

/// One kind of mapping in a file, which corresponds to a message of the schema.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageReference {
    /// The full name of the message, including its package.
    pub message: String,
    /// The path of the mapping in a file, such as `services[].targets[]`; empty
    /// for the file itself.
    pub path: String,
    /// The fields of the mapping, in the order of the schema.
    pub fields: Vec<FieldReference>,
}

/// One field of a mapping, with the rule that applies to its values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldReference {
    /// The name of the field in YAML.
    pub name: SmolStr,
    /// Whether the field must be present.
    pub required: bool,
    /// Whether the values of this field must be unique within their list.
    pub unique: bool,
    /// The accepted values, as shown in faults.
    pub accepted: String,
    /// The value of an absent field; empty when the field has no default.
    pub default: String,
    /// The reason for the default.
    pub reason: String,
}

/// Returns the mappings of a settings file.
pub fn settings_reference() -> Vec<MessageReference> {
    let mut messages = Vec::new();
    collect(rules::DAEMON_SETTINGS, String::new(), &mut messages);
    messages
}

/// Returns the mappings of a set of configuration files.
///
/// # Examples
///
/// ```
/// let messages = radishgauge_config::reference::configuration_reference();
/// let service = messages.iter().find(|message| message.path == "services[]").unwrap();
/// let slots = service.fields.iter().find(|field| field.name == "slots").unwrap();
/// assert_eq!(slots.accepted, "1 to 10000 requests per worker");
/// assert_eq!(slots.default, "20");
/// ```
pub fn configuration_reference() -> Vec<MessageReference> {
    let mut messages = Vec::new();
    collect(rules::CONFIG_SET, String::new(), &mut messages);
    messages
}

fn collect(name: &str, path: String, messages: &mut Vec<MessageReference>) {
    let fields = &rules::of(name).fields;
    messages.push(MessageReference {
        message: name.to_owned(),
        path: path.clone(),
        fields: fields.iter().map(field_reference).collect(),
    });
    for field in fields {
        if let FieldKind::Message(inner) = &field.kind {
            let dot = if path.is_empty() { "" } else { "." };
            let list = if field.list { "[]" } else { "" };
            collect(inner, format!("{path}{dot}{}{list}", field.name), messages);
        }
    }
}

fn field_reference(field: &FieldRules) -> FieldReference {
    let accepted = match (&field.kind, field.list) {
        (FieldKind::Message(_), true) => "a list of mappings".to_owned(),
        (FieldKind::Message(_), false) => "a mapping".to_owned(),
        (_, true) => format!("a list, each element {}", field.accepted()),
        (_, false) => field.accepted(),
    };
    FieldReference {
        name: field.name.clone(),
        required: field.rule.required,
        unique: field.rule.unique,
        accepted,
        default: field.rule.default.clone(),
        reason: field.rule.reason.clone(),
    }
}
