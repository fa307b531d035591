//! Failures of hosts, links and the platform in a simulated fleet.
//!
//! After every published fleet state, the virtual fleet checks that no revision
//! decreases, that every route has its service, and that no refused version is
//! in force.

mod support;

use std::collections::HashSet;
use std::time::Duration;

use radishgauge_control::ControlEvent;
use radishgauge_control::ControlLog;
use radishgauge_control::freshness::Freshness;
use radishgauge_control::host_table::HostPhase;
use radishgauge_schema::config::HostState;
use radishgauge_standin::virtual_fleet::LinkFaults;
use radishgauge_standin::virtual_fleet::VirtualFleet;
use radishgauge_standin::virtual_fleet::content::FleetContent;
use radishgauge_standin::virtual_fleet::content::FleetSpec;
use radishgauge_standin::virtual_fleet::content::service_of_host;
use radishgauge_standin::virtual_fleet::platform::PlatformState;

use support::BOUND;
use support::SEEDS;
use support::change;
use support::converge;
use support::payload;
use support::ranked;
use support::secs;
use support::settled;
use support::settled_as;
use support::spec;

// Distribution without faults: every host gets each change within the bound.
#[test]
fn change_reaches_all_hosts() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        for service in 0..8 {
            change(&mut fleet, &mut content, service);
            converge(&mut fleet, &content, BOUND);
        }
    }
}

// Guards against distribution that depends on particular readers: the daemons
// that read from the platform crash together just before a change.
#[test]
fn readers_crash_together() {
    for seed in SEEDS {
        for count in [1, 2, 5] {
            let (mut fleet, mut content) = settled(seed);
            for host in ranked(&fleet, count) {
                fleet.crash(host);
            }
            change(&mut fleet, &mut content, 3);
            converge(&mut fleet, &content, BOUND);
        }
    }
}

// Guards against loss of parts: all relays of every failure domain crash, so
// that no remaining host stores all parts.
#[test]
fn all_relays_crash() {
    let (mut fleet, mut content) = settled(5);
    let relays: Vec<_> = (0..60)
        .filter(|host| {
            fleet
                .host(*host)
                .machine()
                .is_some_and(|machine| machine.roles().relay)
        })
        .collect();
    assert_eq!(relays.len(), 30);
    for host in relays {
        fleet.crash(host);
    }
    fleet.run_for(secs(60));
    change(&mut fleet, &mut content, 3);
    converge(&mut fleet, &content, secs(60));
}

// Guards against a return to an old version: the first readers resume after a
// pause with an old root, while the others have newer versions.
#[test]
fn paused_reader_does_not_bring_back_an_old_version() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        let readers = ranked(&fleet, 1);
        change(&mut fleet, &mut content, 1);
        fleet.run_for(Duration::from_millis(3));
        for host in &readers {
            fleet.pause(*host, secs(40));
        }
        for service in 2..5 {
            change(&mut fleet, &mut content, service);
            fleet.run_for(secs(10));
            let outdated_hosts: HashSet<_> =
                fleet.hosts_without(content.version()).into_iter().collect();
            assert_eq!(outdated_hosts, readers.iter().copied().collect());
        }
        fleet.run_for(secs(11));
        converge(&mut fleet, &content, BOUND);
        let fleet_state = fleet.host(readers[0]).fleet_state.clone().unwrap();
        assert_eq!(fleet_state.freshness, Freshness::Fresh);
        let paused = |log: &ControlLog| matches!(log, ControlLog::PausedFor { .. });
        assert!(fleet.host(readers[0]).logs.iter().any(paused));
    }
}

// Guards against an endless wait after a pause: a resumed daemon must not stay
// in `Checking` when a peer has replied or the timeout is over.
#[test]
fn check_after_a_pause_ends() {
    let (mut fleet, _) = settled(6);
    fleet.partition(&[1, 0, 0, 0, 0, 0, 0]);
    for host in 0..10 {
        fleet.pause(host, secs(5));
    }
    fleet.run_for(Duration::from_millis(5700));
    // All peers were paused too; a reply of one of them ends the check.
    let states: Vec<_> = (0..10)
        .map(|host| fleet.host(host).fleet_state.clone().unwrap().freshness)
        .collect();
    assert!(!states.contains(&Freshness::Checking), "{states:?}");
}

// Guards against reliance on the host list: it lists crashed hosts as live and
// live hosts as gone.
#[test]
fn wrong_host_list() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        for domain in 0..6 {
            for host in [2, 5, 7] {
                fleet.crash(domain * 10 + host);
            }
            let spec = fleet.spec.clone();
            fleet
                .platform
                .set_host_entry(&spec, domain * 10 + 8, 9_999_999, HostState::Gone);
        }
        fleet.publish_lists();
        fleet.run_for(secs(10));
        change(&mut fleet, &mut content, 4);
        converge(&mut fleet, &content, BOUND);
    }
}

