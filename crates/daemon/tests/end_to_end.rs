//! End-to-end test with two daemon processes: a version is published and a call
//! passes through both.

mod common;

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use common::free_tcp;
use common::free_udp;
use http::Response;
use prost::Message;
use radishgauge_config::load_set;
use radishgauge_config::pack;
use radishgauge_net::KeyAuthority;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_net::exchange::HttpRequest;
use radishgauge_net::listener::CallerListener;
use radishgauge_net::listener::ListenLimits;
use radishgauge_schema::config::HostEntry;
use radishgauge_schema::config::HostList;
use radishgauge_schema::config::HostState;

/// The timeout of a step, far longer than any step takes.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

struct Host {
    name: &'static str,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    process: Option<Child>,
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn start(dir: &Path, authority: &KeyAuthority, host: &mut Host, seeds: &[String; 2]) {
    let identity = authority.issue(host.name, "addis-bole").unwrap();
    fs::write(dir.join("ca.pem"), &identity.ca).unwrap();
    fs::write(
        dir.join(format!("{}.pem", host.name)),
        &identity.certificate,
    )
    .unwrap();
    fs::write(dir.join(format!("{}.key", host.name)), &identity.key).unwrap();
    let at = dir.display();
    let settings = format!(
        "host: {name}\nregion: addis\nfailure_domain: addis-bole\n\
         listen:\n  callers: {callers}\n  peers: {peers}\n  operators: {operators}\n\
         seeds: {seeds:?}\n\
         platform:\n  directory: {at}/platform\n\
         tls:\n  ca: {at}/ca.pem\n  certificate: {at}/{name}.pem\n  key: {at}/{name}.key\n",
        name = host.name,
        callers = host.callers,
        peers = host.peers,
        operators = host.operators,
    );
    let path = dir.join(format!("{}.yaml", host.name));
    fs::write(&path, settings).unwrap();
    let process = Command::new(env!("CARGO_BIN_EXE_radishgauged"))
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    host.process = Some(process);
}

/// Sends one HTTP request and returns the response; `None` while the listener is
/// not up yet.
fn send_request(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

fn wait_for<F>(what: &str, mut check: F) -> String
where
    F: FnMut() -> Option<String>,
{
    let begun = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(begun.elapsed() < STEP_TIMEOUT, "stuck waiting for {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn write_set(dir: &Path, target: SocketAddr, daemon: SocketAddr, timeout_ms: u32) {
    let set = format!(
        "regions:\n  - name: addis\n\
         failure_domains:\n  - name: addis-bole\n    region: addis\n\
         services:\n  - name: motif-shop\n    targets:\n      - host: shop-2\n        \
         address: {target}\n        daemon: {daemon}\n        failure_domain: addis-bole\n\
         routes:\n  - name: catalogue\n    path_prefix: /motifs\n    service: motif-shop\n    \
         repeatable: true\n    timeout_ms: {timeout_ms}\n\
         policy:\n  retry_percent: 10\n"
    );
    fs::create_dir_all(dir.join("set")).unwrap();
    fs::write(dir.join("set/fleet.yaml"), set).unwrap();
}

fn publish(dir: &Path, revision: u64) {
    let set = load_set(&dir.join("set")).unwrap_or_else(|faults| panic!("{faults}"));
    pack(&set, revision)
        .write_to(&dir.join("platform"))
        .unwrap();
}

fn revision_of(host: &Host) -> Option<u64> {
    let text = send_request(
        host.operators,
        "GET /status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    )?;
    let body = text.split_once("\r\n\r\n")?.1;
    let status: serde_json::Value = serde_json::from_str(body).ok()?;
    status["revision"].as_u64()
}

// Guards against a failure anywhere between the operator's configuration files
// and the answer to a caller.
#[test]
fn version_and_call_pass_through_two_processes() {
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    fs::create_dir_all(dir.join("platform/hosts")).unwrap();
    let target = CallerListener::bind(
        free_tcp(),
        ListenLimits::default(),
        |mut request: HttpRequest| async move {
            let body = request.body.whole(1024).await.unwrap();
            let text = format!(
                "{} {} {}",
                request.head.method,
                request.head.uri,
                String::from_utf8_lossy(&body)
            );
            Response::new(AnswerBody::whole(text))
        },
    )
    .unwrap();
    let mut hosts = ["shop-1", "shop-2"].map(|name| Host {
        name,
        callers: free_tcp(),
        operators: free_tcp(),
        peers: free_udp(),
        process: None,
    });
    write_set(dir, target.local_address(), hosts[1].peers, 30_000);
    publish(dir, 1);
    let host_entries = hosts.iter().map(|host| HostEntry {
        host: host.name.to_owned(),
        failure_domain: "addis-bole".to_owned(),
        daemon: host.peers.to_string(),
        incarnation: 1,
        state: HostState::Live.into(),
    });
    let list = HostList {
        failure_domain: "addis-bole".to_owned(),
        revision: 1,
        hosts: host_entries.collect(),
    };
    fs::write(dir.join("platform/hosts/addis-bole"), list.encode_to_vec()).unwrap();
    let authority = KeyAuthority::generate().unwrap();
    let seeds = [&hosts[0], &hosts[1]].map(|host| host.peers.to_string());
    for host in &mut hosts {
        start(dir, &authority, host, &seeds);
    }
    for host in &hosts {
        wait_for("revision 1", || (revision_of(host)? >= 1).then(String::new));
    }

    // shop-1 has no target, so the call is sent to shop-2.
    let call = "POST /motifs/7?size=2 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        content-length: 5\r\n\r\nlaurel";
    let answer = wait_for("an answer", || {
        send_request(hosts[0].callers, &call.replace("laurel", "roses"))
    });
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("x-radishgauge-verdict: ran"), "{answer}");
    assert!(answer.contains("POST /motifs/7?size=2 roses"), "{answer}");

    // A change reaches both daemons.
    write_set(dir, target.local_address(), hosts[1].peers, 29_000);
    publish(dir, 2);
    for host in &hosts {
        wait_for("revision 2", || (revision_of(host)? >= 2).then(String::new));
    }

    // An older version at the platform, as from a stale read, is ignored.
    publish(dir, 1);
    let unknown = send_request(
        hosts[0].callers,
        "GET /unknown HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    let unknown = unknown.unwrap();
    assert!(unknown.starts_with("HTTP/1.1 404"), "{unknown}");
    assert!(
        unknown.contains("x-radishgauge-verdict: not-run"),
        "{unknown}"
    );
    for host in &hosts {
        assert_eq!(revision_of(host), Some(2));
    }

    // A stop requested by an operator ends the process with exit code 0.
    let stop = "POST /stop HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    for host in &mut hosts {
        send_request(host.operators, stop).unwrap();
        let process = host.process.as_mut().unwrap();
        // The wait is bounded, so that a daemon that does not end fails the test.
        let code = wait_for("the end", || {
            let status = process.try_wait().unwrap()?;
            Some(format!("{:?}", status.code()))
        });
        assert_eq!(code, "Some(0)");
    }
}
