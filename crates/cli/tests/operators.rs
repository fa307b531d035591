//! Output and exit codes of the commands that query daemons, most of them against
//! a test server with fixed operator pages.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::time::Duration;

use http::StatusCode;
use prost::Message;
use radishgauge_cli::ExitStatus;
use radishgauge_config::load_settings;
use radishgauge_daemon::Daemon;
use radishgauge_daemon::DaemonResources;
use radishgauge_daemon::operator::query_parameter;
use radishgauge_net::OperatorListener;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_net::exchange::HttpAnswer;
use radishgauge_schema::config::HostEntry;
use radishgauge_schema::config::HostList;
use radishgauge_schema::config::HostState;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpSocket;
use tokio::runtime::Runtime;

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct Outcome {
    status: ExitStatus,
    out: String,
    err: String,
}

fn run(args: &[&str]) -> Outcome {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = args.iter().map(|arg| (*arg).into()).collect();
    let status = radishgauge_cli::run(args, &mut out, &mut err);
    Outcome {
        status,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// Serves the same page for every request.
fn serve(status: StatusCode, page: Value) -> (OperatorListener, String) {
    serve_with(move |_| (status, page.clone()))
}

/// Serves the page that a function returns for the path and query of a request.
fn serve_with<P>(page: P) -> (OperatorListener, String)
where
    P: Fn(&http::Uri) -> (StatusCode, Value) + Clone + Send + Sync + 'static,
{
    let listener = OperatorListener::bind(LOOPBACK, move |request| {
        let (status, page) = page(&request.head.uri);
        let mut answer = HttpAnswer::new(AnswerBody::whole(page.to_string()));
        *answer.status_mut() = status;
        async move { answer }
    })
    .unwrap();
    let address = listener.local_address().to_string();
    (listener, address)
}

/// Binds a port without listening on it, so that connections to it are refused
/// and no other process binds it.
fn closed_port() -> (TcpSocket, String) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(LOOPBACK).unwrap();
    let address = socket.local_addr().unwrap().to_string();
    (socket, address)
}

fn status_page(host: &str, revision: u64, took_ms: u64) -> Value {
    json!({
        "host": host,
        "region": "north",
        "failure_domain": "north-1",
        "revision": revision,
        "source": "platform",
        "age_ms": 65_000,
        "took_ms": took_ms,
        "unconfirmed": false,
        "refused_revision": 0,
        "refused_reasons": [],
        "platform_age_ms": 10,
        "roles": ["relay", "reader"],
        "stopping": false,
        "hosted": [],
        "suspects": 0,
        "retry_budget_calls": 10,
        "keys": 0,
        "meters": { "calls": 41, "refused": 7 },
    })
}

fn lagging_page() -> Value {
    let mut page = status_page("h2", 11, 900);
    page["refused_revision"] = json!(12);
    page["refused_reasons"] = json!(["route a: no such\nservice b", "drops half"]);
    page
}

/// Returns the first line that starts with a text, with single spaces.
fn line(out: &str, daemon: &str) -> String {
    let found = out.lines().find(|line| line.starts_with(daemon));
    let words: Vec<&str> = found.unwrap().split_whitespace().collect();
    words.join(" ")
}

// Guards against a table that omits a daemon that lags or does not answer, or
// that shows it without the reason.
#[test]
fn status_shows_why_daemons_lag() {
    let (_current, current) = serve(StatusCode::OK, status_page("h1", 12, 250));
    let (_lagging, lagging) = serve(StatusCode::OK, lagging_page());
    let (_closed, closed) = closed_port();
    let daemons = [
        "status", "--daemon", &current, "--daemon", &lagging, "--daemon", &closed,
    ];
    let shown = run(&daemons);
    assert_eq!(shown.status, ExitStatus::Partial, "{}", shown.err);
    assert_eq!(
        line(&shown.out, &current),
        format!("{current} h1 north-1 12 0 platform 65 s 250 ms relay,reader 41 7")
    );
    assert_eq!(
        line(&shown.out, &lagging),
        format!(
            "{lagging} h2 north-1 11 1 platform 65 s 900 ms relay,reader 41 7 \
             refused 12: route a: no such service b; drops half"
        )
    );
    let unreachable = line(&shown.out, &closed);
    assert!(unreachable.contains("- not reachable: "), "{unreachable}");
    assert_eq!(
        shown.out.lines().last().unwrap(),
        "3 daemons, 2 answered, 1 at the newest revision 12, took median 250 ms, longest 250 ms"
    );

    let json = run(&[&daemons[..], &["--json"]].concat());
    assert_eq!(json.status, ExitStatus::Partial);
    let report: Value = serde_json::from_str(&json.out).unwrap();
    assert_eq!(report["daemons"][0]["status"], status_page("h1", 12, 250));
    assert_eq!(report["daemons"][1]["lag"], 1);
    assert_eq!(report["daemons"][2]["status"], Value::Null);
    assert_eq!(report["daemons"][2]["lag"], Value::Null);
    assert_eq!(
        report["summary"],
        json!({
            "daemons": 3,
            "answered": 2,
            "newest_revision": 12,
            "at_newest": 1,
            "median_took_ms": 250,
            "longest_took_ms": 250,
        })
    );
}

// Guards against a lag that is shown without a reason, and against a refusal that
// is still shown after a later version came into force.
#[test]
fn status_shows_the_state_of_each_daemon() {
    let mut unconfirmed = status_page("h1", 12, 100);
    unconfirmed["unconfirmed"] = json!(true);
    unconfirmed["stopping"] = json!(true);
    let mut recovered = status_page("h2", 12, 300);
    recovered["refused_revision"] = json!(11);
    let pages = [
        (unconfirmed, "41 7 unconfirmed, stopping"),
        (recovered, "41 7"),
        (status_page("h3", 12, 200), "41 7"),
        (status_page("h4", 10, 5000), "41 7 12 not in force yet"),
        (status_page("h5", 0, 0), "41 7 no version in force"),
    ];
    let served = pages.map(|(page, end)| (serve(StatusCode::OK, page), end));
    let mut args = vec!["status"];
    for ((_, address), _) in &served {
        args.extend(["--daemon", address]);
    }
    let shown = run(&args);
    assert_eq!(shown.status, ExitStatus::Done, "{}", shown.err);
    for ((_, address), end) in &served {
        let line = line(&shown.out, address);
        assert!(line.ends_with(end), "{line}");
    }
    assert!(
        shown
            .out
            .ends_with("3 at the newest revision 12, took median 200 ms, longest 300 ms\n"),
        "{}",
        shown.out
    );
}

// Guards against a command that never ends because a daemon accepts the
// connection but sends no response.
#[test]
fn status_times_out_an_unresponsive_daemon() {
    let silent = TcpListener::bind(LOOPBACK).unwrap();
    let silent = (silent.local_addr().unwrap().to_string(), silent);
    let shown = run(&["status", "--daemon", &silent.0, "--timeout-ms", "50"]);
    assert_eq!(shown.status, ExitStatus::Unreachable);
    assert!(
        shown.out.contains("not reachable: no answer within 50 ms"),
        "{}",
        shown.out
    );
    assert!(
        shown
            .out
            .ends_with("1 daemons, 0 answered, 0 at the newest revision 0\n")
    );
}

// Guards against a page of another kind of server that is counted as the status
// of a daemon.
#[test]
fn status_rejects_other_pages() {
    let (_other, other) = serve(StatusCode::OK, json!({ "revision": 99 }));
    let (_missing, missing) = serve(StatusCode::NOT_FOUND, json!({ "error": "no page" }));
    let shown = run(&["status", "--daemon", &other, "--daemon", &missing]);
    assert_eq!(shown.status, ExitStatus::Unreachable);
    assert!(line(&shown.out, &other).contains("not a status page"));
    assert!(line(&shown.out, &missing).ends_with("answered 404 Not Found: no page"));
}

// Guards against addresses of a file that are skipped or queried twice, and
// against a wrong line number in the error.
#[test]
fn status_reads_addresses_from_a_file() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("daemons.txt");
    let name = file.to_str().unwrap();
    let (_daemon, daemon) = serve(StatusCode::OK, status_page("h1", 12, 250));
    fs::write(&file, format!("# north\n\n {daemon} \n{daemon}\n")).unwrap();
    let shown = run(&["status", "--file", name, "--daemon", &daemon]);
    assert_eq!(shown.status, ExitStatus::Done, "{}", shown.err);
    assert!(
        shown.out.contains("\n1 daemons, 1 answered"),
        "{}",
        shown.out
    );

    fs::write(&file, format!("{daemon}\n\nh1:port\n")).unwrap();
    let refused = run(&["status", "--file", name]);
    assert_eq!(refused.status, ExitStatus::Refused);
    assert!(
        refused
            .err
            .contains("daemons.txt:3: \"h1:port\" is not IP:PORT"),
        "{}",
        refused.err
    );
}

