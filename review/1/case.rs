//! The case of this folder; its claim is in claim.txt.

use crate::Verdict;
use crate::cases::*;
use crate::fleet::Fleet;
use crate::record::Record;
use std::time::Duration;

/// How long the processes are down; the site's `kill_all` says 0.69 to 0.95 s.
const DOWN: Duration = Duration::from_millis(900);

/// RECOVER: another writer's item has a key with a space and a long value; then all
/// processes are killed at the same time.
pub fn play(with_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let hosts = free_hosts()?;
    let plans = four_machines(hosts, 20);
    let mut fleet = Fleet::prepare(plans, &ZONES, 110, record)?;
    let _entrance = start(&mut fleet, &[READS_AT_A])?;
    let load = Load::start(&fleet, 2, READ, Duration::from_millis(50));
    std::thread::sleep(Duration::from_secs(3));
    if with_trouble {
        // Bytes that cannot be read, within `provider.valueBytes`.
        fleet
            .store
            .put("servers/batch host 7", &vec![0xf7; 1_000_000]);
    }
    std::thread::sleep(Duration::from_secs(4));
    put_config(&fleet, 4, &[READS_AT_A]);
    for machine in &mut fleet.machines {
        machine.kill();
    }
    let killed = record.now();
    record.line("all processes were killed".to_owned());
    std::thread::sleep(DOWN);
    fleet.start_daemons()?;
    let back = record.now();
    std::thread::sleep(RECOVERY + Duration::from_secs(10));
    let attempts = load.stop();
    let (before, after): (Vec<_>, Vec<_>) = attempts
        .into_iter()
        .filter(|attempt| attempt.sent < killed || attempt.sent > back + RECOVERY)
        .partition(|attempt| attempt.sent < killed);
    fleet.record_logs(&["STORE", "store", "error"], 4);
    record.note(format!(
        "before the fault {} of {} requests were served",
        served(&before),
        before.len()
    ));
    record.note(format!(
        "of the requests sent later than 15 s after the machines were back, {} of {} were served",
        served(&after),
        after.len()
    ));
    if served(&before) * 4 < before.len() || after.len() < 100 {
        return Err("the fleet did not serve before the fault".to_owned());
    }
    Ok(match served(&after) * 4 < after.len() {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
