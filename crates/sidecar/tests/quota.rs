//! Tests of tenants' rate limits with several daemons, which exchange tokens on loopback.

mod common;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::StopPlan;
use radishgauge_mesh::TargetRecord;
use radishgauge_mesh::TenantDirectory;
use radishgauge_mesh::TenantLimit;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::config::RequestLimits;
use radishgauge_mesh::quota::HostReach;
use radishgauge_mesh::quota::QuotaBounds;
use radishgauge_mesh::quota::QuotaCounts;
use radishgauge_mesh::quota::RefusalCause;
use radishgauge_mesh::state_table::StateChange;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_net::CallerListener;
use radishgauge_net::HttpRequest;
use radishgauge_net::ListenLimits;
use radishgauge_net::clock::SystemClock;
use radishgauge_platform::HostSettings;
use radishgauge_sidecar::node::SidecarNode;
use radishgauge_sidecar::owner::TargetOwner;
use radishgauge_sidecar::peer_server;

/// The next free network number; the daemons of all fleets use the same port.
static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

const PEER_PORT: u16 = 7702;

/// A tolerance of nothing: no daemon admits anything without an owner, and new owners
/// start without tokens.
const STRICT: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    overage: 0.0,
    slack: 0.0,
};

const LIMIT: TenantLimit = TenantLimit {
    per_second: 60.0,
    burst: 60.0,
};

/// A daemon that answers others, until it is killed.
struct QuotaDaemon {
    ip: IpAddr,
    node: Arc<SidecarNode>,
    listener: Option<CallerListener>,
}

fn tenant(limit: Option<TenantLimit>) -> TenantPolicy {
    TenantPolicy {
        name: "bozi".into(),
        priority: None,
        limit,
        regions: Vec::new(),
    }
}

fn config(version: u64, limit: Option<TenantLimit>) -> StateChange {
    let config = MeshConfig::new(
        version,
        RequestLimits::default(),
        Vec::new(),
        IndexMap::new(),
    );
    let mut tenants = TenantDirectory::default();
    tenants.insert(tenant(limit), []).unwrap();
    StateChange::Config(Arc::new(config.with_tenants(tenants)))
}

fn config_without_tenants(version: u64) -> StateChange {
    let limits = RequestLimits::default();
    let config = MeshConfig::new(version, limits, Vec::new(), IndexMap::new());
    StateChange::Config(Arc::new(config))
}

fn record(ip: IpAddr, domain: &str) -> StateChange {
    StateChange::Target(TargetRecord {
        id: format!("i-{ip}").into(),
        service: "shop".into(),
        address: SocketAddr::new(ip, 4),
        failure_domain: domain.into(),
        capacity: 8,
        draining: false,
        version: "v1".into(),
        cold_left: Duration::ZERO,
        incarnation: None,
        sequence: 1,
    })
}

/// Starts a daemon in each of these failure domains.
fn start(domains: &[&str], bounds: QuotaBounds, limit: Option<TenantLimit>) -> Vec<QuotaDaemon> {
    let network = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    let process = (std::process::id() % 200) as u8 + 20;
    let ips: Vec<IpAddr> = (1..=domains.len() as u8)
        .map(|host| IpAddr::V4(Ipv4Addr::new(127, process, network, host)))
        .collect();
    let daemons = domains.iter().zip(&ips);
    daemons
        .map(|(domain, ip)| {
            let mut settings = common::settings();
            settings.failure_domain = (*domain).into();
            settings.domain_regions = domains
                .iter()
                .map(|domain| ((*domain).into(), "north".into()))
                .collect();
            settings.peer_address = SocketAddr::new(*ip, PEER_PORT);
            settings.quota_bounds = bounds;
            let node = new_node(settings);
            let mut changes = vec![config(1, limit)];
            let hosts = domains.iter().zip(&ips);
            changes.extend(hosts.map(|(domain, ip)| record(*ip, domain)));
            apply(&node, changes);
            let listener = Some(serve(&node));
            node.quota().maintain();
            QuotaDaemon {
                ip: *ip,
                node,
                listener,
            }
        })
        .collect()
}

fn new_node(settings: HostSettings) -> Arc<SidecarNode> {
    let clock = Arc::new(SystemClock::start());
    let owner = Arc::new(TargetOwner::new(&settings, clock.clone()));
    Arc::new(SidecarNode::new(settings, clock, owner, 1))
}

