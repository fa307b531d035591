//! Exchange of tokens between daemons.
//!
//! An entry daemon asks the owner of a tenant in its failure domain for tokens, and an
//! owner asks those of other failure domains for loans. At most one message of an entry
//! daemon is under way to each owner; requests that arrive meanwhile are asked for with
//! the next one.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use indexmap::IndexMap;
use indexmap::IndexSet;
use prost::Message;
use radishgauge_events::events;
use radishgauge_mesh::quota::LoanOrder;
use radishgauge_mesh::quota::SentAsk;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpBody;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_schema::quota::GrantState;
use radishgauge_schema::quota::Loan;
use radishgauge_schema::quota::LoanRequest;
use radishgauge_schema::quota::QuotaAsk;
use radishgauge_schema::quota::QuotaReply;
use rand::seq::IndexedRandom;

use crate::answer;
use crate::node::SidecarNode;
use crate::node::lock;
use crate::quota_state;
use crate::quota_state::QuotaState;

/// The path of requests about tokens.
pub const QUOTA_PATH: &str = "/quota";

/// The greatest length of a message in bytes.
const MAX_MESSAGE_BYTES: u64 = 32 * 1024;

/// How long a daemon may take to answer before it counts as unreachable: longer than a
/// daemon with a tenth of a core is stopped between two of its turns.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// How often a message is sent that fails at once: a connection that was kept open may
/// have ended with an earlier process of the peer.
const SEND_ATTEMPTS: u32 = 2;

/// The number of hosts of the failure domain that are probed in each turn, to notice that
/// this host is cut off.
const RANDOM_PROBES: usize = 1;

/// The greatest number of hosts that are probed at once when one does not answer.
const MAX_PROBES: usize = 32;

/// The greatest number of unreachable hosts that are probed in each turn.
const MAX_REPEATED_PROBES: usize = 8;

/// Serves a message of another daemon.
pub async fn serve(node: &Arc<SidecarNode>, peer: IpAddr, mut body: HttpBody) -> HttpAnswer {
    let budget = &node.owner.memory.messages;
    let Ok(body) = body.whole_within(MAX_MESSAGE_BYTES, budget).await else {
        return answer::empty(StatusCode::BAD_REQUEST);
    };
    let Ok(ask) = QuotaAsk::decode(body) else {
        return answer::empty(StatusCode::BAD_REQUEST);
    };
    if node.config().is_none() {
        // A daemon without a configuration cannot grant, so it must not count as an owner.
        return answer::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let sender = read_address(&ask.sender).unwrap_or(peer);
    let reply = reply(node, sender, &ask);
    Response::new(AnswerBody::whole(reply.encode_to_vec()))
}

fn reply(node: &Arc<SidecarNode>, peer: IpAddr, ask: &QuotaAsk) -> QuotaReply {
    let now = node.now();
    let mut state = lock(&node.quota_state);
    let Some(state) = node.quota().open_if_limited(&mut state) else {
        return reply_without_limits(node, ask);
    };
    state.mark_reachable(peer, now);
    let mut orders = Vec::new();
    let mut suspected = IndexSet::new();
    let mut reply = QuotaReply::default();
    for request in &ask.tokens {
        let owner = state.owner_of(&request.tenant);
        suspected.extend(owner.filter(|owner| Some(*owner) != state.own()));
        let grant = state.grant(node, peer, request, &mut orders, now);
        reply.tokens.push(grant);
    }
    for request in &ask.loans {
        reply.loans.push(state.lend(node, request, now));
    }
    // The peer could not reach the owner that this daemon knows.
    probe_all(node, state, suspected);
    start_loans(node, state, orders);
    reply
}

/// Answers where no tenant has a limit, so that there are no buckets.
fn reply_without_limits(node: &SidecarNode, ask: &QuotaAsk) -> QuotaReply {
    let requests = ask.tokens.iter();
    QuotaReply {
        tokens: requests
            .map(|request| quota_state::answer_without_limit(node, &request.tenant))
            .collect(),
        loans: vec![Loan::default(); ask.loans.len()],
    }
}

/// Starts the messages that waiting requests need. The caller holds the lock of `state`.
pub(crate) fn start_asks(node: &Arc<SidecarNode>, state: &mut QuotaState, now: Duration) {
    let due = state.entry.due_tenants(now);
    let owners: IndexSet<IpAddr> = due
        .filter_map(|tenant| state.asked_host(tenant, now))
        .collect();
    for owner in owners {
        if state.own() == Some(owner) {
            ask_self(node, state, owner, now);
        } else if state.in_flight.insert(owner) {
            tokio::spawn(run_asks(Arc::clone(node), owner));
        }
    }
    schedule_asks(node, state, now);
}

/// Starts the next delayed messages when they are due.
fn schedule_asks(node: &Arc<SidecarNode>, state: &mut QuotaState, now: Duration) {
    let Some(at) = state.entry.next_ask(now) else {
        return;
    };
    if state.next_ask.is_some_and(|scheduled| scheduled <= at) {
        return;
    }
    state.next_ask = Some(at);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        tokio::time::sleep(at - now).await;
        let now = node.now();
        if let Some(state) = lock(&node.quota_state).as_mut() {
            state.next_ask = None;
            start_asks(&node, state, now);
        }
    });
}

