use std::time::Duration;

use radishgauge_mesh::ColdRateLimit;

/// Guards against more requests to a cold target in any second than its declared
/// rate, including the first second after it was considered warm.
#[test]
fn no_second_exceeds_declared_rate() {
    let mut limit = ColdRateLimit::default();
    let mut sent: Vec<Duration> = Vec::new();
    for tick in 0..6_000_u64 {
        let now = Duration::from_millis(tick);
        if tick == 1_000 {
            limit.set_cold(Duration::from_secs(4), 21.0);
        }
        // Warm: one request every 100 ms. Cold: as many as are allowed.
        let wants = limit.is_cold(now) || tick % 100 == 0;
        while wants && limit.next_allowed(now) <= now {
            limit.record(now);
            sent.push(now);
            if !limit.is_cold(now) {
                break;
            }
        }
    }
    let cold = Duration::from_secs(1)..Duration::from_secs(4);
    for from in sent.iter().filter(|time| cold.contains(time)) {
        let window = *from..*from + Duration::from_secs(1);
        let count = sent
            .iter()
            .filter(|time| window.contains(time) && cold.contains(time))
            .count();
        assert!(count <= 21, "{count} from {from:?}");
    }
    let during = sent.iter().filter(|time| cold.contains(time)).count();
    assert!(during >= 60, "only {during} were sent while cold");
}

/// Guards against a limit that is still active after the cold period.
#[test]
fn warm_target_has_no_limit() {
    let mut limit = ColdRateLimit::default();
    let until = Duration::from_secs(3);
    limit.set_cold(until, 1.0);
    limit.record(Duration::ZERO);
    assert!(limit.next_allowed(Duration::ZERO) > Duration::ZERO);
    assert_eq!(limit.next_allowed(until), until);
    limit.set_cold(until * 2, 1.0);
    limit.set_warm();
    assert_eq!(limit.next_allowed(until), until);
}
