//! Reads a YAML file into a message of the schema and collects its faults.

use std::path::Path;

use prost_reflect::DynamicMessage;
use prost_reflect::Value;

use crate::Fault;
use crate::FieldPath;
use crate::reference_check::nearest;
use crate::rules;
use crate::rules::FieldKind;
use crate::rules::FieldRules;
use crate::rules::MessageRules;
use crate::tree;
use crate::tree::Node;
use crate::tree::SourceSpan;
use crate::tree::YamlValue;

/// The name and the lines of a file, for the positions and source lines of faults.
pub(crate) struct SourceFile {
    name: String,
    lines: Vec<String>,
}

impl SourceFile {
    /// Reads a file as text.
    pub(crate) fn open(path: &Path) -> Result<(SourceFile, String), Box<Fault>> {
        let name = path.display().to_string();
        let bytes = std::fs::read(path).map_err(|error| {
            fault_without_position(
                &name,
                &format!("cannot be read: {error}"),
                "a readable file",
            )
        })?;
        let text = String::from_utf8(bytes).map_err(|error| {
            let index = error.utf8_error().valid_up_to();
            let problem = format!("invalid UTF-8 at byte {index}");
            Box::new(fault_without_position(&name, &problem, "a text in UTF-8"))
        })?;
        let lines = text.lines().map(str::to_owned).collect();
        Ok((SourceFile { name, lines }, text))
    }

    /// Returns a position as `FILE:LINE:COLUMN`.
    pub(crate) fn position(&self, span: SourceSpan) -> String {
        format!("{}:{}:{}", self.name, span.line, span.column)
    }

    /// Returns a fault at a position of this file.
    pub(crate) fn fault(
        &self,
        span: SourceSpan,
        field: String,
        problem: &str,
        found: String,
        accepted: String,
    ) -> Fault {
        let source = span
            .line
            .checked_sub(1)
            .and_then(|index| self.lines.get(index));
        Fault {
            file: self.name.clone(),
            line: span.line,
            column: span.column,
            width: span.width,
            field,
            problem: problem.to_owned(),
            found,
            accepted,
            other: None,
            source: source.cloned().unwrap_or_default(),
        }
    }

    // A number is shown as the operator wrote it, not as it was parsed.
    fn found(&self, node: &Node) -> String {
        let plain = matches!(
            node.value,
            YamlValue::Unsigned(_) | YamlValue::Negative(_) | YamlValue::Float(_)
        );
        let line = node
            .span
            .line
            .checked_sub(1)
            .and_then(|index| self.lines.get(index));
        match line {
            Some(line) if plain && node.span.width > 0 => {
                let start = node.span.column - 1;
                line.chars().skip(start).take(node.span.width).collect()
            }
            _ => node.to_string(),
        }
    }
}

/// Returns a fault that concerns a whole file and has no position in it.
pub(crate) fn fault_without_position(name: &str, problem: &str, accepted: &str) -> Fault {
    Fault {
        file: name.to_owned(),
        line: 0,
        column: 0,
        width: 0,
        field: String::new(),
        problem: problem.to_owned(),
        found: String::new(),
        accepted: accepted.to_owned(),
        other: None,
        source: String::new(),
    }
}

/// A parsed file with the message that it contains.
pub(crate) struct ReadFile {
    pub(crate) source: SourceFile,
    pub(crate) tree: Node,
    pub(crate) message: DynamicMessage,
}

/// Reads a file and appends its faults to `faults`.
///
/// Returns `None` when the file cannot be read or parsed. Otherwise the message
/// contains every usable value, and each list has as many elements as in the file,
/// so that later checks find further faults and their positions.
pub(crate) fn read_file(path: &Path, message: &str, faults: &mut Vec<Fault>) -> Option<ReadFile> {
    let (source, text) = match SourceFile::open(path) {
        Ok(opened) => opened,
        Err(fault) => {
            faults.push(*fault);
            return None;
        }
    };
    let tree = match tree::parse(&text) {
        Ok(tree) => tree,
        Err(error) => {
            let problem = format!("invalid YAML: {}", error.reason);
            let accepted = "one YAML document".to_owned();
            let field = String::new();
            faults.push(source.fault(error.span, field, &problem, String::new(), accepted));
            return None;
        }
    };
    let mut reader = MessageReader {
        source: &source,
        faults,
    };
    let message = reader.read_message(&tree, rules::of(message), &FieldPath::default());
    Some(ReadFile {
        source,
        tree,
        message,
    })
}

