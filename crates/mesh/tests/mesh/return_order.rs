use std::time::Duration;

use radishgauge_mesh::ReturnOrder;
use radishgauge_mesh::return_order;
use radishgauge_mesh::return_order::RefusedRequest;
use radishgauge_mesh::spare_forecast::SpareCapacity;
use radishgauge_mesh::spare_forecast::SpareForecast;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// The requests a second that the spare capacity serves.
const RATE: f64 = 20.0;

/// The start of the present busy period; the one before lasted for 4 s.
const BUSY_FROM: u64 = 10_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the forecast at the time `until`, with busy periods from 4 s to 8 s and from
/// [`BUSY_FROM`].
fn forecast(until: u64) -> SpareForecast {
    let mut forecast = SpareForecast::default();
    for now in (0..=until).step_by(100) {
        let is_busy = (4_000..8_000).contains(&now) || now >= BUSY_FROM;
        let spare = match is_busy {
            true => SpareCapacity::default(),
            false => SpareCapacity {
                fraction: 0.5,
                rate: RATE,
            },
        };
        forecast.observe(spare, ms(now));
    }
    forecast
}

/// Returns when 60 callers return that are refused at the time `now`, one each
/// millisecond, and wait for `time_left`.
fn returns(forecast: &SpareForecast, time_left: u64, now: u64) -> Vec<u64> {
    let mut order = ReturnOrder::default();
    let mut random = Pcg32::seed_from_u64(1);
    let refused = (now..now + 60).map(|now| {
        let request = RefusedRequest {
            hint: ms(60),
            time_left: ms(time_left),
        };
        let draw = random.random_range(0.0..1.0);
        let time = order.assign(&request, forecast, 0, draw, ms(now));
        now + time.as_millis() as u64
    });
    refused.collect()
}

/// Returns the greatest number of returns within 500 ms.
fn most_within_half_second(returns: &[u64]) -> usize {
    let near = |first: u64| {
        let within = first..first + 500;
        returns.iter().filter(|at| within.contains(*at)).count()
    };
    returns.iter().map(|first| near(*first)).max().unwrap()
}

/// Guards against a wave of refused callers that returns while nothing is spare, or all
/// at once. The baseline is the time that targets name, varied at random.
#[test]
fn wave_of_refused_callers_is_spread_over_the_spare_capacity() {
    let now = BUSY_FROM + 1_500;
    let returns = returns(&forecast(now), 18_000, now);
    let first = returns.iter().min().unwrap();
    assert!(*first >= BUSY_FROM + 4_000, "{first}");
    let latest = returns.iter().max().unwrap();
    assert!(
        *latest <= now + 60 + 6_000,
        "callers honour a third: {latest}"
    );
    let most = most_within_half_second(&returns);
    assert!(most <= 2 * (RATE * 0.5) as usize, "{most} return together");
    let baseline: Vec<u64> = (0..60)
        .map(|number| now + number + return_order::spread(ms(60), 0.5).as_millis() as u64)
        .collect();
    assert_eq!(most_within_half_second(&baseline), 60);
}

/// Guards against callers that are told to wait for capacity which is spare only after
/// they have given up, or of which nothing is known.
#[test]
fn caller_without_a_chance_returns_as_targets_say() {
    let now = BUSY_FROM + 1_500;
    for at in returns(&forecast(now), 1_500, now) {
        assert!(at <= now + 60 + 90, "{at}");
    }
    for at in returns(&SpareForecast::default(), 12_000, now) {
        assert!(at <= now + 60 + 90, "{at}");
    }
    // The reports are old: all owners may have ended.
    for at in returns(&forecast(now), 12_000, now + 5_000) {
        assert!(at <= now + 5_000 + 60 + 90, "{at}");
    }
    assert_eq!(return_order::spread(ms(1), 0.0), ms(50));
}
