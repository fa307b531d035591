//! A test fleet: several daemons in one process, with stand-ins for the platform
//! and the targets.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indexmap::IndexSet;
use prost::Message;
use radishgauge_config::load_set;
use radishgauge_config::load_settings;
use radishgauge_config::pack;
use radishgauge_daemon::Daemon;
use radishgauge_daemon::DaemonResources;
use radishgauge_daemon::daemon::Running;
use radishgauge_net::KeyAuthority;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_net::listener::CallerListener;
use radishgauge_net::listener::ListenLimits;
use radishgauge_schema::config::HostEntry;
use radishgauge_schema::config::HostList;
use radishgauge_schema::config::HostState;
use radishgauge_standin::DownstreamCall;
use radishgauge_standin::PlatformStandIn;
use radishgauge_standin::TargetConfig;
use radishgauge_standin::TargetStandIn;
use tempfile::TempDir;
use tokio::sync::watch;

/// The timeout of a step, far longer than any step takes.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The hosts of a fleet and the content of its configuration.
pub struct FleetPlan<'a> {
    /// The name and the failure domain of each host, and whether it has a target.
    /// The region is the part of the domain's name before the first `-`.
    pub hosts: &'a [(&'a str, &'a str, bool)],
    /// Routes, tenants and policy, as YAML.
    pub rules: &'a str,
    /// The URL of the trace collector; empty for none.
    pub otlp: String,
    /// Blocks the requests that run at the targets until it is opened.
    pub latch: Option<&'a TargetLatch>,
}

impl<'a> FleetPlan<'a> {
    /// Returns a plan without traces and without blocked requests.
    pub fn new(hosts: &'a [(&'a str, &'a str, bool)], rules: &'a str) -> FleetPlan<'a> {
        FleetPlan {
            hosts,
            rules,
            otlp: String::new(),
            latch: None,
        }
    }
}

/// One host of the fleet.
pub struct FleetHost {
    pub name: String,
    pub domain: String,
    pub region: String,
    pub peers: SocketAddr,
    pub daemon: Option<Daemon<Running>>,
    pub target: Option<TargetStandIn>,
}

impl FleetHost {
    /// Returns the daemon, which must be running.
    pub fn daemon(&self) -> &Daemon<Running> {
        self.daemon.as_ref().unwrap()
    }

    /// Returns the target, which the host must have.
    pub fn target(&self) -> &TargetStandIn {
        self.target.as_ref().unwrap()
    }
}

/// A fleet of daemons that run in this process.
pub struct Fleet {
    pub hosts: Vec<FleetHost>,
    pub platform: PlatformStandIn,
    rules: String,
    dir: TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until revision 1 is in force everywhere.
    pub async fn start(plan: FleetPlan<'_>) -> Fleet {
        let mut hosts = Vec::new();
        for (name, domain, has_target) in plan.hosts {
            let region = domain.split('-').next().unwrap();
            let target = match has_target {
                false => None,
                true => Some(start_target(name, region, plan.latch).await),
            };
            hosts.push(FleetHost {
                name: name.to_string(),
                domain: domain.to_string(),
                region: region.to_owned(),
                peers: free_udp(),
                daemon: None,
                target,
            });
        }
        let mut fleet = Fleet {
            hosts,
            platform: PlatformStandIn::start().await.unwrap(),
            rules: plan.rules.to_owned(),
            dir: tempfile::tempdir().unwrap(),
        };
        fleet.publish_host_lists();
        fleet.publish(1, &[]);
        fleet.open_daemons(&plan.otlp).await;
        fleet.wait_for_revision(1).await;
        fleet
    }

