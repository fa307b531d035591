//! Distribution of leaving notices while hosts are paused and the list lags.

mod support;

use radishgauge_control::ControlEvent;
use radishgauge_control::freshness::Freshness;
use radishgauge_control::host_table::HostPhase;
use radishgauge_schema::config::HostState;
use radishgauge_standin::virtual_fleet::VirtualFleet;

use support::SEEDS;
use support::change;
use support::ranked;
use support::secs;
use support::settled;

/// The host that announces in each test that it is leaving.
const LEAVING_HOST: usize = 14;

/// Returns the hosts that have the leaving host as a target and don't know that
/// it is leaving.
fn uninformed_hosts(fleet: &VirtualFleet, hosts: impl IntoIterator<Item = usize>) -> Vec<usize> {
    let name = fleet.spec.host_name(LEAVING_HOST);
    hosts
        .into_iter()
        .filter(|host| {
            let fleet_state = fleet.host(*host).fleet_state.as_ref().unwrap();
            let host_status = fleet_state.hosts.get(&name);
            host_status.is_some_and(|host_status| host_status.phase < HostPhase::Leaving)
        })
        .collect()
}

fn others() -> impl Iterator<Item = usize> {
    (0..60).filter(|host| *host != LEAVING_HOST)
}

/// Pauses half of the fleet for 20 s just before the host announces its leave.
fn leave_while_half_is_paused(seed: u64) -> VirtualFleet {
    let (mut fleet, _) = settled(seed);
    let paused: Vec<_> = others().filter(|host| host % 2 == 0).collect();
    assert!(!uninformed_hosts(&fleet, paused.iter().copied()).is_empty());
    for host in paused {
        fleet.pause(host, secs(20));
    }
    fleet.inject(LEAVING_HOST, ControlEvent::Stop);
    fleet
}

// Guards against a notice that gets lost because the hosts that should forward
// it are paused: every running host must have it within 5 s.
#[test]
fn notice_reaches_running_hosts_while_half_is_paused() {
    for seed in SEEDS {
        let mut fleet = leave_while_half_is_paused(seed);
        fleet.run_for(secs(5));
        let running = others().filter(|host| host % 2 == 1);
        assert_eq!(uninformed_hosts(&fleet, running), [], "seed {seed}");
    }
}

// Guards against a paused host that misses the notice: it must have the state
// within 5 s after it resumes.
#[test]
fn notice_reaches_hosts_that_resume() {
    for seed in SEEDS {
        let mut fleet = leave_while_half_is_paused(seed);
        fleet.run_for(secs(25));
        assert_eq!(uninformed_hosts(&fleet, others()), [], "seed {seed}");
    }
}

// Guards against a leaving host that is paused right after its notice and
// accepts new work when it resumes.
#[test]
fn leaving_host_is_still_leaving_after_a_pause() {
    for seed in SEEDS {
        let (mut fleet, _) = settled(seed);
        fleet.inject(LEAVING_HOST, ControlEvent::Stop);
        fleet.run_for(secs(1));
        fleet.pause(LEAVING_HOST, secs(20));
        fleet.run_for(secs(25));
        let fleet_state = fleet.host(LEAVING_HOST).fleet_state.clone().unwrap();
        assert!(fleet_state.leaving);
        assert_eq!(fleet_state.freshness, Freshness::Fresh);
        assert_eq!(uninformed_hosts(&fleet, others()), [], "seed {seed}");
    }
}

// Guards against a host list that is newer but still has the leaving host as
// live, and so overwrites the host's own notice.
#[test]
fn lagging_list_does_not_override_a_notice() {
    for seed in SEEDS {
        let (mut fleet, mut content) = settled(seed);
        let name = fleet.spec.host_name(LEAVING_HOST);
        let viewer = uninformed_hosts(&fleet, others())[0];
        let incarnation = fleet.host(viewer).fleet_state.as_ref().unwrap().hosts[&name].incarnation;
        fleet.inject(LEAVING_HOST, ControlEvent::Stop);
        fleet.run_for(secs(5));
        assert_eq!(uninformed_hosts(&fleet, others()), [], "seed {seed}");
        let spec = fleet.spec.clone();
        for round in 0..4 {
            // Entries of another host give the list a newer revision.
            let states = [HostState::Leaving, HostState::Live];
            let state = states[round % 2];
            fleet.platform.set_host_entry(&spec, 17, 9_999_999, state);
            fleet
                .platform
                .set_host_entry(&spec, LEAVING_HOST, incarnation, HostState::Live);
            fleet.publish_lists();
            change(&mut fleet, &mut content, round);
            fleet.run_for(secs(10));
            assert_eq!(
                uninformed_hosts(&fleet, others()),
                [],
                "seed {seed}, round {round}"
            );
        }
    }
}

// Guards against a pause in combination with a lagging list: the readers, which
// distribute the list, are paused while the host announces its leave.
#[test]
fn notice_reaches_readers_that_resume_with_a_lagging_list() {
    for seed in SEEDS {
        let (mut fleet, _) = settled(seed);
        let mut readers = ranked(&fleet, 2);
        readers.retain(|host| *host != LEAVING_HOST);
        for host in &readers {
            fleet.pause(*host, secs(20));
        }
        fleet.inject(LEAVING_HOST, ControlEvent::Stop);
        fleet.run_for(secs(10));
        let spec = fleet.spec.clone();
        let state = HostState::Leaving;
        fleet.platform.set_host_entry(&spec, 17, 9_999_999, state);
        fleet.publish_lists();
        fleet.run_for(secs(15));
        assert_eq!(uninformed_hosts(&fleet, others()), [], "seed {seed}");
    }
}
