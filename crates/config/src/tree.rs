//! Parses YAML files into trees of values with their positions.
//!
//! `serde-saphyr` stops at the first value that does not fit a Rust type, so
//! deserialization into a derived type could report at most one fault per file.
//! This module parses a file into a generic tree, in which [`Spanned`] provides the
//! position of every key and value, and the tree is then compared with the schema.
//! This way no second YAML library is needed for the positions.

use std::fmt;
use std::fmt::Display;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::DuplicateKeyPolicy;
use serde_saphyr::Error;
use serde_saphyr::Location;
use serde_saphyr::Spanned;

/// A position in a file; lines and columns are counted from 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SourceSpan {
    pub(crate) line: usize,
    pub(crate) column: usize,
    /// The length in characters, or 0 when unknown.
    pub(crate) width: usize,
}

impl From<Location> for SourceSpan {
    fn from(location: Location) -> SourceSpan {
        SourceSpan {
            line: location.line() as usize,
            column: location.column() as usize,
            width: location.span().len() as usize,
        }
    }
}

/// A YAML value with its position.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) span: SourceSpan,
    pub(crate) value: YamlValue,
}

/// A YAML value without its position.
#[derive(Debug, Clone)]
pub(crate) enum YamlValue {
    Null,
    Bool(bool),
    Unsigned(u64),
    Negative(i64),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(Key, Node)>),
}

/// A key of a mapping, with its position.
#[derive(Debug, Clone)]
pub(crate) struct Key {
    pub(crate) span: SourceSpan,
    pub(crate) name: String,
}

impl Node {
    /// Returns the value of a key, or `None` if this is not a mapping with the key.
    pub(crate) fn get(&self, name: &str) -> Option<&Node> {
        self.entry(name).map(|(_, node)| node)
    }

    /// Returns a key with its position, and its value.
    pub(crate) fn entry(&self, name: &str) -> Option<(&Key, &Node)> {
        match &self.value {
            YamlValue::Map(entries) => entries
                .iter()
                .find(|(key, _)| key.name == name)
                .map(|(key, node)| (key, node)),
            _ => None,
        }
    }

    /// Returns an element of this list.
    pub(crate) fn item(&self, at: usize) -> Option<&Node> {
        match &self.value {
            YamlValue::List(nodes) => nodes.get(at),
            _ => None,
        }
    }
}

impl Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            YamlValue::Null => f.write_str("nothing"),
            YamlValue::Bool(flag) => write!(f, "{flag}"),
            YamlValue::Unsigned(number) => write!(f, "{number}"),
            YamlValue::Negative(number) => write!(f, "{number}"),
            YamlValue::Float(number) => write!(f, "{number}"),
            YamlValue::Text(text) => write!(f, "{text:?}"),
            YamlValue::List(nodes) => write!(f, "a list of {}", nodes.len()),
            YamlValue::Map(entries) => {
                let names: Vec<&str> = entries.iter().map(|(key, _)| key.name.as_str()).collect();
                write!(f, "a mapping with {}", names.join(", "))
            }
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D>(deserializer: D) -> Result<Node, D::Error>
    where
        D: Deserializer<'de>,
    {
        let spanned = Spanned::<YamlValue>::deserialize(deserializer)?;
        Ok(Node {
            span: spanned.referenced.into(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for YamlValue {
    fn deserialize<D>(deserializer: D) -> Result<YamlValue, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(YamlValueVisitor)
    }
}

struct YamlValueVisitor;

impl<'de> Visitor<'de> for YamlValueVisitor {
    type Value = YamlValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_none<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_some<D>(self, deserializer: D) -> Result<YamlValue, D::Error>
    where
        D: Deserializer<'de>,
    {
        YamlValue::deserialize(deserializer)
    }

    fn visit_bool<E>(self, flag: bool) -> Result<YamlValue, E> {
        Ok(YamlValue::Bool(flag))
    }

    fn visit_u64<E>(self, number: u64) -> Result<YamlValue, E> {
        Ok(YamlValue::Unsigned(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<YamlValue, E> {
        Ok(u64::try_from(number).map_or(YamlValue::Negative(number), YamlValue::Unsigned))
    }

    fn visit_f64<E>(self, number: f64) -> Result<YamlValue, E> {
        Ok(YamlValue::Float(number))
    }

    fn visit_str<E>(self, text: &str) -> Result<YamlValue, E> {
        Ok(YamlValue::Text(text.to_owned()))
    }

    fn visit_string<E>(self, text: String) -> Result<YamlValue, E> {
        Ok(YamlValue::Text(text))
    }

    fn visit_seq<A>(self, mut access: A) -> Result<YamlValue, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut nodes = Vec::new();
        while let Some(node) = access.next_element()? {
            nodes.push(node);
        }
        Ok(YamlValue::List(nodes))
    }

    fn visit_map<A>(self, mut access: A) -> Result<YamlValue, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(key) = access.next_key::<Spanned<String>>()? {
            let span = key.referenced.into();
            let name = key.value;
            entries.push((Key { span, name }, access.next_value()?));
        }
        Ok(YamlValue::Map(entries))
    }
}

/// The error for a text that is not valid YAML.
#[derive(Debug)]
pub(crate) struct TreeError {
    pub(crate) span: SourceSpan,
    pub(crate) reason: String,
}

/// Parses a text that contains one YAML document.
pub(crate) fn parse(text: &str) -> Result<Node, TreeError> {
    let mut options = serde_saphyr::Options::default();
    options.duplicate_keys = DuplicateKeyPolicy::PassThrough;
    options.strict_booleans = true;
    options.null_as_string = true;
    options.emit_comments = false;
    options.with_snippet = false;
    // A configuration of the size that the design allows has several hundred
    // thousand nodes. The file comes from the operator and is trusted, so only the
    // nesting depth is limited.
    if let Some(budget) = &mut options.budget {
        budget.max_events = usize::MAX;
        budget.max_nodes = usize::MAX;
        budget.max_total_scalar_bytes = usize::MAX;
    }
    serde_saphyr::from_str_with_options(text, options).map_err(|error| {
        let span = error.location().map(SourceSpan::from).unwrap_or_default();
        let reason = match error.without_snippet() {
            Error::MultipleDocuments { .. } => "a second document".to_owned(),
            error => error.to_string(),
        };
        let end = reason.find(" at line ").unwrap_or(reason.len());
        TreeError {
            span,
            reason: reason[..end].to_owned(),
        }
    })
}
