//! The rules that the schema defines for its fields, decoded for lookups.
//!
//! Reading a rule from a descriptor decodes an option each time. The rules apply
//! to every field of a fleet, both when files are checked and when a version is
//! accepted, so they are decoded once, together with the names that YAML files use.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::LazyLock;

use prost_reflect::FieldDescriptor;
use prost_reflect::Kind;
use prost_reflect::MessageDescriptor;
use radishgauge_schema::descriptors;
use radishgauge_schema::rules::FieldRule;
use smol_str::SmolStr;

/// The full name of the message that a set of files represents.
pub(crate) const CONFIG_SET: &str = "radishgauge.config.v1.ConfigSet";

/// The full name of the message that a settings file represents.
pub(crate) const DAEMON_SETTINGS: &str = "radishgauge.settings.v1.DaemonSettings";

/// The full name of the message that a packed part encodes.
pub(crate) const CONFIG_PART: &str = "radishgauge.config.v1.ConfigPart";

/// The maximum length of a name, in bytes; a host name is a label of a DNS name
/// in the daemon's certificate.
const NAME_MAX: usize = 63;

/// The HTTP methods that a route may list; CONNECT and TRACE cannot be routed.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

static RULES: LazyLock<HashMap<String, MessageRules>> = LazyLock::new(|| {
    let mut rules = HashMap::new();
    for root in [CONFIG_SET, DAEMON_SETTINGS, CONFIG_PART] {
        let message = descriptors::message(root).expect("the schema defines the message");
        collect(&message, &mut rules);
    }
    rules
});

fn collect(message: &MessageDescriptor, rules: &mut HashMap<String, MessageRules>) {
    if rules.contains_key(message.full_name()) {
        return;
    }
    let fields = message.fields().map(FieldRules::new);
    let fields = fields.filter(|field| !field.rule.derived).collect();
    let entry = MessageRules {
        descriptor: message.clone(),
        fields,
    };
    rules.insert(message.full_name().to_owned(), entry);
    for field in message.fields() {
        if let Kind::Message(inner) = field.kind() {
            collect(&inner, rules);
        }
    }
}

/// Returns the rules of the message with this full name.
///
/// # Panics
///
/// When the message is not part of a settings file, a set or a part.
pub(crate) fn of(message: &str) -> &'static MessageRules {
    &RULES[message]
}

/// The fields of one message that may be set in files, ordered by field number.
pub(crate) struct MessageRules {
    pub(crate) descriptor: MessageDescriptor,
    pub(crate) fields: Vec<FieldRules>,
}

impl MessageRules {
    /// Returns the field with this name.
    pub(crate) fn field(&self, name: &str) -> Option<&FieldRules> {
        self.fields.iter().find(|field| field.name == name)
    }
}

/// The type of one value in a file.
pub(crate) enum FieldKind {
    Text,
    Number {
        bits: u32,
    },
    Bool,
    /// The accepted names with their enum numbers.
    Enum(Vec<(SmolStr, i32)>),
    Message(String),
}

/// One field with its type and its rule.
pub(crate) struct FieldRules {
    pub(crate) name: SmolStr,
    pub(crate) descriptor: FieldDescriptor,
    pub(crate) list: bool,
    pub(crate) kind: FieldKind,
    pub(crate) form: Option<Form>,
    pub(crate) rule: FieldRule,
}

impl FieldRules {
    fn new(descriptor: FieldDescriptor) -> FieldRules {
        let kind = match descriptor.kind() {
            Kind::Bool => FieldKind::Bool,
            Kind::Uint32 => FieldKind::Number { bits: 32 },
            Kind::Uint64 => FieldKind::Number { bits: 64 },
            Kind::Message(message) => FieldKind::Message(message.full_name().to_owned()),
            Kind::Enum(choice) => {
                let prefix = format!("{}_", upper_snake_case(choice.name()));
                let names = choice.values().filter(|value| value.number() != 0);
                let names = names.map(|value| {
                    let name = value.name();
                    let name = name.strip_prefix(&prefix).unwrap_or(name);
                    (SmolStr::new(name.to_lowercase()), value.number())
                });
                FieldKind::Enum(names.collect())
            }
            _ => FieldKind::Text,
        };
        let rule = descriptors::rule(&descriptor);
        FieldRules {
            name: SmolStr::new(descriptor.name()),
            list: descriptor.is_list(),
            kind,
            form: Form::find(&rule.form),
            rule,
            descriptor,
        }
    }

    /// Returns the smallest and the largest accepted number.
    pub(crate) fn range(&self) -> (u64, u64) {
        let widest = match self.kind {
            FieldKind::Number { bits: 32 } => u64::from(u32::MAX),
            _ => u64::MAX,
        };
        let min = self.rule.min.unwrap_or(0);
        (min, self.rule.max.unwrap_or(widest))
    }

    /// Returns whether a number is in the accepted range.
    pub(crate) fn accepts_number(&self, number: u64) -> bool {
        let (min, max) = self.range();
        (min..=max).contains(&number)
    }

    /// Returns whether a number is that of an accepted enum value.
    pub(crate) fn accepts_enum(&self, number: i32) -> bool {
        match &self.kind {
            FieldKind::Enum(names) => names.iter().any(|(_, known)| *known == number),
            _ => false,
        }
    }

