//! Measures the cost of a hop between two daemons: latency, bytes, handshakes and
//! memory.
//!
//! `cargo run --release -p radishgauge-net --example hop -- [latency|cost] [rate ...]`
//!
//! Everything runs in this process on loopback. The arms of one rate alternate in
//! short slices, so that load from other processes affects all of them:
//!
//! - `direct`: HTTP client to target;
//! - `hop`: peer session to the far daemon, which calls the target;
//! - `both`: HTTP client to the near daemon's listener, then as `hop`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use radishgauge_net::AnswerBody;
use radishgauge_net::CallerListener;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::InboundStream;
use radishgauge_net::KeyAuthority;
use radishgauge_net::ListenLimits;
use radishgauge_net::PeerConfig;
use radishgauge_net::PeerEndpoint;
use radishgauge_net::PeerLimits;
use radishgauge_net::PeerSession;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetLimits;
use radishgauge_schema::peer::AnswerHead;
use radishgauge_schema::peer::CallHead;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::Received;
use radishgauge_schema::peer::VersionHead;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request as PeerAsk;
use radishgauge_standin::TargetConfig;
use radishgauge_standin::TargetStandIn;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// The body of each call and answer in bytes.
const BODY: usize = 200;
/// The length of one slice of an arm.
const SLICE: Duration = Duration::from_millis(250);
/// The number of slices of each arm at each rate; the first one is a warm-up.
const TURNS: usize = 9;
/// The threads that run one daemon's sessions. With two, each packet wakes the
/// other thread on the way from the socket to its stream.
const PEER_THREADS: usize = 1;
/// The latency budget of both daemons together at the 99th percentile, in
/// microseconds.
const BUDGET_US: f64 = 480.0;

fn main() -> anyhow::Result<()> {
    let mut arguments = std::env::args().skip(1).peekable();
    let section = arguments.next_if(|argument| argument.parse::<u64>().is_err());
    let rates = arguments
        .map(|argument| {
            argument
                .parse()
                .with_context(|| format!("{argument:?} is not a rate"))
        })
        .collect::<anyhow::Result<Vec<u64>>>()?;
    let rates = if rates.is_empty() {
        vec![1_000, 5_000, 10_000, 20_000]
    } else {
        rates
    };
    let bench = Bench::open()?;
    match section.as_deref() {
        Some("latency") => bench.latency(&rates),
        Some("cost") => bench.cost(),
        None => {
            bench.latency(&rates)?;
            bench.cost()
        }
        Some(other) => anyhow::bail!("{other:?} is neither latency nor cost"),
    }
}

/// Two daemons, a target and a load generator, each with threads of its own.
struct Bench {
    load: Runtime,
    near: Runtime,
    _far: Runtime,
    _targets: Runtime,
    authority: KeyAuthority,
    session: PeerSession,
    far_endpoint: PeerEndpoint,
    _near_endpoint: PeerEndpoint,
    listener: CallerListener,
    target: TargetStandIn,
}

fn runtime(threads: usize) -> anyhow::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all();
    builder.build().context("a runtime")
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn endpoint(authority: &KeyAuthority, host: &str) -> anyhow::Result<PeerEndpoint> {
    let config = PeerConfig {
        listen: loopback(),
        identity: authority.issue(host, "addis-bole")?,
        host: host.into(),
        failure_domain: "addis-bole".into(),
        region: "addis".into(),
        incarnation: 1,
        limits: PeerLimits::default(),
    };
    Ok(PeerEndpoint::bind(config)?)
}