// A failure domain that cannot reach the platform gets versions from others.
#[test]
fn domain_without_the_platform() {
    for seed in SEEDS {
        for domain in 0..6 {
            let (mut fleet, mut content) = settled(seed);
            fleet.disconnect_platform(&[domain]);
            for service in 0..3 {
                change(&mut fleet, &mut content, service);
                converge(&mut fleet, &content, BOUND);
            }
        }
    }
}

// A whole region that cannot reach the platform gets versions from another.
#[test]
fn region_without_the_platform() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        fleet.disconnect_platform(&[2, 3]);
        for service in 0..3 {
            change(&mut fleet, &mut content, service);
            converge(&mut fleet, &content, BOUND);
        }
    }
}

// An isolated failure domain keeps its version. When it is connected again, it
// must fetch deltas and not full copies.
#[test]
fn rejoining_domain_fetches_deltas() {
    for seed in SEEDS {
        let spec = FleetSpec {
            services: 240,
            ..spec()
        };
        let (mut fleet, mut content) = settled_as(spec, seed);
        fleet.partition(&[0, 0, 0, 1, 0, 0, 0]);
        let old = content.version();
        for service in 0..6 {
            change(&mut fleet, &mut content, service);
            fleet.run_for(secs(10));
        }
        let outdated_hosts: HashSet<_> =
            fleet.hosts_without(content.version()).into_iter().collect();
        assert_eq!(outdated_hosts, (30..40).collect());
        let fleet_state = fleet.host(30).fleet_state.clone().unwrap();
        assert_eq!(fleet_state.revision, old.revision);
        fleet.heal();
        let before = payload(&fleet, 30..40);
        converge(&mut fleet, &content, secs(90));
        let bytes = payload(&fleet, 30..40) - before;
        // Each host needs at most 6 index entries of 60 bytes and 6 parts of
        // 200; one copy has over 240 of each. Twice that covers the framing.
        assert!(bytes <= 2 * 10 * 6 * 260, "{bytes} bytes on return");
        assert!(content.full_copy_bytes() as u64 > bytes);
    }
}

// A restarted failure domain gets a version from other domains' relays or from
// the platform, without intervention of an operator.
#[test]
fn domain_restarts() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        for host in 20..30 {
            fleet.restart(host, secs(2));
        }
        converge_after_restart(&mut fleet, &content);
        change(&mut fleet, &mut content, 2);
        converge(&mut fleet, &content, BOUND);
    }
}

fn converge_after_restart(fleet: &mut VirtualFleet, content: &FleetContent) {
    fleet.run_for(secs(3));
    fleet.publish_lists();
    converge(fleet, content, secs(120));
}

// All hosts restart, so that no daemon has a version and none has a peer with
// one.
#[test]
fn all_domains_restart() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        for host in 0..60 {
            fleet.restart(host, secs(2));
        }
        converge_after_restart(&mut fleet, &content);
        assert!(fleet.platform.calls.iter().all(|calls| *calls < 2000));
        change(&mut fleet, &mut content, 2);
        converge(&mut fleet, &content, BOUND);
    }
}

// Links drop, duplicate, delay and reorder messages while versions change.
#[test]
fn messages_are_lost_duplicated_and_reordered() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        fleet.faults = LinkFaults {
            lost_per_mille: 50,
            duplicated_per_mille: 200,
            delay: Duration::from_millis(1500),
        };
        for service in 0..10 {
            change(&mut fleet, &mut content, service);
            fleet.run_for(secs(2));
        }
        fleet.faults = LinkFaults::default();
        converge(&mut fleet, &content, secs(30));
    }
}

// A host becomes a target of a service that is not in its scope, so its own
// parts do not show it.
#[test]
fn new_target_fetches_its_service() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        let spec = fleet.spec.clone();
        let host = 17;
        let service = (service_of_host(host, &spec) + 6) % spec.services;
        content.add_target(service, &spec, host);
        fleet.publish(&content);
        converge(&mut fleet, &content, BOUND);
        fleet.run_for(secs(10));
        let fleet_state = fleet.host(host).fleet_state.clone().unwrap();
        let name = format!("service-{service:03}");
        assert!(
            fleet_state.model.services.contains_key(name.as_str()),
            "{:?}",
            fleet_state.model.services.keys()
        );
    }
}

