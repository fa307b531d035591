//! Log events for conditions that are not visible to a single call: a target that
//! becomes cold, and calls that are shed.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol_str::SmolStr;

use crate::events;
use crate::node::DaemonNode;

/// The interval at which the targets on this host are checked.
const INTERVAL: Duration = Duration::from_secs(1);

/// The number of checks between two log events about shed calls, so that an
/// overload does not flood the log.
const SHED_LOG_ROUNDS: u32 = 10;

/// Checks the daemon's targets and counters until the daemon has stopped.
pub async fn run(node: Arc<DaemonNode>) {
    let mut cold: HashSet<SmolStr> = HashSet::new();
    let mut shed = 0;
    let mut rounds = 0;
    while !node.is_stopped() {
        tokio::time::sleep(INTERVAL).await;
        let Some(current) = node.state.current() else {
            continue;
        };
        for (service, admission) in current.snapshot.local_admissions() {
            if !admission.is_cold() {
                cold.remove(service);
            } else if cold.insert(service.clone()) {
                let limit = admission.limit();
                events::TARGET_COLD.emit(format_args!("service={service} limit={limit}"));
            }
        }
        rounds += 1;
        if rounds % SHED_LOG_ROUNDS == 0 {
            let total = node.meters.shed.load(Ordering::Relaxed);
            if total > shed {
                events::OVERLOADED.emit(format_args!("refused={}", total - shed));
            }
            shed = total;
        }
    }
}