fn target_request(body: Bytes) -> Request<TargetBody> {
    let mut request = Request::new(TargetBody::whole(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("/orders/basket");
    let host = http::HeaderValue::from_static("shop");
    request.headers_mut().insert("host", host);
    request
}

fn call_head(call: u64) -> CallHead {
    CallHead {
        method: "POST".to_owned(),
        path: "/orders/basket".to_owned(),
        route: "basket".to_owned(),
        service: "order-desk".to_owned(),
        host: "order-desk-1".to_owned(),
        call,
        revision: 7,
        ..CallHead::default()
    }
}

/// Makes one call over the session, and returns the status and body of the answer.
async fn hop(session: &PeerSession, call: u64, body: Bytes) -> anyhow::Result<(u32, Bytes)> {
    let receiver = session.call_whole(call_head(call), body).await?;
    let (head, mut body) = receiver.answer().await?;
    Ok((head.status, body.whole(1 << 20).await?))
}

/// Runs the far daemon: forwards each call to the target, and the answer back.
async fn serve(session: PeerSession, target: TargetClient) {
    let served = session.serve(move |inbound| {
        let target = target.clone();
        // A failed call is reported as an error at the near end.
        async move { drop(answer(inbound, &target).await) }
    });
    served.await;
}

async fn answer(inbound: InboundStream, target: &TargetClient) -> anyhow::Result<()> {
    match inbound {
        InboundStream::Request { responder, .. } => {
            let reply = PeerReply {
                reply: Some(Reply::Received(Received {})),
            };
            responder.reply(reply).await?;
        }
        InboundStream::Call {
            mut body, answer, ..
        } => {
            let body = body.whole(1 << 20).await?;
            let response = target.send(target_request(body)).await?;
            let head = AnswerHead {
                status: response.status().as_u16().into(),
                ..AnswerHead::default()
            };
            let body = response.into_body().whole(1 << 20).await?;
            answer.whole(head, body).await?;
        }
    }
    Ok(())
}

impl Bench {
    fn open() -> anyhow::Result<Bench> {
        let (load, near, far) = (runtime(2)?, runtime(PEER_THREADS)?, runtime(PEER_THREADS)?);
        let targets = runtime(1)?;
        let target = targets.block_on(TargetStandIn::start(TargetConfig {
            slots: 10_000,
            record_requests: false,
            ..TargetConfig::default()
        }))?;
        let authority = KeyAuthority::generate()?;
        let far_endpoint = far.block_on(async { endpoint(&authority, "far") })?;
        let address = far_endpoint.local_address()?;
        let client = TargetClient::new(target.address(), TargetLimits::default());
        let accepted = far_endpoint.clone();
        far.spawn(async move {
            while let Some(Ok(session)) = accepted.accept().await {
                tokio::spawn(serve(session, client.clone()));
            }
        });
        let opened = Arc::new(OnceLock::new());
        let called: Arc<OnceLock<PeerSession>> = opened.clone();
        let limits = ListenLimits {
            threads: PEER_THREADS,
            ..ListenLimits::default()
        };
        let listener = CallerListener::bind(loopback(), limits, move |request| {
            let session = called.get().cloned();
            async move { forward(request, session).await }
        })?;
        // The near daemon serves callers and sessions on one thread.
        let near_endpoint = {
            let _entered = listener.runtime().enter();
            endpoint(&authority, "near")?
        };
        let session = near.block_on(near_endpoint.dial(address))?;
        opened.get_or_init(|| session.clone());
        Ok(Bench {
            load,
            near,
            _far: far,
            _targets: targets,
            authority,
            session,
            far_endpoint,
            _near_endpoint: near_endpoint,
            listener,
            target,
        })
    }

    fn latency(&self, rates: &[u64]) -> anyhow::Result<()> {
        println!(
            "{BODY} bytes each way; {} turns of {SLICE:?} an arm; microseconds",
            TURNS - 1
        );
        println!(
            "{:>8} {:>7} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10} {:>8}",
            "rate", "arm", "calls", "p50", "p99", "p99.9", "added p50", "added p99", "cpu/call"
        );
        for rate in rates {
            let direct = TargetClient::new(self.target.address(), TargetLimits::default());
            let entry = TargetClient::new(self.listener.local_address(), TargetLimits::default());
            let (mut first, mut second, mut third) = (recorder()?, recorder()?, recorder()?);
            let mut cpu = [Duration::ZERO; 3];
            let lost = self.session.stats().packets_lost;
            for turn in 0..TURNS {
                let counted = turn > 0;
                let mut mark = cpu_time()?;
                let mut spend = |arm: usize| {
                    let before = std::mem::replace(&mut mark, cpu_time()?);
                    cpu[arm] += mark - before;
                    anyhow::Ok(())
                };
                let client = direct.clone();
                self.turn(*rate, counted, &mut first, move |_| {
                    http_call(client.clone())
                })?;
                spend(0)?;
                let session = self.session.clone();
                self.turn(*rate, counted, &mut second, move |call| {
                    let session = session.clone();
                    async move { hop(&session, call, body()).await.map(|(_, body)| body) }
                })?;
                spend(1)?;
                let client = entry.clone();
                self.turn(*rate, counted, &mut third, move |_| {
                    http_call(client.clone())
                })?;
                spend(2)?;
            }
            let base = (at(&first, 50.0), at(&first, 99.0));
            for (arm, times, cpu) in [
                ("direct", &first, cpu[0]),
                ("hop", &second, cpu[1]),
                ("both", &third, cpu[2]),
            ] {
                // The pacing thread spins in all slices; this time is not a cost of the calls.
                let paced = SLICE * TURNS as u32;
                let cpu = cpu.saturating_sub(paced).as_secs_f64() * 1e6
                    / (*rate as f64 * paced.as_secs_f64());
                let (p50, p99) = (at(times, 50.0), at(times, 99.0));
                println!(
                    "{rate:>8} {arm:>7} {:>8} {p50:>8.0} {p99:>8.0} {:>8.0} {:>10.0} {:>10.0} {cpu:>8.0}",
                    times.len(),
                    at(times, 99.9),
                    p50 - base.0,
                    p99 - base.1,
                );
            }
            let added = at(&third, 99.0) - base.1;
            let verdict = if added <= BUDGET_US { "within" } else { "over" };
            let lost = self.session.stats().packets_lost - lost;
            println!(
                "{rate:>8}   {verdict} the budget of {BUDGET_US} us at p99; {lost} packets lost on the way out"
            );
        }
        Ok(())
    }

    /// Starts calls at a fixed rate, even while earlier ones have not ended.
    fn turn<C, F>(
        &self,
        rate: u64,
        counted: bool,
        times: &mut Histogram<u64>,
        call: C,
    ) -> anyhow::Result<()>
    where
        C: Fn(u64) -> F,
        F: Future<Output = anyhow::Result<Bytes>> + Send + 'static,
    {
        let calls = (rate as f64 * SLICE.as_secs_f64()) as u64;
        let results = Arc::new(Mutex::new(Vec::with_capacity(calls as usize)));
        let start = Instant::now();
        let tasks = (0..calls).map(|number| {
            let due = start + Duration::from_secs_f64(number as f64 / rate as f64);
            // Timers are too coarse for this rate, so the pacing thread spins.
            while Instant::now() < due {
                std::hint::spin_loop();
            }
            let (running, results) = (call(number), results.clone());
            self.load.spawn(async move {
                let answer = running.await;
                let time = due.elapsed();
                let good = answer.is_ok_and(|answer| answer.len() == BODY);
                if let Ok(mut results) = results.lock() {
                    results.push((good, time));
                }
            })
        });
        let tasks = tasks.collect::<Vec<_>>();
        self.load.block_on(futures_util::future::join_all(tasks));
        let results = results
            .lock()
            .map_err(|_| anyhow::anyhow!("a call panicked"))?;
        anyhow::ensure!(results.iter().all(|(good, _)| *good), "a call failed");
        if counted {
            for (_, time) in results.iter() {
                times.record(time.as_nanos() as u64)?;
            }
        }
        Ok(())
    }

    fn cost(&self) -> anyhow::Result<()> {
        self.bytes()?;
        self.sessions()
    }

    fn bytes(&self) -> anyhow::Result<()> {
        const REQUESTS: u64 = 40;
        let head = VersionHead {
            revision: 7,
            root: Bytes::from_static(&[7; 16]),
            accepted: true,
            ..VersionHead::default()
        };
        for (name, ask, pause) in [
            ("ping, one at a time", None, Duration::ZERO),
            ("ping, one each 50 ms", None, Duration::from_millis(50)),
            (
                "version head, one each 50 ms",
                Some(head),
                Duration::from_millis(50),
            ),
        ] {
            let before = self.session.stats();
            self.near.block_on(async {
                for _ in 0..REQUESTS {
                    match ask.clone() {
                        None => self.session.ping(Duration::from_secs(5)).await?,
                        Some(head) => {
                            let request = PeerRequest {
                                request: Some(PeerAsk::Head(head)),
                            };
                            self.session
                                .request(request, Duration::from_secs(5))
                                .await?;
                        }
                    }
                    tokio::time::sleep(pause).await;
                }
                anyhow::Ok(())
            })?;
            let after = self.session.stats();
            let each = |after: u64, before: u64| (after - before) as f64 / REQUESTS as f64;
            println!(
                "{name}: frames {:.1} B out, {:.1} B in; UDP {:.1} B in {:.2} datagrams out, {:.1} B in {:.2} in",
                each(after.control_sent, before.control_sent),
                each(after.control_received, before.control_received),
                each(after.datagram_bytes_sent, before.datagram_bytes_sent),
                each(after.datagrams_sent, before.datagrams_sent),
                each(
                    after.datagram_bytes_received,
                    before.datagram_bytes_received
                ),
                each(after.datagrams_received, before.datagrams_received),
            );
        }
        Ok(())
    }

    fn sessions(&self) -> anyhow::Result<()> {
        const SESSIONS: usize = 1_000;
        let address = self.far_endpoint.local_address()?;
        let dialler = self
            .near
            .block_on(async { endpoint(&self.authority, "other") })?;
        let _warm = self.near.block_on(dialler.dial(address))?;
        let (memory, cpu, start) = (resident_kib()?, cpu_time()?, Instant::now());
        let sessions = self.near.block_on(async {
            let mut sessions = Vec::new();
            for _ in 0..SESSIONS {
                sessions.push(dialler.dial(address).await?);
            }
            anyhow::Ok(sessions)
        })?;
        let (wall, cpu) = (start.elapsed(), cpu_time()? - cpu);
        let count = SESSIONS as f64;
        println!(
            "handshake, hellos included: {:.0} us wall, {:.0} us of CPU for both ends",
            wall.as_secs_f64() * 1e6 / count,
            cpu.as_secs_f64() * 1e6 / count,
        );
        let stats = sessions[0].stats();
        println!(
            "handshake: {} B in {} datagrams out, {} B in {} datagrams in",
            stats.datagram_bytes_sent,
            stats.datagrams_sent,
            stats.datagram_bytes_received,
            stats.datagrams_received
        );
        println!(
            "idle session: {:.1} KiB resident for each end",
            (resident_kib()? - memory) / count / 2.0
        );
        Ok(())
    }
}

/// Runs the near daemon: forwards the caller's request as a call.
async fn forward(mut request: HttpRequest, session: Option<PeerSession>) -> HttpAnswer {
    let result = async {
        let body = request.body.whole(1 << 20).await?;
        let session = session.context("no session yet")?;
        hop(&session, 1, body).await
    };
    let (status, body) = result.await.unwrap_or((502, Bytes::new()));
    let mut answer = HttpAnswer::new(AnswerBody::whole(body));
    *answer.status_mut() = http::StatusCode::from_u16(status as u16).unwrap_or_default();
    answer
}

async fn http_call(client: TargetClient) -> anyhow::Result<Bytes> {
    let response = client.send(target_request(body())).await?;
    Ok(response.into_body().whole(1 << 20).await?)
}

fn body() -> Bytes {
    Bytes::from_static(&[b'.'; BODY])
}

fn recorder() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new(3)?)
}

/// Returns a percentile in microseconds.
fn at(times: &Histogram<u64>, percentile: f64) -> f64 {
    times.value_at_percentile(percentile) as f64 / 1e3
}

fn resident_kib() -> anyhow::Result<f64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

/// Returns the user and system time of this process.
fn cpu_time() -> anyhow::Result<Duration> {
    // Linux reports these fields in hundredths of a second on all architectures.
    const TICK_MS: u64 = 10;
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().context("stat")?;
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks
        .map(|field| field.parse::<u64>())
        .sum::<Result<u64, _>>()?;
    Ok(Duration::from_millis(ticks * TICK_MS))
}
