//! The adaptive limit and the ramp as machines of their own.

use radishgauge_traffic::TargetRamp;
use radishgauge_traffic::limit::ConcurrencyLimit;

use crate::fleet::ms;

/// Response time of a target that sustains `sustained` requests at once: beyond
/// that they share it.
fn response(limit: u32, sustained: u32) -> u64 {
    20 * u64::from(limit.max(sustained)) / u64::from(sustained)
}

/// Guards against a limit that stays at the declared slots when the target
/// bears less, that never comes back, or that exceeds them.
#[test]
fn limit_follows_what_the_target_sustains() {
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

/// Guards against an idle target that loses its slots to noise, and against a
/// service that became slower for good and stays limited.
#[test]
fn limit_forgets_an_old_response_time() {
    let mut limit = ConcurrencyLimit::new(20);
    for _ in 0..2000 {
        limit.record(ms(10), 20);
    }
    for _ in 0..100_000 {
        limit.record(ms(40), limit.limit());
    }
    assert_eq!(limit.limit(), 20);
}

/// Guards against a ramp that rises by time alone, while nothing shows that the
/// target bears more, or while its responses are bad.
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
        ramp.record_failure();
    }
    assert_eq!(ramp.limit(), 2);
}

/// Guards against a ramp that never ends at full rate, where each step has some
/// expensive requests.
#[test]
fn rare_slow_responses_do_not_hold_the_ramp() {
    let mut ramp = TargetRamp::new(2, 20, ms(2000), ms(0));
    for number in 0..9000 {
        let took = if number % 100 == 99 { 90 } else { 20 };
        ramp.record(ms(took), ms(number));
    }
    assert!(!ramp.is_cold());
}

/// Guards against a target that is slower for good and is ramped for ever.
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
    assert!(run(100, 10));
    assert!(!run(100, 4000));
}