fn apply(node: &SidecarNode, changes: Vec<StateChange>) {
    let now = node.now();
    node.known().table.replace(changes, StateSource::Store, now);
}

fn serve(node: &Arc<SidecarNode>) -> CallerListener {
    let address = node.settings().peer_address;
    let node = Arc::clone(node);
    let handler = move |request: HttpRequest| peer_server::serve(Arc::clone(&node), request);
    CallerListener::bind(address, ListenLimits::default(), handler).unwrap()
}

/// Returns the index of the tenant's owner in the first daemon's failure domain.
fn owner_of(daemons: &[QuotaDaemon]) -> usize {
    let domain = daemons[0].node.settings().failure_domain.clone();
    let in_domain = daemons
        .iter()
        .filter(|daemon| daemon.node.settings().failure_domain == domain);
    let hosts: Vec<IpAddr> = in_domain.map(|daemon| daemon.ip).collect();
    let owner = HostReach::default().owner("bozi", &hosts).unwrap();
    daemons
        .iter()
        .position(|daemon| daemon.ip == owner)
        .unwrap()
}

/// Sends requests at a daemon at once, and returns the number of those admitted.
async fn admit(daemon: &QuotaDaemon, requests: usize) -> usize {
    let tenant = tenant(Some(LIMIT));
    let quota = daemon.node.quota();
    let admits = (0..requests).map(|_| quota.admit(&tenant));
    let decisions = futures_util::future::join_all(admits).await;
    decisions.iter().filter(|decision| decision.is_ok()).count()
}

/// Waits until a request is admitted at a daemon.
async fn wait_admitted(daemon: &QuotaDaemon) {
    let wait = async {
        while admit(daemon, 1).await == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let limit = Duration::from_secs(60);
    assert!(
        tokio::time::timeout(limit, wait).await.is_ok(),
        "{}",
        daemon.ip
    );
}

/// Guards against daemons that each grant the whole limit, and against tokens that do not
/// reach the daemon whose callers need them, from its own failure domain or another one.
#[tokio::test(flavor = "multi_thread")]
async fn tokens_reach_the_daemon_that_needs_them() {
    let daemons = start(
        &["north-a", "north-a", "north-a", "north-b", "north-c"],
        STRICT,
        Some(LIMIT),
    );
    let started = std::time::Instant::now();
    let asker = (owner_of(&daemons) + 1) % 3;
    let mut sum = 0;
    let reached = async {
        loop {
            // Longer than the buckets take to fill.
            tokio::time::sleep(Duration::from_millis(1500)).await;
            let admitted = admit(&daemons[asker], 200).await;
            sum += admitted;
            let greatest = LIMIT.burst + LIMIT.per_second * started.elapsed().as_secs_f64();
            assert!(sum as f64 <= greatest + 1.0, "{sum} of {greatest}");
            // Each of the three failure domains has 20 tokens.
            if admitted > 30 {
                return;
            }
        }
    };
    let reached = tokio::time::timeout(Duration::from_secs(60), reached).await;
    assert!(
        reached.is_ok(),
        "no burst got tokens of other failure domains"
    );
    let refusal = daemons[asker]
        .node
        .quota()
        .admit(&tenant(Some(LIMIT)))
        .await;
    if let Err(refusal) = refusal {
        assert_eq!(refusal.cause, RefusalCause::Exhausted);
        assert_eq!(refusal.owner, Some(daemons[owner_of(&daemons)].ip));
        assert!(refusal.grant_age.is_some());
        assert!(refusal.retry_after > Duration::ZERO);
    }
    let page = daemons[asker].node.metrics.page(&daemons[asker].node);
    assert!(page.contains("radishgauge.quota_admitted{tenant:bozi} "));
    assert!(page.contains("radishgauge.quota_refused{tenant:bozi} "));
}

/// Guards against a tenant that is refused until its owner's host has left the platform's
/// state, when the owner is killed, and against daemons that do not go back to it.
#[tokio::test(flavor = "multi_thread")]
async fn kill_of_the_owner_is_survived() {
    let mut daemons = start(&["north-a"; 4], STRICT, Some(LIMIT));
    for daemon in &daemons {
        wait_admitted(daemon).await;
    }
    let owner = owner_of(&daemons);
    drop(daemons[owner].listener.take());
    let others: Vec<usize> = (0..daemons.len()).filter(|index| *index != owner).collect();
    for index in &others {
        wait_admitted(&daemons[*index]).await;
    }
    let node = Arc::clone(&daemons[owner].node);
    daemons[owner].listener = Some(serve(&node));
    for daemon in &daemons {
        wait_admitted(daemon).await;
    }
}

/// Guards against a daemon without a configuration that counts as an owner because it
/// answers, while it cannot grant any token.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_owner_without_configuration_is_replaced() {
    let mut daemons = start(&["north-a"; 3], STRICT, Some(LIMIT));
    let owner = owner_of(&daemons);
    daemons[owner].listener.take().unwrap().stop().await;
    let settings = daemons[owner].node.settings();
    daemons[owner].node = new_node(HostSettings::clone(&settings));
    daemons[owner].listener = Some(serve(&daemons[owner].node));
    for (index, daemon) in daemons.iter().enumerate() {
        if index != owner {
            wait_admitted(daemon).await;
        }
    }
}

