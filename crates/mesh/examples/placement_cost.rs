//! Measures the time of one placement among 80 candidates: with targets of equal
//! speed, and with targets of different speeds.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use radishgauge_mesh::LoadReport;
use radishgauge_mesh::PlaceRequest;
use radishgauge_mesh::RouteKey;
use radishgauge_mesh::TargetPlacer;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::SendOutcome;
use radishgauge_mesh::placement::TargetDistance;

const CANDIDATES: usize = 80;
const PLACEMENTS: u32 = 20_000;
const ROUNDS: usize = 5;

fn candidates() -> Vec<PlaceCandidate> {
    (0..CANDIDATES)
        .map(|index| PlaceCandidate {
            id: format!("i-{index:010}").into(),
            distance: TargetDistance::SameDomain,
            capacity: 18,
            is_scarce: false,
        })
        .collect()
}

/// Returns the mean time of a placement; `times` are the service times in ms that
/// the targets report in turn.
fn measure(times: &[u64]) -> Duration {
    let candidates = candidates();
    let route = RouteKey::new("shop", "read");
    let mut placer = TargetPlacer::new(1);
    let mut now = Duration::ZERO;
    for _ in 0..50 {
        now += Duration::from_millis(100);
        for (index, candidate) in candidates.iter().enumerate() {
            let time = Duration::from_millis(times[index % times.len()]);
            let load = LoadReport {
                limit: 18,
                service_time: Some(time),
                ..LoadReport::default()
            };
            placer.report(&candidate.id, load, now);
            placer.record_route_time(&candidate.id, route, time, now);
        }
    }
    let request = PlaceRequest {
        objective: Duration::from_millis(500),
        patience: Duration::from_millis(500),
        priority: 0,
        body_bytes: 0,
        route,
        receive_rate: u64::MAX,
    };
    let start = Instant::now();
    for _ in 0..PLACEMENTS {
        if let Ok(id) = placer.place(black_box(&candidates), &request, now) {
            let outcome = SendOutcome::Full;
            placer.finish(&id, TargetDistance::SameDomain, 0, outcome, now);
        }
    }
    start.elapsed() / PLACEMENTS
}

fn main() {
    for round in 1..=ROUNDS {
        let equal = measure(&[100]);
        let different = measure(&[50, 100, 100, 150]);
        println!("round {round}: equal {equal:?}, different {different:?}");
    }
}
