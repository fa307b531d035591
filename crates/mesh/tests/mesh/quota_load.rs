//! Plays the loads of tenants on a simulated fleet of 78 hosts in four failure domains of
//! two regions, and checks the bound on each window and the outcome for callers. The
//! baseline gives each host a fixed share of the limit.

mod fleet;

use std::time::Duration;

use fleet::FleetChange;
use fleet::FleetRun;
use fleet::HOSTS;
use fleet::LinkCut;
use fleet::LoadPlan;
use fleet::TenantLoad;
use fleet::domain_of;
use fleet::half_of;
use radishgauge_mesh::TenantLimit;
use radishgauge_mesh::quota::QuotaBounds;

const LARGE: TenantLimit = TenantLimit {
    per_second: 160.0,
    burst: 160.0,
};

const SMALL: TenantLimit = TenantLimit {
    per_second: 4.0,
    burst: 4.0,
};

fn plan(limit: TenantLimit, rate: fn(f64) -> f64, weight: fn(usize, f64) -> f64) -> LoadPlan {
    LoadPlan {
        seed: 1,
        seconds: 20,
        hosts: HOSTS,
        bounds: QuotaBounds::default(),
        tenants: vec![TenantLoad {
            limit,
            rate,
            weight,
        }],
        changes: Vec::new(),
    }
}

/// Plays a load and checks the bound on every window.
fn play_within_bound(name: &str, plan: &LoadPlan) -> FleetRun {
    let run = fleet::play(plan);
    let window = plan.bounds.window;
    for (tenant, load) in plan.tenants.iter().enumerate() {
        let greatest = run.greatest_in_window(tenant, window, Duration::ZERO);
        let bound = plan.bounds.greatest(load.limit);
        assert!(greatest as f64 <= bound, "{name}: {greatest} of {bound}");
    }
    let greatest = run.greatest_in_window(0, window, Duration::ZERO);
    let bound = plan.bounds.greatest(plan.tenants[0].limit);
    println!(
        "{name}: admitted {:.3} (fixed shares {:.3}), greatest in a window {greatest} of {bound}, wait p50 {:?} p99 {:?}, {:.0?} B/s a daemon (mean, greatest), {} messages",
        run.admitted_fraction(0.0, plan.seconds as f64),
        fleet::play_static_shares(plan).admitted_fraction(0.0, plan.seconds as f64),
        run.wait(0.5),
        run.wait(0.99),
        run.bytes_per_daemon(),
        run.messages,
    );
    run
}

fn baseline_fraction(plan: &LoadPlan) -> f64 {
    let run = fleet::play_static_shares(plan);
    run.admitted_fraction(2.0, plan.seconds as f64)
}

/// Some hosts get many times as many requests as others.
fn uneven(host: usize, _: f64) -> f64 {
    1.0 + f64::from(u8::from(host.is_multiple_of(7))) * 10.0
}

fn first_host(host: usize, _: f64) -> f64 {
    f64::from(u8::from(host == 0))
}

/// Each second, other hosts of another failure domain get most requests.
fn shifting(host: usize, at: f64) -> f64 {
    let turn = at as usize;
    let is_busy = domain_of(host) == turn % 4 && (host / 4 + turn).is_multiple_of(3);
    1.0 + f64::from(u8::from(is_busy)) * 40.0
}

/// Guards against refusals of a tenant that keeps to its limit while its requests arrive
/// unevenly, as they do on ordinary days.
#[test]
fn uneven_load_below_the_limit_is_admitted() {
    let large = plan(LARGE, |_| 100.0, uneven);
    let run = play_within_bound("uneven, large", &large);
    assert!(run.admitted_fraction(2.0, 20.0) >= 0.99);
    assert!(baseline_fraction(&large) < 0.95);
    let small = plan(SMALL, |_| 2.5, uneven);
    let run = play_within_bound("uneven, small", &small);
    assert!(run.admitted_fraction(2.0, 20.0) >= 0.9);
}