struct MessageReader<'r> {
    source: &'r SourceFile,
    faults: &'r mut Vec<Fault>,
}

impl MessageReader<'_> {
    fn add_fault(
        &mut self,
        span: SourceSpan,
        path: &FieldPath,
        problem: &str,
        found: String,
        accepted: String,
    ) {
        let fault = self
            .source
            .fault(span, path.to_string(), problem, found, accepted);
        self.faults.push(fault);
    }

    fn read_message(
        &mut self,
        node: &Node,
        rules: &MessageRules,
        path: &FieldPath,
    ) -> DynamicMessage {
        let mut message = DynamicMessage::new(rules.descriptor.clone());
        let entries = match &node.value {
            YamlValue::Map(entries) => entries.as_slice(),
            YamlValue::Null => &[],
            _ => {
                let accepted = format!("a mapping with {}", field_names(rules).join(", "));
                self.add_fault(
                    node.span,
                    path,
                    "wrong type",
                    self.source.found(node),
                    accepted,
                );
                return message;
            }
        };
        for (index, (key, value)) in entries.iter().enumerate() {
            let path = path.field(&key.name);
            let first = entries[..index]
                .iter()
                .find(|(other, _)| other.name == key.name);
            if let Some((first, _)) = first {
                let problem = "duplicate field";
                let found = key.name.clone();
                let accepted = "each field once".to_owned();
                self.add_fault(key.span, &path, problem, found, accepted);
                let other = self.source.position(first.span);
                if let Some(fault) = self.faults.last_mut() {
                    fault.other = Some(other);
                }
            } else if let Some(field) = rules.field(&key.name) {
                // An unusable value is replaced by the default, so that later checks
                // report no faults that result from this one.
                let value = self.read_field(value, field, &path);
                if let Some(value) = value.or_else(|| default_value(field)) {
                    message.set_field(&field.descriptor, value);
                }
            } else {
                let field_names = field_names(rules);
                let near = nearest(&key.name, field_names.iter().copied());
                let accepted = match near {
                    Some(near) if field_names.len() > 1 => {
                        format!(
                            "{near} (the nearest), or {}",
                            other_names(&field_names, near)
                        )
                    }
                    _ => rules::one_of(&field_names),
                };
                self.add_fault(key.span, &path, "unknown field", key.name.clone(), accepted);
            }
        }
        for field in &rules.fields {
            if node
                .get(&field.name)
                .is_some_and(|node| !self.is_absent(node, field))
            {
                continue;
            }
            if field.rule.required {
                let path = path.field(&field.name);
                let problem = "required field missing";
                self.add_fault(node.span, &path, problem, String::new(), field.accepted());
            } else if let Some(value) = default_value(field) {
                message.set_field(&field.descriptor, value);
            }
        }
        message
    }

    // A list or mapping whose entries are all commented out counts as absent.
    fn is_absent(&self, node: &Node, field: &FieldRules) -> bool {
        let container = field.list || matches!(field.kind, FieldKind::Message(_));
        container && matches!(node.value, YamlValue::Null)
    }

    fn read_field(&mut self, node: &Node, field: &FieldRules, path: &FieldPath) -> Option<Value> {
        if self.is_absent(node, field) {
            return None;
        }
        if !field.list {
            return self.read_value(node, field, path);
        }
        let YamlValue::List(nodes) = &node.value else {
            let accepted = format!("a list, each element {}", field.accepted());
            self.add_fault(
                node.span,
                path,
                "wrong type",
                self.source.found(node),
                accepted,
            );
            return None;
        };
        let values = nodes.iter().enumerate().map(|(index, node)| {
            let value = self.read_value(node, field, &path.item(index));
            value.unwrap_or_else(|| Value::default_value(&field.descriptor.kind()))
        });
        Some(Value::List(values.collect()))
    }

    fn read_value(&mut self, node: &Node, field: &FieldRules, path: &FieldPath) -> Option<Value> {
        let (value, accepted) = match (&field.kind, &node.value) {
            (FieldKind::Message(name), _) => {
                let rules = rules::of(name);
                return Some(Value::Message(self.read_message(node, rules, path)));
            }
            (FieldKind::Bool, YamlValue::Bool(flag)) => (Value::Bool(*flag), true),
            (FieldKind::Text, YamlValue::Text(text)) => {
                (Value::String(text.clone()), field.accepts_text(text))
            }
            (FieldKind::Number { bits }, YamlValue::Unsigned(number)) => {
                let accepted = field.accepts_number(*number);
                let value = match u32::try_from(*number) {
                    Ok(number) if *bits == 32 => Value::U32(number),
                    Err(_) if *bits == 32 => Value::U32(u32::MAX),
                    _ => Value::U64(*number),
                };
                (value, accepted)
            }
            (FieldKind::Enum(names), YamlValue::Text(text)) => {
                let number = names.iter().find(|(name, _)| name == text);
                let accepted = number.is_some();
                let number = number.map_or(0, |(_, number)| *number);
                (Value::EnumNumber(number), accepted)
            }
            (FieldKind::Number { .. }, YamlValue::Negative(_) | YamlValue::Float(_)) => {
                self.add_value_fault(node, field, path, "value not accepted");
                return None;
            }
            (
                FieldKind::Text,
                YamlValue::Unsigned(_) | YamlValue::Float(_) | YamlValue::Bool(_),
            ) => {
                let accepted = format!(
                    "{}; a number or flag is written in quotes",
                    field.accepted()
                );
                self.add_fault(
                    node.span,
                    path,
                    "wrong type",
                    self.source.found(node),
                    accepted,
                );
                return None;
            }
            _ => {
                self.add_value_fault(node, field, path, "wrong type");
                return None;
            }
        };
        if !accepted {
            self.add_value_fault(node, field, path, "value not accepted");
        }
        Some(value)
    }

    fn add_value_fault(
        &mut self,
        node: &Node,
        field: &FieldRules,
        path: &FieldPath,
        problem: &str,
    ) {
        let found = self.source.found(node);
        self.add_fault(node.span, path, problem, found, field.accepted());
    }
}

