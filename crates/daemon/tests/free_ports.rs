//! The ports on which the daemons of the tests listen.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The number of ports; so many random ones of the system's range have some in common.
const PORTS: usize = 2_000;

fn assert_distinct<F>(find_free: F)
where
    F: Fn() -> SocketAddr,
{
    let found: BTreeSet<SocketAddr> = (0..PORTS).map(|_| find_free()).collect();
    assert_eq!(found.len(), PORTS);
}

/// Guards against tests that run at the same time and start daemons on the same port.
#[test]
fn free_ports_are_returned_once() {
    assert_distinct(common::free_tcp);
    assert_distinct(common::free_udp);
}
