//! Descriptors of the schema, for code that accesses fields by name.
//!
//! The checker reports all faults of a file at once. For this it needs the
//! fields and their rules as data, not as Rust types.

use std::sync::LazyLock;

use prost::Message;
use prost_reflect::DescriptorPool;
use prost_reflect::ExtensionDescriptor;
use prost_reflect::FieldDescriptor;
use prost_reflect::MessageDescriptor;

use crate::rules::FieldRule;

static POOL: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let bytes: &[u8] = include_bytes!("generated/descriptors.bin");
    DescriptorPool::decode(bytes).expect("the committed descriptors decode")
});

static RULE: LazyLock<ExtensionDescriptor> = LazyLock::new(|| {
    POOL.get_extension_by_name("radishgauge.rules.v1.rule")
        .expect("the schema defines the rule option")
});

/// Returns the descriptor of the message with this fully qualified name.
///
/// # Examples
///
/// ```
/// let route = radishgauge_schema::descriptors::message("radishgauge.config.v1.Route");
/// assert!(route.unwrap().get_field_by_name("path_prefix").is_some());
/// ```
pub fn message(name: &str) -> Option<MessageDescriptor> {
    POOL.get_message_by_name(name)
}

/// Returns the rule of a field, or an empty rule when the field has none.
///
/// # Panics
///
/// If the committed descriptors contain a rule that does not decode. The test
/// that compares the committed code with the generator's output prevents this.
pub fn rule(field: &FieldDescriptor) -> FieldRule {
    let options = field.options();
    if !options.has_extension(&RULE) {
        return FieldRule::default();
    }
    let value = options.get_extension(&RULE);
    let bytes = value
        .as_message()
        .expect("the rule option is a message")
        .encode_to_vec();
    FieldRule::decode(bytes.as_slice()).expect("a committed rule decodes")
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a generator that drops rules: a field without its rule
    // would accept any value.
    #[test]
    fn rules_survive_the_generator() {
        let service = message("radishgauge.config.v1.Service").unwrap();
        let slots = rule(&service.get_field_by_name("slots").unwrap());
        assert_eq!(slots.min, Some(1));
        assert_eq!(slots.max, Some(10_000));
        assert_eq!(slots.default, "20");
    }
}