    /// Returns whether a text has the accepted format.
    pub(crate) fn accepts_text(&self, text: &str) -> bool {
        match self.form {
            Some(form) => form.accepts(text),
            None => !text.is_empty(),
        }
    }

    /// Returns the text for the accepted values of the field, or of one element if
    /// the field is a list.
    pub(crate) fn accepted(&self) -> String {
        match &self.kind {
            FieldKind::Bool => "true or false".to_owned(),
            FieldKind::Text => match self.form {
                Some(form) => form.accepted().to_owned(),
                None => "a text".to_owned(),
            },
            FieldKind::Number { .. } => {
                let (min, max) = self.range();
                let space = if self.rule.unit.is_empty() { "" } else { " " };
                let unit = &self.rule.unit;
                if max == u64::MAX || max == u64::from(u32::MAX) {
                    format!("a whole number of at least {min}{space}{unit}")
                } else {
                    format!("{min} to {max}{space}{unit}")
                }
            }
            FieldKind::Enum(names) => {
                let names: Vec<&str> = names.iter().map(|(name, _)| name.as_str()).collect();
                one_of(&names)
            }
            FieldKind::Message(message) => {
                let names: Vec<&str> = of(message)
                    .fields
                    .iter()
                    .map(|field| field.name.as_str())
                    .collect();
                format!("a mapping with {}", names.join(", "))
            }
        }
    }
}

/// Joins names as `a, b or c`.
pub(crate) fn one_of(names: &[&str]) -> String {
    match names {
        [] => "none".to_owned(),
        [only] => (*only).to_owned(),
        [start @ .., last] => format!("{} or {last}", start.join(", ")),
    }
}

fn upper_snake_case(name: &str) -> String {
    let mut text = String::new();
    for (at, letter) in name.char_indices() {
        if at > 0 && letter.is_ascii_uppercase() {
            text.push('_');
        }
        text.push(letter.to_ascii_uppercase());
    }
    text
}

/// Returns whether a text can be the name of an entry or a host: 1 to 63
/// lower-case letters, digits and inner hyphens.
///
/// # Examples
///
/// ```
/// assert!(radishgauge_config::is_name("motif-shop"));
/// assert!(!radishgauge_config::is_name("Motif.Shop"));
/// ```
pub fn is_name(text: &str) -> bool {
    Form::Name.accepts(text)
}

/// The accepted format of a text, as the field rule `form` names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    Name,
    SocketAddress,
    IpAddress,
    Path,
    Url,
    PathPrefix,
    Method,
}

impl Form {
    fn find(name: &str) -> Option<Form> {
        Some(match name {
            "name" => Form::Name,
            "socket-address" => Form::SocketAddress,
            "ip-address" => Form::IpAddress,
            "path" => Form::Path,
            "url" => Form::Url,
            "path-prefix" => Form::PathPrefix,
            "method" => Form::Method,
            _ => return None,
        })
    }

    /// Returns whether a text has this format.
    pub(crate) fn accepts(self, text: &str) -> bool {
        match self {
            Form::Name => {
                let inner = |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
                let bytes = text.as_bytes();
                bytes.len() <= NAME_MAX
                    && bytes.iter().all(|byte| inner(byte) || *byte == b'-')
                    && bytes.first().is_some_and(inner)
                    && bytes.last().is_some_and(inner)
            }
            Form::SocketAddress => text.parse::<SocketAddr>().is_ok(),
            Form::IpAddress => text.parse::<IpAddr>().is_ok(),
            Form::Path => !text.is_empty() && !text.contains('\0'),
            Form::Url => accepts_url(text),
            Form::PathPrefix => accepts_prefix(text),
            Form::Method => METHODS.contains(&text),
        }
    }

    /// Returns the text for the accepted values.
    pub(crate) fn accepted(self) -> &'static str {
        match self {
            Form::Name => {
                "1 to 63 lower-case letters, digits and inner hyphens, such as motif-shop"
            }
            Form::SocketAddress => "an IP number and a port, such as 127.0.0.1:7100 or [::1]:7100",
            Form::IpAddress => "an IP number, such as 127.0.0.1 or ::1",
            Form::Path => "a path of a file or directory",
            Form::Url => "http:// with an IP number, such as http://127.0.0.1:7300",
            Form::PathPrefix => {
                "a path such as /orders: from /, without a / at the end, //, ? or #"
            }
            Form::Method => "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS",
        }
    }
}

// Daemons connect by IP number and resolve no names, so the host of a URL must be
// an IP number.
fn accepts_url(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("http://") else {
        return false;
    };
    let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let named = host
        .parse::<SocketAddr>()
        .is_ok_and(|host| host.port() != 0);
    let bare = host.trim_start_matches('[').trim_end_matches(']');
    let bare = bare
        .parse::<IpAddr>()
        .is_ok_and(|ip| ip.is_ipv6() == host.starts_with('['));
    (named || bare) && path.bytes().all(|byte| byte.is_ascii_graphic())
}

fn accepts_prefix(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    text == "/"
        || text.starts_with('/')
            && !text.ends_with('/')
            && !text.contains("//")
            && text.bytes().all(plain)
            && text.split('/').all(|step| step != "." && step != "..")
}