fn route_page() -> Value {
    json!({
        "revision": 12,
        "route": "orders",
        "service": "orders",
        "repeatable": false,
        "timeout_ms": 800,
        "home_regions": ["north", "south"],
        "refused_here": null,
        "targets": [
            { "host": "h1", "distance": "near", "allowed": true, "outstanding": 3,
              "response_us": 1200, "capacity": 8, "passed_over": false },
            { "host": "h2", "distance": "far", "allowed": false, "outstanding": 0,
              "response_us": 0, "capacity": 8, "passed_over": false },
        ],
    })
}

// Guards against a misaligned or incomplete table, and against `--json` output
// that differs from the page of the daemon.
#[test]
fn explain_route_shows_the_targets() {
    let (_daemon, daemon) = serve(StatusCode::OK, route_page());
    let args = ["explain", "route", "--daemon", &daemon, "/orders/17"];
    let shown = run(&args);
    assert_eq!(shown.status, ExitStatus::Done, "{}", shown.err);
    for text in ["timeout       800 ms", "home regions  north, south"] {
        assert!(shown.out.contains(text), "{}", shown.out);
    }
    assert_eq!(line(&shown.out, "h1"), "h1 near yes 3 8 1200 us");
    assert_eq!(line(&shown.out, "h2"), "h2 far not allowed 0 8 0 us");
    let json = run(&[&args[..], &["--json"]].concat());
    let page: Value = serde_json::from_str(&json.out).unwrap();
    assert_eq!(page, route_page());
}