// A call through a daemon adds a service to its scope, and the service leaves
// the scope some time after the last call.
#[test]
fn called_service_is_in_scope() {
    let (mut fleet, _) = settled(8);
    let name = "service-009";
    assert!(
        !fleet
            .host(0)
            .fleet_state
            .as_ref()
            .unwrap()
            .model
            .services
            .contains_key(name)
    );
    let service = name.into();
    fleet.inject(0, ControlEvent::ServiceRequested { service });
    fleet.run_for(secs(1));
    let fleet_state = fleet.host(0).fleet_state.clone().unwrap();
    assert!(fleet_state.model.services.contains_key(name));
    fleet.run_for(secs(700));
    assert!(
        !fleet
            .host(0)
            .fleet_state
            .as_ref()
            .unwrap()
            .model
            .services
            .contains_key(name)
    );
}

// A daemon that sees a newer revision in a call or refusal must request it at
// once, and not wait for the next periodic exchange.
#[test]
fn newer_revision_is_requested_at_once() {
    let (mut fleet, mut content) = settled(9);
    fleet.faults.lost_per_mille = 1000;
    change(&mut fleet, &mut content, 1);
    fleet.run_for(Duration::from_millis(100));
    fleet.faults.lost_per_mille = 0;
    let outdated_hosts = fleet.hosts_without(content.version());
    assert!(!outdated_hosts.is_empty());
    let ahead: Vec<_> = (0..60)
        .filter(|host| !outdated_hosts.contains(host))
        .collect();
    let host = outdated_hosts
        .into_iter()
        .find(|host| ahead.iter().any(|other| other / 10 == host / 10))
        .expect("a domain with hosts on both sides");
    let other = ahead
        .iter()
        .find(|other| *other / 10 == host / 10)
        .expect("a host ahead");
    let name = fleet.spec.host_name(*other);
    fleet.inject(
        host,
        ControlEvent::RevisionSeen {
            host: name,
            revision: content.version().revision,
        },
    );
    let before = fleet.now();
    while fleet.hosts_without(content.version()).contains(&host) {
        fleet.run_for(Duration::from_millis(1));
        assert!(fleet.now() < before + Duration::from_millis(50));
    }
}

// A host that shuts down must be known as leaving on every host that has it as
// a target.
#[test]
fn leaving_notice_reaches_all_hosts_within_5_s() {
    for seed in SEEDS {
        let (mut fleet, _) = settled(seed);
        let host = 14;
        let name = fleet.spec.host_name(host);
        fleet.inject(host, ControlEvent::Stop);
        fleet.run_for(secs(5));
        for other in (0..60).filter(|other| *other != host) {
            let fleet_state = fleet.host(other).fleet_state.clone().unwrap();
            if let Some(host_status) = fleet_state.hosts.get(&name) {
                assert_eq!(host_status.phase, HostPhase::Leaving, "at host {other}");
            }
        }
    }
}

// Random combinations of all faults: no invariant of the virtual fleet is
// violated, and the fleet converges after the faults end.
#[test]
fn random_faults() {
    use rand::Rng;
    use rand::SeedableRng;
    for seed in 100..112 {
        let (mut fleet, mut content) = settled(seed);
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        for _ in 0..40 {
            let host = rng.random_range(0..60);
            match rng.random_range(0..10) {
                0 => fleet.restart(host, secs(rng.random_range(1..20))),
                1 => fleet.pause(host, secs(rng.random_range(1..20))),
                2 => fleet.partition(&std::array::from_fn::<_, 7, _>(|_| rng.random_range(0..2))),
                3 => fleet.heal(),
                4 => fleet.set_platform(PlatformState::Down),
                5 => fleet.set_platform(PlatformState::Truncated),
                6 => fleet.set_platform(PlatformState::Stale),
                7 => {
                    fleet.faults = LinkFaults {
                        lost_per_mille: rng.random_range(0..100),
                        duplicated_per_mille: rng.random_range(0..100),
                        delay: Duration::from_millis(rng.random_range(0..500)),
                    };
                }
                8 => fleet.publish_lists(),
                _ => {
                    content.change_slots(rng.random_range(0..12));
                    fleet.publish(&content);
                }
            }
            fleet.run_for(secs(rng.random_range(0..8)));
        }
        fleet.heal();
        fleet.faults = LinkFaults::default();
        fleet.set_platform(PlatformState::Up);
        fleet.run_for(secs(20));
        fleet.publish_lists();
        change(&mut fleet, &mut content, 0);
        let took = fleet.run_until(content.version(), secs(180));
        assert!(
            took.is_some(),
            "seed {seed}: {:?}",
            fleet.hosts_without(content.version())
        );
    }
}
