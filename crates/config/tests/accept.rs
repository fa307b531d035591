//! Verdicts on versions and checks of partial models.

use std::path::Path;

use prost::Message;
use radishgauge_config::AcceptVerdict;
use radishgauge_config::DigestIndex;
use radishgauge_config::FleetModel;
use radishgauge_config::PartDigest;
use radishgauge_config::accept;
use radishgauge_config::accept::REASONS_MAX;
use radishgauge_config::check_partial_model;
use radishgauge_config::check_services;
use radishgauge_config::index::root_check;
use radishgauge_config::load_set;
use radishgauge_config::open_value;
use radishgauge_config::pack;
use radishgauge_config::pack::VALUE_MAX;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::DomainState;
use radishgauge_schema::config::IndexRoot;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::Target;

fn example() -> ConfigSet {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/abay-etchcraft");
    load_set(&dir).unwrap()
}

fn reasons(change: impl FnOnce(&mut ConfigSet)) -> Vec<String> {
    let mut set = example();
    change(&mut set);
    let packed = pack(&set, 2);
    accept(&packed.index().root(), packed.parts()).reasons()
}

fn verdict(parts: &[(&str, Vec<u8>)]) -> AcceptVerdict {
    let mut index = DigestIndex::new(2);
    for (key, value) in parts {
        index.insert((*key).into(), PartDigest::of(value));
    }
    accept(&index.root(), parts.iter().map(|(key, value)| (key, value)))
}

// Guards against a refusal whose reason lacks the part key, the field or the
// accepted values.
#[test]
fn reasons_name_part_field_and_accepted_values() {
    let none: Vec<String> = Vec::new();
    assert_eq!(reasons(|_| {}), none);
    assert_eq!(
        reasons(|set| set.services.retain(|service| service.name != "art-intake")),
        [
            "route/art: service: unknown service; found: \"art-intake\"; \
             accepted: motif-shop or order-desk",
            "route/uploads: service: unknown service; found: \"art-intake\"; \
             accepted: motif-shop or order-desk",
        ]
    );
    assert_eq!(
        reasons(|set| set.services[0].targets[1].failure_domain = "tana".to_owned()),
        [
            "service/motif-shop: targets[1].failure_domain: unknown failure domain; \
          found: \"tana\"; accepted: addis-bole, addis-kality, bahir-gion or bahir-tana"
        ]
    );
    assert_eq!(
        reasons(|set| set.routes[0].home_regions = vec!["gondar".to_owned()]),
        [
            "route/catalogue: home_regions[0]: unknown region; found: \"gondar\"; \
          accepted: addis or bahir"
        ]
    );
    assert_eq!(
        reasons(|set| set.services[0].slots = 10_001),
        [
            "service/motif-shop: slots: value not accepted; found: 10001; \
          accepted: 1 to 10000 requests per worker"
        ]
    );
    assert_eq!(
        reasons(|set| {
            for domain in &mut set.failure_domains[1..] {
                domain.state = DomainState::Out.into();
            }
        }),
        [
            "fleet: failure_domains[3].state: too many failure domains out; found: 3 out; \
             accepted: up to 2, by policy.max_domains_out"
        ]
    );
    assert_eq!(
        reasons(|set| set.regions.push(set.regions[0].clone())),
        ["fleet: regions[1].name: duplicate value; found: \"addis\"; accepted: a value used once"]
    );
    assert_eq!(
        reasons(|set| set.routes[0].criticality = 9),
        [
            "route/catalogue: criticality: value not accepted; found: 9; \
          accepted: sheddable, normal or critical"
        ]
    );
    assert_eq!(
        reasons(|set| set.services[0].targets[0].address = "shop-1:80".to_owned()),
        [
            "service/motif-shop: targets[0].address: value not accepted; found: \"shop-1:80\"; \
          accepted: an IP number and a port, such as 127.0.0.1:7100 or [::1]:7100"
        ]
    );
}

// Guards against a version head whose length grows with the number of faults.
#[test]
fn number_of_reasons_is_limited() {
    let reasons = reasons(|set| {
        for at in 0..100 {
            let mut route = set.routes[0].clone();
            route.name = format!("route-{at}");
            route.path_prefix = format!("/route/{at}");
            route.service = "none".to_owned();
            set.routes.push(route);
        }
    });
    assert_eq!(reasons.len(), REASONS_MAX);
    assert_eq!(reasons.last().unwrap(), "85 more faults");
}

