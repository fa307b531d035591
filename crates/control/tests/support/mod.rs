//! A simulated fleet in a steady state, and helpers for the failure tests.

// Each test binary uses some of these.
#![allow(dead_code, missing_docs)]

use std::time::Duration;

use radishgauge_standin::virtual_fleet::VirtualFleet;
use radishgauge_standin::virtual_fleet::content::FleetContent;
use radishgauge_standin::virtual_fleet::content::FleetSpec;

/// The time within which a valid version must be in force on all hosts.
pub const BOUND: Duration = Duration::from_secs(15);

pub const SEEDS: [u64; 4] = [1, 2, 3, 4];

pub fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

pub fn spec() -> FleetSpec {
    FleetSpec {
        regions: 3,
        domains: 2,
        hosts: 10,
        services: 12,
        seeds: 3,
    }
}

/// Returns a fleet of 60 hosts with revision 1 in force and stable roles.
pub fn settled(seed: u64) -> (VirtualFleet, FleetContent) {
    settled_as(spec(), seed)
}

pub fn settled_as(spec: FleetSpec, seed: u64) -> (VirtualFleet, FleetContent) {
    let content = FleetContent::new(&spec);
    let mut fleet = VirtualFleet::new(spec, seed);
    fleet.keep_logs = true;
    fleet.publish(&content);
    fleet.start_all(Duration::from_millis(500));
    let took = fleet.run_until(content.version(), secs(60));
    assert!(
        took.is_some(),
        "seed {seed}: {:?} lack revision 1",
        fleet.hosts_without(content.version())
    );
    fleet.run_for(secs(40));
    (fleet, content)
}

pub fn change(fleet: &mut VirtualFleet, content: &mut FleetContent, service: usize) {
    content.change_slots(service);
    fleet.publish(content);
}

#[track_caller]
pub fn converge(fleet: &mut VirtualFleet, content: &FleetContent, within: Duration) -> Duration {
    let took = fleet.run_until(content.version(), within);
    let outdated_hosts = fleet.hosts_without(content.version());
    took.unwrap_or_else(|| {
        panic!(
            "{outdated_hosts:?} lack revision {}",
            content.version().revision
        )
    })
}

pub fn ranked(fleet: &VirtualFleet, rank: usize) -> Vec<usize> {
    let count = fleet.spec.host_count();
    let rank_of = |host: &usize| {
        fleet
            .host(*host)
            .machine()
            .and_then(|machine| machine.roles().rank)
    };
    (0..count)
        .filter(|host| rank_of(host).is_some_and(|held| held < rank))
        .collect()
}

pub fn payload(fleet: &VirtualFleet, hosts: std::ops::Range<usize>) -> u64 {
    hosts.map(|host| fleet.host(host).payload).sum()
}