/// Takes tokens from the buckets that this daemon owns itself.
fn ask_self(node: &Arc<SidecarNode>, state: &mut QuotaState, own: IpAddr, now: Duration) {
    let mut orders = Vec::new();
    // Each answer decides on the tenants of its message or delays them, so this ends.
    while let Some(ask) = next_ask(state, own, now) {
        let requests = ask.message.tokens.iter();
        let grants: Vec<_> = requests
            .map(|request| state.grant(node, own, request, &mut orders, now))
            .collect();
        let outcomes = state.entry.apply(&ask, &grants, own, now);
        state.resolve(outcomes);
    }
    start_loans(node, state, orders);
}

fn next_ask(state: &mut QuotaState, owner: IpAddr, now: Duration) -> Option<SentAsk> {
    let tenants = state.entry.due_tenants(now);
    let owned: IndexSet<_> = tenants
        .filter(|tenant| state.asked_host(tenant, now) == Some(owner))
        .cloned()
        .collect();
    let is_owner = |tenant: &str| owned.contains(tenant);
    if state.own() == Some(owner) {
        state.entry.ask_own(is_owner, now)
    } else {
        state.entry.ask(is_owner, now)
    }
}

/// Sends messages to an owner, one after the other, while requests wait for its tokens.
async fn run_asks(node: Arc<SidecarNode>, owner: IpAddr) {
    loop {
        let now = node.now();
        let ask = {
            let mut state = lock(&node.quota_state);
            let Some(state) = state.as_mut() else {
                return;
            };
            let Some(ask) = next_ask(state, owner, now) else {
                state.in_flight.swap_remove(&owner);
                // Tenants whose owner has changed meanwhile are due at another host.
                start_asks(&node, state, now);
                return;
            };
            ask
        };
        let reply = exchange(&node, owner, &ask.message).await;
        let now = node.now();
        let mut state = lock(&node.quota_state);
        let Some(state) = state.as_mut() else {
            return;
        };
        state.refresh(&node, now);
        match reply {
            Ok(reply) => {
                state.mark_reachable(owner, now);
                let outcomes = state.entry.apply(&ask, &reply.tokens, owner, now);
                state.resolve(outcomes);
                follow_redirects(&node, state, &ask, &reply, owner);
            }
            Err(error) => {
                state.entry.fail(&ask);
                state.in_flight.swap_remove(&owner);
                record_failure(&node, state, owner, &error);
                start_asks(&node, state, now);
                return;
            }
        }
    }
}

/// Turns to the owners that a daemon has named which is not the owner itself.
fn follow_redirects(
    node: &Arc<SidecarNode>,
    state: &mut QuotaState,
    ask: &SentAsk,
    reply: &QuotaReply,
    asked: IpAddr,
) {
    let now = node.now();
    let answers = ask.message.tokens.iter().zip(&reply.tokens);
    for (request, grant) in answers {
        if grant.state() == GrantState::NotOwner {
            let owner = read_address(&grant.owner);
            let doubted = state.redirect(&request.tenant, asked, owner, now);
            probe_all(node, state, doubted);
        }
    }
}

/// Requests loans from the owners of other failure domains.
fn start_loans(node: &Arc<SidecarNode>, state: &mut QuotaState, orders: Vec<LoanOrder>) {
    let mut by_host: IndexMap<IpAddr, Vec<LoanOrder>> = IndexMap::new();
    for order in orders {
        match state.owner_in(&order.domain, &order.tenant) {
            Some(host) => by_host.entry(host).or_default().push(order),
            None => state.owner.fail_loan(&order, node.now()),
        }
    }
    for (host, orders) in by_host {
        tokio::spawn(borrow(Arc::clone(node), host, orders));
    }
}