// Guards against query parameters that are cut off at a reserved character, or
// whose encoding the daemon does not reverse.
#[test]
fn explain_route_passes_parameters_unchanged() {
    let (_daemon, daemon) = serve_with(|uri| {
        let query = uri.query().unwrap();
        let parameter = |name| query_parameter(query, name).unwrap();
        assert_eq!(uri.path(), "/explain/route");
        let seen = json!([parameter("path"), parameter("method"), parameter("tenant")]);
        (StatusCode::OK, json!({ "refused": seen.to_string() }))
    });
    let path = "/a b&c=d%20+#?é";
    let shown = run(&[
        "explain", "route", path, "--daemon", &daemon, "--method", "PUT", "--tenant", "t&u",
    ]);
    let seen = json!([path, "PUT", "t&u"]);
    assert_eq!(shown.out, format!("refused: {seen}\n"), "{}", shown.err);
    let shown = run(&["explain", "route", "/", "--daemon", &daemon]);
    assert_eq!(shown.out, "refused: [\"/\",null,null]\n");
    assert!(query_parameter("path=%ff", "path").is_err());
}

// Guards against exit code 0 for a call that the daemon refuses, on which a
// script would rely.
#[test]
fn explain_route_exits_with_1_for_refused_calls() {
    let mut refused_here = route_page();
    refused_here["refused_here"] = json!("not-home");
    let pages = [
        (json!({ "refused": "no-route" }), "refused: no-route\n"),
        (
            json!({ "route": "a", "refused": "no-target" }),
            "route a: refused: no-target\n",
        ),
        (refused_here, "refused here  not-home\n"),
    ];
    for (page, text) in pages {
        let (_daemon, daemon) = serve(StatusCode::OK, page);
        let args = ["explain", "route", "/a", "--daemon", &daemon];
        let shown = run(&args);
        assert_eq!(shown.status, ExitStatus::Refused, "{}", shown.err);
        assert!(shown.out.contains(text), "{}", shown.out);
        let json = run(&[&args[..], &["--json"]].concat());
        assert_eq!(json.status, ExitStatus::Refused);
    }
}

// Guards against a refused version that is not shown, and against a daemon
// without a version in force that is reported as not answering.
#[test]
fn explain_version_shows_refusals() {
    let (_daemon, daemon) = serve(
        StatusCode::OK,
        json!({
            "revision": 11, "root": "ab", "source": "platform", "because": "11 is the greatest",
            "freshness": "Fresh", "services_held": ["orders"], "routes_held": 3,
            "routes_not_held": 2, "refused_revision": 12, "refused_reasons": ["drops half"],
        }),
    );
    let shown = run(&["explain", "version", "--daemon", &daemon]);
    assert_eq!(shown.status, ExitStatus::Done, "{}", shown.err);
    assert!(shown.out.contains("routes     3 held, 2 not held\n"));
    assert!(
        shown
            .out
            .ends_with("refused    12\n           drops half\n")
    );

    let page = json!({ "revision": 0, "because": "no version is in force yet" });
    let (_daemon, daemon) = serve(StatusCode::OK, page);
    let shown = run(&["explain", "version", "--daemon", &daemon]);
    assert_eq!(shown.status, ExitStatus::Done, "{}", shown.err);
    assert_eq!(
        shown.out,
        "revision   0\nbecause    no version is in force yet\n"
    );
}

