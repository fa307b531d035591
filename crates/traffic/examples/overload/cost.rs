//! Measures the time (on the real clock) and memory of the state machines.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use radishgauge_config::model::Criticality;
use radishgauge_standin::virtual_load::fleet;
use radishgauge_traffic::AdmissionDecision;
use radishgauge_traffic::AdmissionRequest;
use radishgauge_traffic::CallContext;
use radishgauge_traffic::CallOutcome;
use radishgauge_traffic::HomeRule;
use radishgauge_traffic::PickRequest;
use radishgauge_traffic::TargetAdmission;
use radishgauge_traffic::TargetPicker;
use radishgauge_traffic::TriedTargets;
use radishgauge_traffic::admit::RunOutcome;
use radishgauge_traffic::pick::PickRule;
use radishgauge_traffic::snapshot::ServiceEntry;
use radishgauge_traffic::snapshot::TargetEntry;
use radishgauge_traffic::stats::TargetStats;

const CALLS: u32 = 1_000_000;

/// Prints the median of five runs in ns per call, and sizes in bytes.
pub fn cost(seed: u64) {
    let model = fleet::model(40);
    let snapshot = fleet::snapshot(&model, "addis-bole-0", 0);
    let service = snapshot.service_key("desk").expect("configured");
    let admission = snapshot
        .local_admission("desk")
        .expect("the host runs a target");
    let request = PickRequest {
        home: HomeRule::ANYWHERE,
        criticality: Criticality::Normal,
        bytes: 1000,
    };
    let tried = TriedTargets::default();
    for rule in [PickRule::TwoChoices, PickRule::LeastLoaded] {
        let picker = TargetPicker::with_rule(rule, seed, 0);
        let pick = |number: u32| {
            let now = Duration::from_micros(u64::from(number));
            let picked = picker.pick(&snapshot, service, &request, &tried, now);
            let picked = picked.expect("targets are there");
            picked.finish(CallOutcome::Answered { capacity: 20 }, now);
        };
        println!("pick_and_finish {rule:?} {} ns", median(pick));
    }
    let admit = |number: u32| run_one(admission, Duration::from_micros(u64::from(number)));
    println!("admit_and_finish {} ns", median(admit));
    let picker = TargetPicker::new(seed, 0);
    let all = |number: u32| {
        let now = Duration::from_micros(u64::from(number));
        let picked = picker.pick(&snapshot, service, &request, &tried, now);
        run_one(admission, now);
        let picked = picked.expect("targets are there");
        picked.finish(CallOutcome::Answered { capacity: 20 }, now);
    };
    println!("pick_admit_finish {} ns", median(all));
    let threads = 4;
    let start = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| (0..CALLS).for_each(all));
        }
    });
    let spent = start.elapsed().as_nanos() / u128::from(CALLS * threads);
    println!("pick_admit_finish with {threads} threads {spent} ns of all for each call");
    let route = |_| {
        let key = snapshot.routes().find("GET", "/orders/7/photos/1");
        let _ = black_box(key);
    };
    println!("route {} ns", median(route));
    let header = "deadline=1500;depth=2;call=9f;tenant=acme;home=addis,bahir";
    let context = |_| {
        let context: CallContext = black_box(header).parse().expect("valid");
        black_box(context.to_string());
    };
    println!("context_parse_and_format {} ns", median(context));
    let start = Instant::now();
    for _ in 0..100 {
        black_box(snapshot.rebuild(&model, &Default::default(), 2, Duration::ZERO));
    }
    println!("rebuild_40_targets {} ns", start.elapsed().as_nanos() / 100);
    memory();
    println!(
        "bytes: service {} target {} statistics {} admission {}",
        size_of::<ServiceEntry>(),
        size_of::<TargetEntry>(),
        size_of::<TargetStats>(),
        size_of::<TargetAdmission>(),
    );
}

/// Prints the resident memory of a snapshot with its statistics, per target.
fn memory() {
    const TARGETS: usize = 200_000;
    let model = fleet::model(TARGETS);
    let before = resident();
    let snapshot = fleet::snapshot(&model, "caller", 0);
    if let (Some(before), Some(after)) = (before, resident()) {
        let bytes = after.saturating_sub(before) / TARGETS as u64;
        println!("resident bytes for each target {bytes}");
    }
    drop(black_box(snapshot));
}

/// Returns the resident memory of this process in bytes, on Linux.
fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}

fn run_one(admission: &TargetAdmission, now: Duration) {
    let request = AdmissionRequest {
        criticality: Criticality::Normal,
        deadline: now + Duration::from_secs(1),
        suspect: false,
    };
    // With several threads and a cold target, some requests are queued or
    // refused.
    let ticket = match admission.admit(&request, now) {
        AdmissionDecision::Run(ticket) => ticket,
        AdmissionDecision::Wait(waiter) => {
            admission.stop_waiting(&waiter);
            return;
        }
        AdmissionDecision::Refuse(_) => return,
    };
    let ticket = ticket.hand_over(now);
    let done = now + Duration::from_millis(10);
    let mut wakes = admission.finish(ticket, RunOutcome::Answered, done);
    while let Some(wake) = wakes.pop() {
        if let Ok(ticket) = wake.decision {
            wakes.extend(admission.cancel(ticket, done));
        }
    }
}

fn median<F>(mut step: F) -> u128
where
    F: FnMut(u32),
{
    let mut runs: Vec<u128> = (0..5)
        .map(|_| {
            let start = Instant::now();
            for number in 0..CALLS {
                step(number);
            }
            start.elapsed().as_nanos() / u128::from(CALLS)
        })
        .collect();
    runs.sort_unstable();
    runs[2]
}
