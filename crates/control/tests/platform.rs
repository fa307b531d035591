//! A simulated fleet while the platform is down, returns stale or truncated values,
//! or has versions that are refused or conflict.

mod support;

use std::time::Duration;

use radishgauge_control::ControlLog;
use radishgauge_standin::virtual_fleet::content::REFUSED_CONNECTIONS;
use radishgauge_standin::virtual_fleet::platform::PlatformState;

use support::BOUND;
use support::SEEDS;
use support::change;
use support::converge;
use support::secs;
use support::settled;

// The platform is down for an hour, and a failure domain restarts meanwhile: all
// hosts keep or get the version in force, and the next change once it is up.
#[test]
fn platform_is_down_for_an_hour() {
    for seed in [1, 2] {
        let (mut fleet, mut content) = settled(seed);
        fleet.set_platform(PlatformState::Down);
        fleet.run_for(secs(1800));
        assert!(fleet.hosts_without(content.version()).is_empty());
        for host in 0..10 {
            fleet.restart(host, secs(1));
        }
        fleet.run_for(secs(1800));
        assert!(fleet.hosts_without(content.version()).is_empty());
        content.change_slots(1);
        fleet.set_platform(PlatformState::Up);
        fleet.publish(&content);
        // Failed watches are retried after at most 30 s.
        converge(&mut fleet, &content, secs(30) + BOUND);
    }
}

// Guards against a restarted host that stays at the old version of a stale
// platform although its peers have a newer one.
#[test]
fn restarted_host_recovers_newer_version_while_platform_is_stale() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        fleet.set_platform(PlatformState::Stale);
        let stale = content.version();
        // The fleet gets a newer version first; then the platform returns the old one.
        fleet.set_platform(PlatformState::Up);
        change(&mut fleet, &mut content, 1);
        converge(&mut fleet, &content, BOUND);
        fleet.set_platform_stale_at(&stale);
        fleet.restart(33, secs(1));
        fleet.run_for(secs(4));
        converge(&mut fleet, &content, BOUND);
        let fleet_state = fleet.host(33).fleet_state.clone().unwrap();
        assert!(!fleet_state.unconfirmed);
    }
}

// A host that starts without reachable peers takes the platform's version, marks
// it as unconfirmed, and gets the newer version when it is connected to peers.
#[test]
fn host_without_peers_uses_the_platform_unconfirmed() {
    let (mut fleet, mut content) = settled(7);
    let stale = content.version();
    change(&mut fleet, &mut content, 1);
    converge(&mut fleet, &content, BOUND);
    fleet.set_platform_stale_at(&stale);
    // The restarted daemon can reach the platform but no running host.
    for host in 10..20 {
        fleet.crash(host);
    }
    fleet.partition(&[0, 1, 0, 0, 0, 0, 1]);
    fleet.restart(13, secs(1));
    fleet.run_for(secs(200));
    let fleet_state = fleet
        .host(13)
        .fleet_state
        .clone()
        .expect("no version after 200 s");
    assert_eq!(
        (fleet_state.revision, fleet_state.unconfirmed),
        (stale.revision, true)
    );
    fleet.heal();
    for host in 10..20 {
        fleet.restart(host, secs(1));
    }
    fleet.publish_lists();
    converge(&mut fleet, &content, secs(120));
}

// Guards against the use of truncated values: they must be discarded, and the fleet
// converges when a read returns a complete value.
#[test]
fn torn_platform_values() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        fleet.set_platform(PlatformState::Truncated);
        for service in 0..4 {
            change(&mut fleet, &mut content, service);
            fleet.run_for(secs(6));
        }
        converge(&mut fleet, &content, secs(60));
    }
}

// Guards against an invalid version in force at any host, and against a refusal
// whose reasons don't reach all hosts.
#[test]
fn refused_version_is_not_in_force() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        let good = content.version();
        content.set_connections(5, REFUSED_CONNECTIONS);
        fleet.forbid(content.version());
        fleet.publish(&content);
        fleet.run_for(secs(30));
        assert!(fleet.hosts_without(good).is_empty());
        for host in 0..60 {
            let status = fleet.host(host).machine().unwrap().status();
            assert_eq!(
                status.refused_revision,
                content.version().revision,
                "host {host}"
            );
            assert!(!status.refused_reasons.is_empty());
        }
        content.set_connections(5, 110);
        fleet.publish(&content);
        converge(&mut fleet, &content, BOUND);
    }
}

// Two operators publish different content under one revision. No daemon may
// replace one content by the other, the conflict is logged, and the fleet
// converges on the next revision.
#[test]
fn conflicting_revisions() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        let mut other = content.clone();
        content.change_slots(1);
        other.change_slots(2);
        fleet.publish(&content);
        fleet.run_for(Duration::from_millis(8));
        fleet.publish(&other);
        fleet.run_for(secs(20));
        let conflict = |log: &ControlLog| matches!(log, ControlLog::ConflictingRevision { .. });
        assert!((0..60).any(|host| fleet.host(host).logs.iter().any(conflict)));
        other.change_slots(3);
        fleet.publish(&other);
        converge(&mut fleet, &other, BOUND);
    }
}