/// Guards against a tenant at one host that gets one part in 78 of its limit.
#[test]
fn load_at_one_host_is_admitted() {
    let large = plan(LARGE, |_| 100.0, first_host);
    let run = play_within_bound("one host, large", &large);
    assert!(run.admitted_fraction(2.0, 20.0) >= 0.97);
    assert!(baseline_fraction(&large) < 0.1);
    let small = plan(SMALL, |_| 2.5, first_host);
    let run = play_within_bound("one host, small", &small);
    assert!(run.admitted_fraction(2.0, 20.0) >= 0.85);
    assert!(baseline_fraction(&small) < 0.2);
}

/// Guards against tokens that stay where the load was a second ago.
#[test]
fn shifting_load_is_admitted() {
    let large = plan(LARGE, |_| 100.0, shifting);
    let run = play_within_bound("shifting, large", &large);
    assert!(run.admitted_fraction(2.0, 20.0) >= 0.97);
    assert!(baseline_fraction(&large) < 0.7);
}

/// Guards against a hot tenant that exceeds its bound, gets less than its limit, or costs
/// a message for each refused request.
#[test]
fn hot_tenant_gets_its_limit_and_no_more() {
    let rate = |at: f64| {
        if (5.0..11.5).contains(&at) {
            1000.0
        } else {
            100.0
        }
    };
    let large = plan(LARGE, rate, uneven);
    let run = play_within_bound("hot, large", &large);
    let (_, admitted) = run.counts(5.0, 11.5);
    assert!(admitted as f64 >= 0.95 * 160.0 * 6.5, "{admitted}");
    assert!(run.messages < run.requests.len() as u64);
    let small = plan(
        SMALL,
        |at| if (5.0..11.5).contains(&at) { 25.0 } else { 2.5 },
        uneven,
    );
    let run = play_within_bound("hot, small", &small);
    let (_, admitted) = run.counts(5.0, 11.5);
    assert!(admitted as f64 >= 0.8 * 4.0 * 6.5, "{admitted}");
}

/// Guards against callers that are all told to come back at the same time.
#[test]
fn refused_callers_come_back_one_after_the_other() {
    let hot = plan(LARGE, |_| 1000.0, uneven);
    let run = fleet::play(&hot);
    let refused = run
        .requests
        .iter()
        .filter(|request| !request.retry_after.is_zero());
    let mut returns: Vec<u64> = refused
        .map(|request| (request.at + request.retry_after).as_millis() as u64 / 500)
        .collect();
    returns.sort_unstable();
    let greatest = returns
        .chunk_by(|a, b| a == b)
        .map(<[u64]>::len)
        .max()
        .unwrap();
    // 1000 requests a second arrive, so a burst of returns would be far above 500 in half
    // a second.
    assert!(greatest <= 750, "{greatest}");
}

/// Guards against the loss of a tenant's limit, and against a second burst, when the host
/// of its owner is killed and comes back.
#[test]
fn killed_owner_is_replaced() {
    let mut killed = plan(LARGE, |_| 100.0, uneven);
    killed.changes = vec![(5.0, FleetChange::KillOwner), (10.0, FleetChange::StartAll)];
    let run = play_within_bound("owner killed", &killed);
    assert!(run.admitted_fraction(5.0, 6.0) >= 0.8);
    assert!(run.admitted_fraction(6.0, 20.0) >= 0.98);
    let mut hot = plan(LARGE, |_| 600.0, uneven);
    hot.changes = killed.changes;
    let run = play_within_bound("owner killed, hot", &hot);
    let (_, admitted) = run.counts(6.0, 20.0);
    assert!(admitted as f64 >= 0.93 * 160.0 * 14.0, "{admitted}");
}

/// Guards against a paused owner that resumes with tokens which its successor has granted.
#[test]
fn paused_owner_resumes_without_tokens() {
    for pause_ms in [200, 600, 1500, 4000] {
        let mut paused = plan(LARGE, |_| 600.0, uneven);
        let pause = Duration::from_millis(pause_ms);
        paused.changes = vec![
            (5.0, FleetChange::PauseOwner(pause)),
            (10.5, FleetChange::PauseOwner(pause)),
        ];
        let run = play_within_bound(&format!("owner paused for {pause_ms} ms"), &paused);
        let (_, admitted) = run.counts(5.0, 20.0);
        assert!(admitted as f64 >= 0.9 * 160.0 * 15.0, "{admitted}");
    }
}

