//! Tests of the concurrency limit and the ramp in isolation.

use radishgauge_traffic::TargetRamp;
use radishgauge_traffic::limit::ConcurrencyLimit;
use rand::Rng;
use rand_pcg::Pcg64;

use crate::fleet::ms;

/// Returns the response time in ms of a target that sustains `sustained`
/// concurrent requests; it grows in proportion beyond that.
fn response(limit: u32, sustained: u32) -> u64 {
    20 * u64::from(limit.max(sustained)) / u64::from(sustained)
}

/// Guards against a limit that stays at the declared slots when the target
/// sustains less, that doesn't recover, or that exceeds the declared slots.
#[test]
fn limit_follows_sustained_concurrency() {
    let mut limit = ConcurrencyLimit::new(20);
    let mut run = |sustained: u32, responses: u32| {
        for _ in 0..responses {
            let running = limit.limit();
            limit.record(ms(response(running, sustained)), running);
            assert!((1..=20).contains(&limit.limit()));
        }
        limit.limit()
    };
    assert_eq!(run(20, 2000), 20);
    let degraded = run(5, 1000);
    assert!(
        (4..=12).contains(&degraded),
        "limit {degraded} for 5 sustained"
    );
    assert_eq!(run(20, 2000), 20);
}

/// Guards against a limit that is lowered by the noise of the response times in
/// a service that has cheap and expensive requests.
#[test]
fn mixed_request_costs_do_not_lower_the_limit() {
    let mut limit = ConcurrencyLimit::new(20);
    let mut random = Pcg64::new(9, 0);
    for _ in 0..100_000 {
        let took = if random.random_bool(0.05) { 210 } else { 10 };
        limit.record(ms(took), 20);
        assert!(limit.limit() >= 16, "limit {}", limit.limit());
    }
}

/// Guards against a limit that stays low for a service that has become
/// permanently slower.
#[test]
fn limit_recovers_after_a_permanent_slowdown() {
    let mut limit = ConcurrencyLimit::new(20);
    for _ in 0..2000 {
        limit.record(ms(10), 20);
    }
    for _ in 0..100_000 {
        limit.record(ms(40), limit.limit());
    }
    assert_eq!(limit.limit(), 20);
}

/// Guards against a ramp that rises with time alone, without any response, or
/// while many responses are bad.
#[test]
fn ramp_rises_only_on_good_responses() {
    let mut ramp = TargetRamp::new(2, 20, ms(2000), ms(0));
    ramp.advance(ms(60_000));
    assert_eq!(ramp.limit(), 2);
    let mut now = 60_000;
    let mut limits = Vec::new();
    while ramp.is_cold() {
        now += 100;
        ramp.record(ms(10), ms(now));
        if limits.last() != Some(&ramp.limit()) {
            limits.push(ramp.limit());
        }
    }
    assert_eq!(limits, [2, 4, 8, 16, 20]);
    assert!(now - 60_000 <= 8200, "the ramp took {} ms", now - 60_000);
    ramp.restart(ms(now));
    for _ in 0..100 {
        now += 100;
        ramp.record(ms(10), ms(now));
        ramp.record_failure(ms(now));
    }
    assert_eq!(ramp.limit(), 2);
}

/// Guards against a ramp that never ends because a cold target with empty caches
/// is slower than a warm one, and against one that keeps doubling although the
/// response times show that the target doesn't sustain the limit.
#[test]
fn cold_ramp_is_relative_to_its_fastest_step() {
    let mut ramp = TargetRamp::new(2, 20, ms(2000), ms(0));
    let mut now = 0;
    let mut run = |ramp: &mut TargetRamp, took: u64, responses: u64| {
        for _ in 0..responses {
            now += 10;
            ramp.record(ms(took), ms(now));
        }
        ramp.limit()
    };
    assert_eq!(run(&mut ramp, 20, 1000), 20);
    ramp.restart(ms(10_000));
    assert_eq!(run(&mut ramp, 100, 202), 4);
    assert_eq!(run(&mut ramp, 200, 200), 2);
    assert_eq!(run(&mut ramp, 100, 200), 4);
    assert_eq!(run(&mut ramp, 100, 600), 20);
}

/// Guards against a ramp whose first step ends while the target is still down.
#[test]
fn ramp_begins_with_the_first_response() {
    let mut ramp = TargetRamp::new(2, 20, ms(2000), ms(0));
    ramp.record(ms(20), ms(5000));
    ramp.record(ms(20), ms(6900));
    assert_eq!(ramp.limit(), 2);
    ramp.record(ms(20), ms(7000));
    assert_eq!(ramp.limit(), 4);
}

/// Guards against a ramp that never ends at full rate because each step contains
/// some expensive requests.
#[test]
fn rare_slow_responses_do_not_stall_the_ramp() {
    let mut ramp = TargetRamp::new(2, 20, ms(2000), ms(0));
    for number in 0..9000 {
        let took = if number % 100 == 99 { 90 } else { 20 };
        ramp.record(ms(took), ms(number));
    }
    assert!(!ramp.is_cold());
}

/// Guards against a ramp that never ends for a service that has become
/// permanently slower.
#[test]
fn ramp_ends_for_a_service_that_became_slower() {
    let mut ramp = TargetRamp::new(2, 20, ms(2000), ms(0));
    let mut now = 0;
    let mut run = |took: u64, responses: u32| {
        for _ in 0..responses {
            now += 50;
            ramp.record(ms(took), ms(now));
        }
        ramp.is_cold()
    };
    assert!(!run(10, 1000));
    assert!(run(100, 16));
    assert!(!run(100, 4000));
}