    async fn open_daemons(&mut self, otlp: &str) {
        let authority = KeyAuthority::generate().unwrap();
        let dir = self.dir.path();
        let directory = dir.display();
        let telemetry = match otlp {
            "" => String::new(),
            url => format!("telemetry:\n  otlp: {url}\n  trace_per_mille: 1000\n"),
        };
        for index in 0..self.hosts.len() {
            let seeds: Vec<String> = self
                .hosts
                .iter()
                .filter(|host| host.domain == self.hosts[index].domain)
                .map(|host| host.peers.to_string())
                .collect();
            let host = &mut self.hosts[index];
            let name = &host.name;
            let identity = authority.issue(name, &host.domain).unwrap();
            fs::write(dir.join("ca.pem"), &identity.ca).unwrap();
            fs::write(dir.join(format!("{name}.pem")), &identity.certificate).unwrap();
            fs::write(dir.join(format!("{name}.key")), &identity.key).unwrap();
            let text = format!(
                "host: {name}\nregion: {region}\nfailure_domain: {domain}\n\
                 listen:\n  callers: 127.0.0.1:0\n  peers: {peers}\n  operators: 127.0.0.1:0\n\
                 seeds: {seeds:?}\n\
                 platform:\n  url: {platform}\n\
                 tls:\n  ca: {directory}/ca.pem\n  certificate: {directory}/{name}.pem\n  \
                 key: {directory}/{name}.key\n{telemetry}",
                region = host.region,
                domain = host.domain,
                peers = host.peers,
                platform = self.platform.url(),
            );
            let path = dir.join(format!("{name}.yaml"));
            fs::write(&path, text).unwrap();
            let settings = load_settings(&path).unwrap_or_else(|faults| panic!("{faults}"));
            let resources = DaemonResources {
                listener_threads: 1,
                seed: index as u64 + 1,
                ..DaemonResources::of_process()
            };
            host.daemon = Some(Daemon::open(&settings, resources).await.unwrap());
        }
    }

    /// Writes the configuration set, with the named failure domains evacuated
    /// (`state: out`).
    pub fn write_set(&self, evacuated: &[&str]) -> std::path::PathBuf {
        let regions: IndexSet<&str> = self.hosts.iter().map(|host| &*host.region).collect();
        let domains: IndexSet<(&str, &str)> = self
            .hosts
            .iter()
            .map(|host| (&*host.domain, &*host.region))
            .collect();
        let mut text = String::from("regions:\n");
        for region in regions {
            text += &format!("  - name: {region}\n");
        }
        text += "failure_domains:\n";
        for (domain, region) in domains {
            let state = if evacuated.contains(&domain) {
                "out"
            } else {
                "in"
            };
            text += &format!("  - name: {domain}\n    region: {region}\n    state: {state}\n");
        }
        // The targets start with all slots: during a ramp, calls behind the
        // blocked ones would be queued and refused.
        text += "services:\n  - name: order-desk\n    slots: 20\n    \
                 cold_start_slots: 20\n    targets:\n";
        for host in &self.hosts {
            if let Some(target) = &host.target {
                text += &format!(
                    "      - host: {}\n        address: {}\n        daemon: {}\n        \
                     failure_domain: {}\n",
                    host.name,
                    target.address(),
                    host.peers,
                    host.domain
                );
            }
        }
        text += &self.rules;
        let set = self.dir.path().join("set");
        fs::create_dir_all(&set).unwrap();
        fs::write(set.join("fleet.yaml"), text).unwrap();
        set
    }

    /// Publishes a version with the named failure domains evacuated.
    pub fn publish(&self, revision: u64, evacuated: &[&str]) {
        let set = load_set(&self.write_set(evacuated)).unwrap_or_else(|faults| panic!("{faults}"));
        let packed = self.dir.path().join(format!("platform-{revision}"));
        pack(&set, revision).write_to(&packed).unwrap();
        self.platform.put_directory(&packed).unwrap();
    }

    fn publish_host_lists(&self) {
        let domains: IndexSet<&str> = self.hosts.iter().map(|host| &*host.domain).collect();
        for domain in domains {
            let hosts = self.hosts.iter().filter(|host| host.domain == domain);
            let list = HostList {
                failure_domain: domain.to_owned(),
                revision: 1,
                hosts: hosts
                    .map(|host| HostEntry {
                        host: host.name.clone(),
                        failure_domain: domain.to_owned(),
                        daemon: host.peers.to_string(),
                        incarnation: 1,
                        state: HostState::Live.into(),
                    })
                    .collect(),
            };
            self.platform
                .put(&format!("hosts/{domain}"), list.encode_to_vec());
        }
    }

    /// Waits until a revision is in force at all running daemons.
    pub async fn wait_for_revision(&self, revision: u64) {
        for host in &self.hosts {
            if let Some(daemon) = &host.daemon {
                let reached = daemon.wait_for_revision(revision, STEP_TIMEOUT).await;
                assert!(reached, "{} stuck before revision {revision}", host.name);
            }
        }
    }

    /// Returns the number of requests that began to run, over all targets.
    pub fn started(&self) -> u64 {
        let targets = self.hosts.iter().filter_map(|host| host.target.as_ref());
        targets.map(|target| target.counts().started).sum()
    }