/// Guards against two sides of a partition that each grant the whole limit.
#[test]
fn sides_of_a_partition_share_the_limit() {
    for cut in [LinkCut::Regions, LinkCut::Halves, LinkCut::FirstHost] {
        let mut hot = plan(LARGE, |_| 600.0, uneven);
        hot.changes = vec![
            (5.0, FleetChange::Cut(cut)),
            (13.0, FleetChange::Cut(LinkCut::None)),
        ];
        let run = play_within_bound(&format!("hot, cut {cut:?}"), &hot);
        let (_, admitted) = run.counts(7.0, 13.0);
        assert!(admitted as f64 >= 0.85 * 160.0 * 6.0, "{cut:?}: {admitted}");
        let mut even = plan(LARGE, |_| 90.0, |_, _| 1.0);
        even.changes = hot.changes;
        let run = play_within_bound(&format!("even, cut {cut:?}"), &even);
        assert!(run.admitted_fraction(7.0, 20.0) >= 0.97, "{cut:?}");
    }
    // A load at one side only gets that side's part.
    let mut half = plan(
        LARGE,
        |_| 600.0,
        |host, _| f64::from(u8::from(half_of(host) == 0)),
    );
    half.changes = vec![(5.0, FleetChange::Cut(LinkCut::Halves))];
    let run = play_within_bound("half, cut", &half);
    let (_, admitted) = run.counts(8.0, 20.0);
    assert!((admitted as f64) < 0.6 * 160.0 * 12.0, "{admitted}");
}

/// Guards against a lowered limit that is enforced only when buckets have run empty.
#[test]
fn lowered_limit_holds_after_a_window() {
    let lowered = TenantLimit {
        per_second: 40.0,
        burst: 40.0,
    };
    let mut hot = plan(LARGE, |_| 600.0, uneven);
    hot.changes = vec![(8.0, FleetChange::Limit(lowered))];
    let run = play_within_bound("lowered", &hot);
    let from = Duration::from_secs(13);
    let greatest = run.greatest_in_window(0, hot.bounds.window, from);
    let bound = hot.bounds.greatest(lowered);
    assert!(greatest as f64 <= bound, "{greatest} of {bound}");
}

/// Guards against a restart of all daemons that repeats the burst.
#[test]
fn restart_of_all_daemons_repeats_no_burst() {
    let mut hot = plan(LARGE, |_| 600.0, uneven);
    hot.changes = vec![
        (6.0, FleetChange::RestartAll),
        (8.0, FleetChange::RestartAll),
    ];
    let run = play_within_bound("all restarted, hot", &hot);
    let (_, admitted) = run.counts(8.0, 20.0);
    assert!(admitted as f64 >= 0.95 * 160.0 * 12.0, "{admitted}");
    let mut even = plan(LARGE, |_| 90.0, |_, _| 1.0);
    even.changes = hot.changes;
    let run = play_within_bound("all restarted, even", &even);
    assert!(run.admitted_fraction(6.0, 20.0) >= 0.97);
}

/// Guards against refusals below the limit, and against an owner that counts as gone, when
/// the owner has a tenth of a core: it runs for 10 ms and is stopped for 90 ms.
#[test]
fn owner_with_a_tenth_of_a_core_copes() {
    let turns = |plan: &mut LoadPlan| {
        for turn in 0..150 {
            let pause = FleetChange::PauseOwner(Duration::from_millis(90));
            plan.changes.push((4.0 + f64::from(turn) * 0.1, pause));
        }
    };
    let mut usual = plan(LARGE, |_| 100.0, uneven);
    turns(&mut usual);
    let run = play_within_bound("slow owner", &usual);
    assert!(run.admitted_fraction(4.0, 19.0) >= 0.97);
    let mut hot = plan(LARGE, |_| 600.0, uneven);
    turns(&mut hot);
    let run = play_within_bound("slow owner, hot", &hot);
    let (_, admitted) = run.counts(4.0, 19.0);
    assert!(admitted as f64 >= 0.9 * 160.0 * 15.0, "{admitted}");
}