async fn borrow(node: Arc<SidecarNode>, host: IpAddr, orders: Vec<LoanOrder>) {
    let sent = node.now();
    let loans = orders.iter().map(|order| LoanRequest {
        tenant: order.tenant.to_string(),
        tokens: order.tokens as f32,
    });
    let ask = QuotaAsk {
        loans: loans.collect(),
        ..QuotaAsk::default()
    };
    let reply = exchange(&node, host, &ask).await;
    let now = node.now();
    let mut state = lock(&node.quota_state);
    let Some(state) = state.as_mut() else {
        return;
    };
    state.refresh(&node, now);
    match reply {
        Ok(reply) => {
            state.mark_reachable(host, now);
            for (index, order) in orders.iter().enumerate() {
                let loan = reply.loans.get(index).copied().unwrap_or_default();
                let tokens = f64::from(loan.tokens);
                state.owner.receive_loan(order, tokens, sent);
            }
        }
        Err(error) => {
            record_failure(&node, state, host, &error);
            for order in &orders {
                state.owner.fail_loan(order, now);
            }
        }
    }
    start_asks(&node, state, now);
}

/// Probes hosts that did not answer before, and some others. The caller holds the lock of
/// `state`.
pub(crate) fn start_probes(node: &Arc<SidecarNode>, state: &mut QuotaState, now: Duration) {
    let mut hosts: IndexSet<IpAddr> = state
        .reach
        .due_probes(MAX_REPEATED_PROBES, now)
        .into_iter()
        .collect();
    let others = state.domain_hosts();
    hosts.extend(others.choose_multiple(&mut rand::rng(), RANDOM_PROBES));
    probe_all(node, state, hosts);
}

fn probe_all<I>(node: &Arc<SidecarNode>, state: &mut QuotaState, hosts: I)
where
    I: IntoIterator<Item = IpAddr>,
{
    for host in hosts {
        if state.own() != Some(host) && state.probing.insert(host) {
            tokio::spawn(probe(Arc::clone(node), host));
        }
    }
}

async fn probe(node: Arc<SidecarNode>, host: IpAddr) {
    let answer = exchange(&node, host, &QuotaAsk::default()).await;
    let now = node.now();
    let mut state = lock(&node.quota_state);
    let Some(state) = state.as_mut() else {
        return;
    };
    state.probing.swap_remove(&host);
    match answer {
        Ok(_) => state.mark_reachable(host, now),
        Err(error) => record_failure(&node, state, host, &error),
    }
}

/// Records that a host did not answer, and probes the others of the failure domain.
fn record_failure(
    node: &Arc<SidecarNode>,
    state: &mut QuotaState,
    host: IpAddr,
    error: &anyhow::Error,
) {
    let now = node.now();
    if !state.reach.is_unreachable(host) {
        let domain = state.domain_of(host).unwrap_or("-");
        events::QUOTA_HOST_LOST.emit(format_args!("host={host} domain={domain} error={error}"));
    }
    if state.mark_unreachable(host, now) {
        let hosts = state.domain_hosts().to_vec();
        let sample = hosts.choose_multiple(&mut rand::rng(), MAX_PROBES).copied();
        probe_all(node, state, sample);
    }
}

fn read_address(octets: &[u8]) -> Option<IpAddr> {
    let v4 = <[u8; 4]>::try_from(octets).map(IpAddr::from);
    let v6 = <[u8; 16]>::try_from(octets).map(IpAddr::from);
    v4.or(v6).ok()
}

pub(crate) fn write_address(address: IpAddr) -> Bytes {
    match address {
        IpAddr::V4(address) => Bytes::copy_from_slice(&address.octets()),
        IpAddr::V6(address) => Bytes::copy_from_slice(&address.octets()),
    }
}

async fn exchange(node: &SidecarNode, host: IpAddr, ask: &QuotaAsk) -> anyhow::Result<QuotaReply> {
    let attempts = async {
        let mut result = send(node, host, ask).await;
        for _ in 1..SEND_ATTEMPTS {
            if result.is_ok() {
                break;
            }
            result = send(node, host, ask).await;
        }
        result
    };
    match tokio::time::timeout(EXCHANGE_TIMEOUT, attempts).await {
        Ok(result) => result,
        Err(_) => anyhow::bail!("timeout"),
    }
}

async fn send(node: &SidecarNode, host: IpAddr, ask: &QuotaAsk) -> anyhow::Result<QuotaReply> {
    let peer = node.peers.address_at(host);
    let mut ask = ask.clone();
    ask.sender = write_address(node.settings().peer_address.ip());
    let body = ask.encode_to_vec();
    let answer = node
        .peers
        .ask(peer, Method::POST, QUOTA_PATH, body, Duration::ZERO)
        .await;
    let (status, body) = answer?;
    anyhow::ensure!(status == StatusCode::OK, "status {status}");
    let reply = QuotaReply::decode(body)?;
    let is_whole = reply.tokens.len() >= ask.tokens.len() && reply.loans.len() >= ask.loans.len();
    anyhow::ensure!(is_whole, "reply is shorter than the request");
    Ok(reply)
}