// Guards against a corrupt root that is refused as a version, when it should be
// read again.
#[test]
fn root_is_checked_before_parts() {
    let packed = pack(&example(), 2);
    let root = packed.index().root();
    let newer = IndexRoot {
        revision: 3,
        ..root.clone()
    };
    let all_pages_differ = AcceptVerdict::Mismatch((0..32).collect());
    assert_eq!(accept(&newer, packed.parts()), all_pages_differ);
    assert_eq!(
        accept(&IndexRoot::default(), packed.parts()),
        all_pages_differ
    );
    let mut unknown_schema = IndexRoot { schema: 2, ..root };
    unknown_schema.check = root_check(&unknown_schema).as_bytes().to_vec().into();
    assert_eq!(
        accept(&unknown_schema, packed.parts()).reasons(),
        ["root: unknown schema number; found: 2; accepted: 1"]
    );
}

// Guards against accepting a version with parts that cannot be decoded or stored.
#[test]
fn undecodable_and_oversize_parts_are_refused() {
    let packed = pack(&example(), 2);
    let fleet = packed.part("fleet").unwrap().to_vec();
    let shop = packed.part("service/motif-shop").unwrap().to_vec();
    let long = vec![0; VALUE_MAX + 1];
    let refused = |parts: &[(&str, Vec<u8>)]| verdict(parts).reasons();
    assert_eq!(
        refused(&[("fleet", fleet.clone()), ("service/a", vec![0xff])]),
        ["service/a: the part does not decode"]
    );
    assert_eq!(
        refused(&[("fleet", fleet.clone()), ("service/a", Vec::new())]),
        ["service/a: the part is empty"]
    );
    assert_eq!(
        refused(&[("fleet", fleet.clone()), ("service/a", shop.clone())]),
        ["service/a: the part holds service/motif-shop"]
    );
    assert_eq!(
        refused(&[("fleet", fleet), ("service/a", long)]),
        ["service/a: part too long; found: 1000001; accepted: 0 to 1000000 bytes"]
    );
    let reasons = refused(&[("service/motif-shop", shop)]);
    assert_eq!(reasons[0], "fleet: the part is missing");
    assert_eq!(reasons.len(), 6);
}

// Guards against accepting a partial model without a failure domain that it refers
// to, and against refusing one because services are absent.
#[test]
fn partial_model_may_omit_only_services() {
    let packed = pack(&example(), 2);
    let routes = packed
        .parts()
        .filter(|(key, _)| !key.starts_with("service/"));
    let partial = FleetModel::from_parts(routes).unwrap();
    assert_eq!(check_partial_model(&partial), Ok(()));
    assert_eq!(check_services(&partial, |_| true), Ok(()));
    assert_eq!(
        check_services(&partial, |name| name == "order-desk"),
        Err(vec!["art-intake".into(), "motif-shop".into()])
    );
    let mut incomplete = FleetModel::from_parts(packed.parts()).unwrap();
    incomplete.domains.shift_remove("bahir-gion");
    let faults = check_partial_model(&incomplete).unwrap_err();
    assert_eq!(faults.len(), 3);
    assert_eq!(
        faults[0].to_string(),
        "service/art-intake: targets[3].failure_domain: unknown failure domain; \
         found: \"bahir-gion\"; accepted: addis-bole, addis-kality or bahir-tana"
    );
    // Without the fleet part, no failure domain is defined.
    let single = packed
        .parts()
        .filter(|(key, _)| *key == "service/art-intake");
    let single = FleetModel::from_parts(single).unwrap();
    assert_eq!(check_partial_model(&single).unwrap_err().len(), 4);
}

// Guards against a bundle that is longer than the platform's maximum value length.
#[test]
fn bundle_omits_parts_beyond_maximum_length() {
    let names = (0..).map(|at| format!("s-{at}"));
    let names = names.filter(|name| DigestIndex::page_of(&format!("service/{name}")) == 0);
    // Hexadecimal digests as host names, which zstd compresses to half at best.
    let target = |name: &str, at: usize| Target {
        host: PartDigest::of(format!("{name}/{at}").as_bytes()).to_string(),
        ..Target::default()
    };
    let services = names.take(4).map(|name| Service {
        targets: (0..25_000).map(|at| target(&name, at)).collect(),
        name,
        ..Service::default()
    });
    let set = ConfigSet {
        services: services.collect(),
        ..ConfigSet::default()
    };
    let packed = pack(&set, 2);
    assert!(packed.parts().all(|(_, value)| value.len() <= VALUE_MAX));
    let bundle = packed.bundle(0);
    assert!(bundle.encoded_len() <= VALUE_MAX);
    assert_eq!(bundle.parts.len(), 2);
    assert!(bundle.parts.iter().all(|value| open_value(value).is_ok()));
}