/// Guards against a roll-out that gives each new owner a burst: the daemons of all hosts
/// restart one after the other, while a tenant sends far more than its limit.
#[test]
fn restarts_one_after_the_other_repeat_no_burst() {
    for limit in [LARGE, SMALL] {
        let rate = if limit == LARGE { |_| 600.0 } else { |_| 25.0 };
        let mut hot = plan(limit, rate, uneven);
        for host in 0..HOSTS {
            let at = 4.0 + host as f64 * 0.1;
            hot.changes.push((at, FleetChange::Kill(host)));
            hot.changes.push((at + 0.35, FleetChange::StartAll));
        }
        play_within_bound(&format!("restarts in turn, {}/s", limit.per_second), &hot);
    }
}

/// Guards against a small tenant whose bound, of which the slack is the greatest part, is
/// exceeded in failures, or which gets nothing in them.
#[test]
fn small_tenant_survives_failures() {
    let cases = [
        vec![(5.0, FleetChange::KillOwner), (10.0, FleetChange::StartAll)],
        vec![(5.0, FleetChange::PauseOwner(Duration::from_secs(2)))],
        vec![
            (5.0, FleetChange::Cut(LinkCut::Halves)),
            (13.0, FleetChange::Cut(LinkCut::None)),
        ],
        vec![
            (5.0, FleetChange::Cut(LinkCut::Regions)),
            (13.0, FleetChange::Cut(LinkCut::None)),
        ],
        vec![
            (6.0, FleetChange::RestartAll),
            (8.0, FleetChange::RestartAll),
        ],
    ];
    for changes in cases {
        let name = format!("small, {:?}", changes[0].1);
        let mut hot = plan(SMALL, |_| 25.0, uneven);
        hot.changes.clone_from(&changes);
        play_within_bound(&format!("{name}, hot"), &hot);
        let mut usual = plan(SMALL, |_| 2.5, uneven);
        usual.changes = changes;
        let run = play_within_bound(&name, &usual);
        assert!(run.admitted_fraction(2.0, 20.0) >= 0.85, "{name}");
    }
}

/// The loads of 81 tenants: four large ones, the others of a few requests a second.
fn many_tenants() -> Vec<TenantLoad> {
    let large = TenantLoad {
        limit: LARGE,
        rate: |_| 100.0,
        weight: uneven,
    };
    let small = TenantLoad {
        limit: SMALL,
        rate: |_| 2.5,
        weight: uneven,
    };
    let mut tenants = vec![large; 4];
    tenants.resize(81, small);
    tenants
}

/// Guards against control traffic above 8 KB/s a daemon, of which other parts need some,
/// and against traffic that grows with the fleet while the load of each host is the same.
#[test]
fn control_traffic_stays_below_its_bound() {
    let mut bytes = Vec::new();
    for hosts in [39, 78, 156] {
        let mut many = plan(LARGE, |_| 100.0, uneven);
        many.seconds = 10;
        many.hosts = hosts;
        many.tenants = many_tenants();
        if hosts == 39 {
            many.tenants.truncate(42);
            many.tenants.drain(..2);
        } else if hosts == 156 {
            many.tenants.extend(many_tenants());
        }
        let run = play_within_bound(
            &format!("{} tenants, {hosts} hosts", many.tenants.len()),
            &many,
        );
        bytes.push(run.bytes_per_daemon().0);
        let (arrived, admitted) = (0..many.tenants.len())
            .map(|tenant| run.counts_of(tenant, 2.0, 10.0))
            .fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
        assert!(
            admitted as f64 >= 0.98 * arrived as f64,
            "{admitted} of {arrived}"
        );
    }
    assert!(bytes.iter().all(|bytes| *bytes < 8_000.0), "{bytes:?}");
    // Each request causes one exchange at most, however many hosts there are.
    assert!(bytes[2] < bytes[1] * 1.25, "{bytes:?}");
}