/// Guards against an owner that answers without granting until its maintenance task has
/// seen the limits of its configuration.
#[tokio::test(flavor = "multi_thread")]
async fn owner_grants_before_its_first_maintenance() {
    let mut daemons = start(&["north-a"; 2], STRICT, Some(LIMIT));
    let owner = owner_of(&daemons);
    let ips: Vec<IpAddr> = daemons.iter().map(|daemon| daemon.ip).collect();
    daemons[owner].listener.take().unwrap().stop().await;
    let settings = daemons[owner].node.settings();
    let node = new_node(HostSettings::clone(&settings));
    let mut changes = vec![config(1, Some(LIMIT))];
    changes.extend(ips.iter().map(|ip| record(*ip, "north-a")));
    apply(&node, changes);
    daemons[owner].listener = Some(serve(&node));
    daemons[owner].node = node;
    wait_admitted(&daemons[1 - owner]).await;
    assert!(daemons[owner].node.quota().is_open());
}

/// Guards against daemons that wait for an owner which accepts connections and never
/// answers, as that of a paused host does.
#[tokio::test(flavor = "multi_thread")]
async fn silent_owner_is_replaced() {
    let mut daemons = start(&["north-a"; 4], STRICT, Some(LIMIT));
    let owner = owner_of(&daemons);
    daemons[owner].listener.take().unwrap().stop().await;
    let address = daemons[owner].node.settings().peer_address;
    let _silent = tokio::net::TcpListener::bind(address).await.unwrap();
    for (index, daemon) in daemons.iter().enumerate() {
        if index != owner {
            wait_admitted(daemon).await;
        }
    }
}

/// Guards against refusals at a daemon whose list of hosts lacks the owner, or has an owner
/// that others know no more: changes of the list reach the daemons one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_with_another_list_of_hosts_finds_the_owner() {
    let daemons = start(&["north-a"; 4], STRICT, Some(LIMIT));
    let owner = owner_of(&daemons);
    let others = daemons.iter().map(|daemon| daemon.ip);
    let others: Vec<IpAddr> = others.filter(|ip| *ip != daemons[owner].ip).collect();
    // The next host would grant tokens of its own.
    let next = HostReach::default().owner("bozi", &others);
    let is_asker =
        |daemon: &&QuotaDaemon| daemon.ip != daemons[owner].ip && Some(daemon.ip) != next;
    let asker = daemons.iter().find(is_asker).unwrap();
    let known = others.iter().map(|ip| record(*ip, "north-a"));
    let mut changes: Vec<StateChange> = known.collect();
    changes.insert(0, config(2, Some(LIMIT)));
    let node = &asker.node;
    apply(node, changes);
    // Makes the daemon read its list again.
    node.begin_stop(StopPlan::new(node.now(), Duration::from_secs(60)));
    wait_admitted(asker).await;
}

/// Guards against daemons that wait, allocate or send messages for tenants without a limit.
#[tokio::test]
async fn nothing_happens_without_a_limit() {
    let daemons = start(&["north-a", "north-a"], STRICT, None);
    for daemon in &daemons {
        let quota = daemon.node.quota();
        for _ in 0..100 {
            assert_eq!(quota.admit(&tenant(None)).await, Ok(()));
        }
        quota.maintain();
        assert!(!quota.is_open());
    }
}

