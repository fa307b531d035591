//! The case of this folder; its claim is in claim.txt.

use crate::Verdict;
use crate::cases::*;
use crate::fleet;
use crate::fleet::Fleet;
use crate::record::Record;
use std::net::SocketAddr;

/// CONFIG: another writer's entries name a service that no configuration has.
pub fn play(with_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let hosts = [8, 9, 10, 11].map(|host| [127, 77, 5, host]);
    let mut fleet = Fleet::prepare(four_machines(hosts, 20), &ZONES, 110, record)?;
    let _entrance = start(&mut fleet, &[READS_AT_A])?;
    if with_trouble {
        for (key, machine, zone) in [("agent-1", 0, "zb01"), ("agent-2", 2, "za01")] {
            let address = SocketAddr::new(fleet.machines[machine].ip, 9100);
            let entry = fleet::entry("node-agent", address, zone, 1);
            fleet.store.put(&format!("servers/{key}"), entry.as_bytes());
        }
    }
    std::thread::sleep(STABLE_WINDOW + MAX_STRETCH);
    let verdict = check_move(&fleet);
    fleet.record_logs(&["SOURCE", "source", "role="], 8);
    verdict
}