fn field_names(rules: &MessageRules) -> Vec<&str> {
    rules
        .fields
        .iter()
        .map(|field| field.name.as_str())
        .collect()
}

fn other_names(field_names: &[&str], near: &str) -> String {
    let field_names: Vec<&str> = field_names
        .iter()
        .copied()
        .filter(|name| *name != near)
        .collect();
    rules::one_of(&field_names)
}

/// Returns the default of an absent field, or `None` if the field has no default.
fn default_value(field: &FieldRules) -> Option<Value> {
    let text = field.rule.default.as_str();
    match &field.kind {
        FieldKind::Message(_) if field.list => None,
        FieldKind::Message(name) => Some(Value::Message(default_message(rules::of(name)))),
        _ if text.is_empty() => None,
        FieldKind::Bool => text.parse().ok().map(Value::Bool),
        FieldKind::Number { bits: 32 } => text.parse().ok().map(Value::U32),
        FieldKind::Number { .. } => text.parse().ok().map(Value::U64),
        FieldKind::Text => Some(Value::String(text.to_owned())),
        FieldKind::Enum(names) => names
            .iter()
            .find(|(name, _)| name == text)
            .map(|(_, number)| Value::EnumNumber(*number)),
    }
}

fn default_message(rules: &MessageRules) -> DynamicMessage {
    let mut message = DynamicMessage::new(rules.descriptor.clone());
    for field in &rules.fields {
        if let Some(value) = default_value(field) {
            message.set_field(&field.descriptor, value);
        }
    }
    message
}