/// Guards against a request that waits although no host can decide on it.
#[tokio::test(start_paused = true)]
async fn daemon_without_owner_decides_at_once() {
    let daemons = start(&["north-a"], STRICT, Some(LIMIT));
    let node = &daemons[0].node;
    apply(node, vec![config(2, Some(LIMIT))]);
    // Makes the daemon read its list again.
    node.begin_stop(StopPlan::new(node.now(), Duration::from_secs(60)));
    let started = tokio::time::Instant::now();
    let decision = node.quota().admit(&tenant(Some(LIMIT))).await;
    assert_eq!(
        decision.map_err(|refusal| refusal.cause),
        Err(RefusalCause::NoOwner)
    );
    assert_eq!(started.elapsed(), Duration::ZERO);
}

/// Guards against a metrics page that grows with each tenant.
#[tokio::test]
async fn metrics_have_a_bounded_number_of_tenants() {
    let daemons = start(&["north-a"], STRICT, None);
    let node = &daemons[0].node;
    let counts = QuotaCounts {
        admitted: 2,
        local: 0,
        refused: 1,
    };
    for index in 0..100 {
        node.metrics.quota(&format!("t{index}").into(), counts);
    }
    let page = node.metrics.page(node);
    let lines = page.lines();
    let admitted = lines.filter(|line| line.starts_with("radishgauge.quota_admitted{"));
    assert_eq!(admitted.count(), 65);
    assert!(page.contains("radishgauge.quota_admitted{tenant:(other)} 72\n"));
    assert!(page.contains("radishgauge.quota_refused{tenant:t63} 1\n"));
}

/// Guards against tables and probes that remain when the last limit has been removed.
#[tokio::test(flavor = "multi_thread")]
async fn removed_limit_ends_the_watch() {
    let daemons = start(&["north-a", "north-a"], STRICT, Some(LIMIT));
    let node = &daemons[0].node;
    wait_admitted(&daemons[0]).await;
    assert!(node.quota().is_open());
    let hosts = daemons.iter().map(|daemon| record(daemon.ip, "north-a"));
    let changes = std::iter::once(config(2, None)).chain(hosts).collect();
    apply(node, changes);
    let closed = async {
        while node.quota().is_open() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(
        tokio::time::timeout(Duration::from_secs(60), closed)
            .await
            .is_ok()
    );
}

/// Guards against an owner that counts as lost, or grants nothing, where its configuration
/// has no limit any more while that of the asking daemon still has one.
#[tokio::test(flavor = "multi_thread")]
async fn owner_without_limits_answers_that_the_tenant_is_unlimited() {
    let daemons = start(&["north-a"; 2], STRICT, None);
    let owner = owner_of(&daemons);
    let asker = &daemons[1 - owner];
    let hosts = daemons.iter().map(|daemon| record(daemon.ip, "north-a"));
    let changes = std::iter::once(config(2, Some(LIMIT))).chain(hosts);
    apply(&asker.node, changes.collect());
    assert_eq!(admit(asker, 50).await, 50);
    assert!(!daemons[owner].node.quota().is_open());
}

/// Guards against an owner that counts as lost, so that a second owner grants the same
/// tokens, while its configuration does not have the tenant yet.
#[tokio::test(flavor = "multi_thread")]
async fn owner_without_the_tenant_stays_the_owner() {
    let daemons = start(&["north-a"; 2], STRICT, Some(LIMIT));
    let owner = owner_of(&daemons);
    let hosts = daemons.iter().map(|daemon| record(daemon.ip, "north-a"));
    let changes = std::iter::once(config_without_tenants(2)).chain(hosts);
    apply(&daemons[owner].node, changes.collect());
    let closed = async {
        while daemons[owner].node.quota().is_open() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let closed = tokio::time::timeout(Duration::from_secs(60), closed).await;
    assert!(closed.is_ok());
    let asker = daemons[1 - owner].node.quota();
    let decision = asker.admit(&tenant(Some(LIMIT))).await;
    let cause = decision.map_err(|refusal| refusal.cause);
    assert_eq!(cause, Err(RefusalCause::NoOwner));
}

/// Guards against a request that waits for long, or is admitted without bound, at a daemon
/// that reaches no other one.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_daemon_decides_in_bounded_time() {
    let mut daemons = start(&["north-a"; 3], STRICT, Some(LIMIT));
    let owner = owner_of(&daemons);
    for daemon in &mut daemons {
        daemon.listener = None;
    }
    let asker = &daemons[(owner + 1) % 3];
    // A daemon that is alone in its failure domain has its own third of the rate.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let admitted = admit(asker, 300).await;
    assert!(admitted <= 60, "{admitted}");
    wait_admitted(asker).await;
}