// Guards against an unreachable daemon that is reported as a refused call.
#[test]
fn explain_reports_unreachable_daemons() {
    let (_closed, closed) = closed_port();
    for subject in [&["version"][..], &["route", "/a"]] {
        let shown = run(&[&["explain", "--daemon", &closed], subject].concat());
        assert_eq!(shown.status, ExitStatus::Unreachable);
        assert!(shown.err.contains("not reachable"), "{}", shown.err);
    }
}

/// The time limit for a version to come into force, far above the usual time, so
/// that only a stuck daemon reaches it.
const VERSION_TIMEOUT: Duration = Duration::from_secs(60);

// Guards against operator pages that the commands cannot parse after a change of
// the daemon. The other tests use fixed copies of the pages.
#[test]
fn commands_parse_the_pages_of_a_daemon() {
    let dir = tempfile::tempdir().unwrap();
    let base_path = dir.path().to_str().unwrap();
    let set = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/abay-etchcraft");
    let set = set.to_str().unwrap();
    let platform = format!("{base_path}/platform");
    let keys = format!("{base_path}/keys");
    for args in [
        &["pack", set, "--revision", "5", "--output", &platform][..],
        &["keys", "shop-1.addis-bole", "--output", &keys],
    ] {
        let made = run(args);
        assert_eq!(made.status, ExitStatus::Done, "{}", made.err);
    }
    // A seed in the host list reads the version at once. Other daemons without
    // peers spread their reads over two minutes.
    let list = HostList {
        failure_domain: "addis-bole".to_owned(),
        revision: 5,
        hosts: vec![HostEntry {
            host: "shop-1".to_owned(),
            failure_domain: "addis-bole".to_owned(),
            daemon: "127.0.0.1:9".to_owned(),
            incarnation: 1,
            state: HostState::Live.into(),
        }],
    };
    let hosts = dir.path().join("platform/hosts");
    fs::create_dir_all(&hosts).unwrap();
    fs::write(hosts.join("addis-bole"), list.encode_to_vec()).unwrap();
    let settings = format!(
        "host: shop-1\nregion: addis\nfailure_domain: addis-bole\n\
         listen:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n\
         advertise: 127.0.0.1:9\nseeds: [\"127.0.0.1:9\"]\npolicy:\n  alone_after_ms: 100\n\
         platform:\n  directory: {platform}\n\
         tls:\n  ca: {keys}/ca.pem\n  certificate: {keys}/shop-1.pem\n  key: {keys}/shop-1.key.pem\n"
    );
    let path = dir.path().join("shop-1.yaml");
    fs::write(&path, settings).unwrap();
    let settings = load_settings(&path).unwrap_or_else(|faults| panic!("{faults}"));
    let runtime = Runtime::new().unwrap();
    let daemon = runtime.block_on(async {
        let opened = Daemon::open(&settings, DaemonResources::of_process()).await;
        let daemon = opened.unwrap();
        assert!(daemon.wait_for_revision(5, VERSION_TIMEOUT).await);
        daemon
    });
    let address = daemon.operators().to_string();

    let status = run(&["status", "--daemon", &address]);
    assert_eq!(status.status, ExitStatus::Done, "{}", status.out);
    let shown = line(&status.out, &address);
    assert!(
        shown.starts_with(&format!("{address} shop-1 addis-bole 5 0 ")),
        "{shown}"
    );
    // The daemon has no peer that could confirm its version.
    assert!(shown.ends_with(" unconfirmed"), "{shown}");
    let version = run(&["explain", "version", "--daemon", &address]);
    assert_eq!(version.status, ExitStatus::Done, "{}", version.err);
    assert!(version.out.starts_with("revision   5\n"), "{}", version.out);

    let route = ["explain", "route", "--daemon", &address, "/motifs/7%20a"];
    let found = run(&route);
    assert_eq!(found.status, ExitStatus::Done, "{}{}", found.out, found.err);
    assert!(
        found.out.starts_with("route         catalogue\n"),
        "{}",
        found.out
    );
    assert!(
        line(&found.out, "shop-1").contains(" yes "),
        "{}",
        found.out
    );
    // The home region of this tenant is not the daemon's.
    let restricted = run(&[&route[..], &["--tenant", "tana-weavers"]].concat());
    assert_eq!(restricted.status, ExitStatus::Refused, "{}", restricted.out);
    assert!(
        restricted.out.contains("refused here  "),
        "{}",
        restricted.out
    );
    let method = run(&[&route[..], &["--method", "DELETE"]].concat());
    assert_eq!(method.status, ExitStatus::Refused, "{}", method.out);

    runtime.block_on(daemon.begin_stop().finish());
}
