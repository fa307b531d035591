//! Idempotency keys: the text form, parse errors, and the choice of the owner.

use proptest::prelude::ProptestConfig;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::prop_assert_ne;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::key::IssuedKey;
use radishgauge_traffic::key::KeyIssuer;
use radishgauge_traffic::key::KeyOrigin;
use radishgauge_traffic::once_owner::KeyOwner;
use radishgauge_traffic::once_owner::OwnerSet;
use radishgauge_traffic::once_owner::OwnerTarget;
use smol_str::SmolStr;

fn owner_set(hosts: &[(&str, &str)]) -> OwnerSet {
    let target = |&(host, region): &(&str, &str)| OwnerTarget {
        host: SmolStr::new(host),
        region: SmolStr::new(region),
    };
    OwnerSet::new(0, hosts.iter().map(target))
}

/// Guards against a parse error that does not name the wrong part of the key.
#[test]
fn each_parse_error_names_the_part_and_the_accepted_form() {
    let long = "x".repeat(256);
    let cases = [
        ("", "empty"),
        (long.as_str(), "256 bytes; accepted: 1 to 255"),
        ("order 7", "byte 0x20 at position 5"),
        ("caf\u{e9}", "byte 0xc3 at position 3"),
        ("rgk1.0000000000000000", "serial is missing"),
        ("rgk1.0.0000000000000000", "incarnation is missing"),
        ("rgk1.0.0.0000000000000000", "host is missing"),
        (
            "rgk1.a.0.0.00",
            "nonce `00`; accepted: 16 hexadecimal digits",
        ),
        ("rgk1.a.+1.0.0000000000000000", "incarnation `+1`"),
        ("rgk1.a.0.F.0000000000000000", "serial `F`"),
        ("rgk1.a.0..0000000000000000", "serial ``"),
        ("rgk1.a.10000000000000000.0.0000000000000000", "incarnation"),
    ];
    for (text, part) in cases {
        let fault = text.parse::<IdempotencyKey>().unwrap_err().to_string();
        assert!(fault.contains(part), "{text:?} gives {fault:?}");
    }
}

/// Guards against a former owner that is not waited for: the owner under any set of
/// home regions must be among the possible owners.
#[test]
fn the_owner_under_any_regions_is_a_possible_owner() {
    let set = owner_set(&[("a", "x"), ("b", "x"), ("c", "y"), ("d", "y"), ("e", "z")]);
    let rules: [&[SmolStr]; 4] = [&[], &["x".into()], &["x".into(), "z".into()], &["y".into()]];
    for number in 0..500 {
        let key = format!("key-{number}");
        let best = KeyOwner::possible_hosts("s", &key, &set);
        for regions in rules {
            let owner = KeyOwner::of("s", &key, &set, regions).unwrap();
            assert!(best.contains(&&owner.host), "{key} {regions:?}");
            let region = set.region(&owner.host).unwrap();
            assert!(regions.is_empty() || regions.contains(region));
        }
    }
}

/// Guards against an added target that moves keys between the other targets.
#[test]
fn a_new_target_moves_only_its_own_keys() {
    let before = owner_set(&[("a", "x"), ("b", "x"), ("c", "x"), ("d", "x")]);
    let after = owner_set(&[("a", "x"), ("b", "x"), ("c", "x"), ("d", "x"), ("e", "x")]);
    let mut moved = 0;
    for number in 0..2000 {
        let key = format!("key-{number}");
        let old = KeyOwner::of("s", &key, &before, &[]).unwrap();
        let new = KeyOwner::of("s", &key, &after, &[]).unwrap();
        if old != new {
            assert_eq!(new.host, "e");
            moved += 1;
        }
    }
    // The new target should get a fifth of the keys, 400. Five standard deviations
    // are 89.
    assert!((311..=489).contains(&moved), "{moved}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against an issued key that is parsed as a different key by another
    /// daemon.
    #[test]
    fn issued_keys_round_trip_through_text(host in "[a-z][a-z0-9.-]{0,60}", incarnation: u64, serial: u64, nonce: u64) {
        let key = IdempotencyKey::Issued(IssuedKey { host: host.into(), incarnation, serial, nonce });
        prop_assert_eq!(key.to_string().parse(), Ok(key));
    }

    /// Guards against a panic on a caller's text, and against an opaque key that
    /// differs from that text.
    #[test]
    fn any_text_parses_to_the_same_text_or_fails(text in "(rgk1\\.)?[ -~\u{e9}]{0,80}") {
        if let Ok(IdempotencyKey::Opaque(key)) = text.parse() {
            prop_assert_eq!(key.as_str(), text.as_str());
            prop_assert_eq!(text.starts_with("rgk1."), false);
        }
    }

    /// Guards against a caller that guesses another caller's key, or uses a key of
    /// an earlier incarnation.
    #[test]
    fn an_issuer_recognises_only_its_own_keys(seed: [u8; 32], skip in 0..20u64, flip in 1..u64::MAX) {
        let mut issuer = KeyIssuer::new("h", 5, seed);
        let key = (0..=skip).map(|_| issuer.issue()).last().unwrap();
        prop_assert_eq!(issuer.origin(&key), KeyOrigin::Issued);
        let forged = [
            IssuedKey { nonce: key.nonce ^ flip, ..key.clone() },
            IssuedKey { serial: key.serial + 1, ..key.clone() },
        ];
        for key in forged {
            prop_assert_eq!(issuer.origin(&key), KeyOrigin::Forged);
        }
        let restarted = KeyIssuer::new("h", 6, seed);
        prop_assert_eq!(restarted.origin(&key), KeyOrigin::OtherIncarnation);
        prop_assert_ne!(KeyIssuer::new("i", 5, seed).origin(&key), KeyOrigin::Issued);
    }
}
