//! Tests of leases for long bodies, with a simulation of uploads that exceed the
//! link of a host.

use std::time::Duration;

use radishgauge_mesh::body_admission::BodyAdmission;
use radishgauge_mesh::body_admission::BodyLease;

/// The capacity of the link in bytes a millisecond.
const LINK: f64 = 4_000.0;
const BODY: f64 = 280_000.0;
const OBJECTIVE: Duration = Duration::from_secs(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The uploads of one simulation, counted by outcome.
#[derive(Debug, Default)]
struct UploadCounts {
    in_time: u32,
    late: u32,
    refused: u32,
    /// The greatest number of concurrent bodies on the link.
    max_concurrent: usize,
}

/// Simulates 10 s in which bodies arrive at twice the capacity of the link, which
/// is divided evenly among them. Without leases, all bodies are sent at
/// once, as the baseline.
fn simulate(mut admission: Option<BodyAdmission>) -> UploadCounts {
    let mut counts = UploadCounts::default();
    let mut under_way: Vec<(Duration, f64, BodyLease)> = Vec::new();
    let interval = (BODY / LINK / 2.0) as u64;
    for tick in 0..10_000 {
        let now = ms(tick);
        if tick % interval == 0 {
            match admission.as_mut().map(|admission| admission.grant(now)) {
                Some(Ok(lease)) => {
                    admission.as_mut().unwrap().begin(lease, now);
                    under_way.push((now, BODY, lease));
                }
                Some(Err(_)) => counts.refused += 1,
                None => under_way.push((now, BODY, BodyLease(tick))),
            }
        }
        counts.max_concurrent = counts.max_concurrent.max(under_way.len());
        let bytes_each = LINK / under_way.len().max(1) as f64;
        under_way.retain_mut(|(since, left, lease)| {
            *left -= bytes_each;
            if *left > 0.0 {
                return true;
            }
            if now - *since <= OBJECTIVE {
                counts.in_time += 1;
            } else {
                counts.late += 1;
            }
            if let Some(admission) = &mut admission {
                admission.end(*lease, now);
            }
            false
        });
    }
    counts
}

/// Guards against uploads that overload a link until all are late: as many as the
/// link can carry must arrive in time, and the rest is refused before it is sent.
#[test]
fn leases_keep_uploads_on_overloaded_link_in_time() {
    let ours = simulate(Some(BodyAdmission::default()));
    let baseline = simulate(None);
    let capacity = 10_000.0 * LINK / BODY;
    assert!(f64::from(ours.in_time) >= 0.9 * capacity, "{ours:?}");
    assert!(
        ours.in_time >= 2 * baseline.in_time,
        "{ours:?}, {baseline:?}"
    );
    assert_eq!(ours.late, 0, "{ours:?}");
    // Short requests wait behind a few bodies only.
    assert!(
        ours.max_concurrent * 10 <= baseline.max_concurrent,
        "{baseline:?}"
    );
}

/// Guards against a lease that never expires because its sender crashed before it
/// sent the body.
#[test]
fn unused_lease_expires() {
    let mut admission = BodyAdmission::default();
    while admission.grant(ms(0)).is_ok() {}
    assert!(admission.grant(ms(400)).is_err());
    assert!(admission.grant(ms(500)).is_ok());
}

/// Guards against refusals whose retry time is long before the end of a
/// transfer.
#[test]
fn refusal_returns_mean_transfer_time() {
    let mut admission = BodyAdmission::default();
    for _ in 0..20 {
        let lease = admission.grant(ms(0)).unwrap();
        admission.begin(lease, ms(0));
        admission.end(lease, ms(800));
    }
    while admission.grant(ms(0)).is_ok() {}
    let retry_after = admission.grant(ms(0)).unwrap_err();
    assert!((ms(700)..ms(900)).contains(&retry_after), "{retry_after:?}");
}