    /// Kills the daemons that are still running.
    pub async fn end(self) {
        for host in self.hosts {
            if let Some(daemon) = host.daemon {
                daemon.kill().await;
            }
        }
    }
}

async fn start_target(host: &str, region: &str, latch: Option<&TargetLatch>) -> TargetStandIn {
    let call = DownstreamCall {
        method: http::Method::GET,
        path: "/latch".to_owned(),
    };
    let config = TargetConfig {
        host: host.to_owned(),
        region: region.to_owned(),
        calls: latch.map(|_| call).into_iter().collect(),
        daemon: latch.map(|latch| latch.listener.local_address()),
        ..TargetConfig::default()
    };
    TargetStandIn::start(config).await.unwrap()
}

/// Blocks the requests at targets: before it answers, each target sends a request
/// to this listener, which waits for [`TargetLatch::open`].
pub struct TargetLatch {
    listener: CallerListener,
    open: watch::Sender<bool>,
}

impl TargetLatch {
    /// Returns a closed latch, at which all requests wait.
    pub fn closed() -> TargetLatch {
        let open = watch::Sender::new(false);
        let opened = open.clone();
        let listener = CallerListener::bind(free_tcp(), ListenLimits::default(), move |_| {
            let mut opened = opened.subscribe();
            async move {
                let _ = opened.wait_for(|open| *open).await;
                Response::new(AnswerBody::whole("open"))
            }
        });
        TargetLatch {
            listener: listener.unwrap(),
            open,
        }
    }

    /// Unblocks all present and later requests.
    pub fn open(&self) {
        self.open.send_replace(true);
    }
}

/// An answer to a caller, with its complete body.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerAnswer {
    /// Returns the value of a header; empty when it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    /// Returns the verdict and the reason of the answer.
    pub fn verdict(&self) -> (&str, &str) {
        (
            self.header("x-radishgauge-verdict"),
            self.header("x-radishgauge-reason"),
        )
    }
}

/// A caller with its own HTTP connections.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Returns a caller that has no open connections.
    pub fn new() -> Caller {
        Caller {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Posts a request and reads the complete answer.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> CallerAnswer {
        let mut request = Request::post(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        self.send(request).await
    }

    /// Returns the answer of the operators' listener to `GET /status`.
    pub async fn status(&self, operators: SocketAddr) -> serde_json::Value {
        let request = Request::get(format!("http://{operators}/status"));
        let answer = self.send(request.body(Full::default()).unwrap()).await;
        serde_json::from_slice(&answer.body).unwrap()
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> CallerAnswer {
        let path = request.uri().path().to_owned();
        let complete = async {
            let (head, body) = self.client.request(request).await.unwrap().into_parts();
            CallerAnswer {
                status: head.status,
                headers: head.headers,
                body: body.collect().await.unwrap().to_bytes(),
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, complete)
            .await
            .unwrap_or_else(|_| panic!("stuck waiting for the answer to {path}"))
    }

    /// Requests an idempotency key for requests to a path.
    pub async fn key(&self, address: SocketAddr, path: &str) -> String {
        let path = format!("/.radishgauge/keys?path={path}");
        let answer = self.post(address, &path, &[], "").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        answer.header("idempotency-key").to_owned()
    }
}

/// Waits until a condition is true.
pub async fn wait_until<F>(what: &str, mut check: F)
where
    F: FnMut() -> bool,
{
    wait_until_async(what, async || check()).await;
}

/// Waits until a condition is true that is checked by an asynchronous function.
pub async fn wait_until_async<F>(what: &str, mut check: F)
where
    F: AsyncFnMut() -> bool,
{
    let begun = Instant::now();
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    while !check().await {
        assert!(begun.elapsed() < STEP_TIMEOUT, "stuck waiting for {what}");
        poll.tick().await;
    }
}

/// Returns an address with a free TCP port that no other call has returned.
pub fn free_tcp() -> SocketAddr {
    unused(|| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    })
}

/// Returns an address with a free UDP port that no other call has returned.
pub fn free_udp() -> SocketAddr {
    unused(|| {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.local_addr().unwrap()
    })
}

/// Returns the first free address that was not returned before. A port that one test has
/// found and not bound yet is free for the others.
fn unused<F>(find_free: F) -> SocketAddr
where
    F: Fn() -> SocketAddr,
{
    static RETURNED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    loop {
        let address = find_free();
        if RETURNED.lock().unwrap().insert(address) {
            return address;
        }
    }
}
