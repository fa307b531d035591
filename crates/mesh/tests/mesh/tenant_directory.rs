//! The tenants of a configuration and their keys.

use std::collections::HashSet;
use std::sync::Arc;

use indexmap::IndexMap;
use radishgauge_mesh::KeyHash;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::TenantDirectory;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::config::RequestLimits;
use radishgauge_mesh::tenant::TenantLabel;
use radishgauge_mesh::tenant_directory::TenantConflict;

fn policy(name: &str) -> TenantPolicy {
    TenantPolicy {
        name: name.into(),
        priority: None,
        limit: None,
        regions: Vec::new(),
    }
}

fn hashes(keys: &[&str]) -> Vec<KeyHash> {
    keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect()
}

/// Guards against a key that belongs to another tenant or to none.
#[test]
fn each_key_finds_its_tenant() {
    let mut directory = TenantDirectory::default();
    directory
        .insert(policy("one"), hashes(&["a", "b", "a"]))
        .unwrap();
    directory.insert(policy("two"), hashes(&["c"])).unwrap();
    let config = MeshConfig::new(1, RequestLimits::default(), Vec::new(), IndexMap::new());
    assert!(!config.has_tenants());
    let config = config.with_tenants(directory);
    assert!(config.has_tenants());
    let name = |key: &str| {
        let tenant = config.tenant_of_key(key.as_bytes());
        tenant.map(|tenant| tenant.name.as_str())
    };
    assert_eq!((name("a"), name("b")), (Some("one"), Some("one")));
    assert_eq!((name("c"), name("d"), name("")), (Some("two"), None, None));
    let found = config.tenant_of_key(b"a").unwrap();
    assert!(Arc::ptr_eq(found, config.tenant("one").unwrap()));
    assert!(config.tenant("three").is_none());
}

/// Guards against a request that may belong to either of two tenants.
#[test]
fn names_and_keys_belong_to_one_tenant() {
    let mut directory = TenantDirectory::default();
    directory.insert(policy("one"), hashes(&["a"])).unwrap();
    let repeated = directory.insert(policy("one"), hashes(&["b"]));
    assert_eq!(repeated, Err(TenantConflict::RepeatedName));
    let shared = directory.insert(policy("two"), hashes(&["c", "a"]));
    let other = "one".into();
    assert_eq!(shared, Err(TenantConflict::SharedKey { other }));
}

/// Guards against keys or their hashes in `Debug` output.
#[test]
fn debug_output_has_no_hash() {
    let hash = KeyHash::of(b"a");
    assert_eq!(format!("{hash:?}"), "KeyHash(..)");
    assert!(KeyHash::from_bytes(hash.as_bytes().try_into().unwrap()) == hash);
    let mut directory = TenantDirectory::default();
    directory.insert(policy("one"), [hash]).unwrap();
    let text = format!("{directory:?}");
    assert!(
        text.contains("one") && !text.contains(&hex(&hash)),
        "{text}"
    );
}

fn hex(hash: &KeyHash) -> String {
    let digits = hash.as_bytes().iter().map(|byte| format!("{byte:02x}"));
    digits.collect()
}

/// Guards against a tenant's name that ends a field of a log line or a label.
#[test]
fn label_escapes_what_could_end_a_field() {
    let label = |name| TenantLabel(name).to_string();
    assert_eq!(label("Acme-1_b.c"), "Acme-1_b.c");
    assert_eq!(label("a b}\n,"), "a%20b%7D%0A%2C");
    assert_eq!(label("100%"), "100%25");
}

/// Guards against two tenants with one label.
#[test]
fn labels_of_different_names_differ() {
    let printable: Vec<char> = (' '..='~').collect();
    let mut labels = HashSet::new();
    for first in &printable {
        assert!(labels.insert(TenantLabel(&first.to_string()).to_string()));
        for second in &printable {
            let name = format!("{first}{second}");
            assert!(labels.insert(TenantLabel(&name).to_string()), "{name}");
        }
    }
}
