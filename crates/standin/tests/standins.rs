//! Behaviour of the stand-ins that other tests and benchmarks rely on.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::trace::v1::ResourceSpans;
use opentelemetry_proto::tonic::trace::v1::ScopeSpans;
use opentelemetry_proto::tonic::trace::v1::Span;
use prost::Message;
use radishgauge_standin::ColdStart;
use radishgauge_standin::CollectorStandIn;
use radishgauge_standin::DownstreamCall;
use radishgauge_standin::LinkConfig;
use radishgauge_standin::LinkStandIn;
use radishgauge_standin::StatsdStandIn;
use radishgauge_standin::TargetConfig;
use radishgauge_standin::TargetStandIn;
use radishgauge_standin::target::CRASH_HEADER;
use tokio::net::UdpSocket;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

fn get(address: SocketAddr, header: &str, value: &str) -> Request<Full<Bytes>> {
    Request::get(format!("http://{address}/work"))
        .header(header, value)
        .body(Full::default())
        .unwrap()
}

async fn text(response: Response<hyper::body::Incoming>) -> Bytes {
    response.into_body().collect().await.unwrap().to_bytes()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Guards against a worker that counts a crashed request as finished, or that
/// accepts connections after its crash.
#[tokio::test]
async fn crashed_worker_is_unreachable_until_its_restart() {
    let target = TargetStandIn::start(TargetConfig::default()).await.unwrap();
    let client = client();
    let good = client
        .request(get(target.address(), "idempotency-key", "k"))
        .await
        .unwrap();
    assert_eq!(good.status(), StatusCode::OK);
    assert!(
        client
            .request(get(target.address(), CRASH_HEADER, "1"))
            .await
            .is_err()
    );
    assert!(
        client
            .request(get(target.address(), "x-request-id", "r"))
            .await
            .is_err()
    );
    target.restart().await.unwrap();
    client
        .request(get(target.address(), "idempotency-key", "k"))
        .await
        .unwrap();
    let counts = target.counts();
    assert_eq!((counts.started, counts.finished, counts.crashes), (3, 2, 1));
    assert_eq!(target.runs_of_key("k"), 2);
    assert_eq!(target.repeated_keys(), ["k"]);
    assert_eq!(target.runs_of_request("r"), 0);
}

/// Guards against a cold worker that runs its full load without failures, or
/// that never becomes warm.
#[tokio::test]
async fn cold_worker_collapses_under_full_load() {
    let config = TargetConfig {
        cold_start: Some(ColdStart {
            slots: 1,
            responses_per_doubling: 4,
        }),
        // Long enough for eight requests to arrive, even on a busy machine,
        // before the first one finishes.
        service_time: Duration::from_millis(100),
        slots: 8,
        ..TargetConfig::default()
    };
    let target = TargetStandIn::start(config).await.unwrap();
    let client = client();
    let burst = |count: usize| {
        let requests =
            (0..count).map(|_| client.request(get(target.address(), "x-request-id", "r")));
        join_all(requests.collect::<Vec<_>>())
    };
    let failed = burst(8)
        .await
        .into_iter()
        .filter(|answer| answer.as_ref().unwrap().status().is_server_error());
    assert!(failed.count() > 0);
    assert!(target.counts().collapsed > 0);
    // The capacity doubles after four successful responses: from 1 slot to 2, 4
    // and 8.
    target.set_service_time(Duration::ZERO);
    for _ in 0..12 {
        assert_eq!(burst(1).await.remove(0).unwrap().status(), StatusCode::OK);
    }
    let warm = burst(8).await;
    assert!(
        warm.iter()
            .all(|answer| answer.as_ref().unwrap().status() == StatusCode::OK)
    );
}

/// Guards against a worker that makes its calls to other services without the
/// trace header, or leaves them out of the count in `x-radishgauge-calls`.
#[tokio::test]
async fn worker_forwards_the_trace_in_its_calls() {
    let last = TargetStandIn::start(TargetConfig::default()).await.unwrap();
    let first = TargetStandIn::start(TargetConfig {
        daemon: Some(last.address()),
        calls: vec![
            DownstreamCall {
                method: http::Method::GET,
                path: "/next".to_owned()
            };
            2
        ],
        ..TargetConfig::default()
    })
    .await
    .unwrap();
    let answer = client()
        .request(get(first.address(), "traceparent", "00-a-b-01"))
        .await
        .unwrap();
    assert_eq!(answer.headers()["x-radishgauge-calls"], "3");
    let served = last.served();
    assert!(
        served
            .iter()
            .all(|request| request.traceparent == "00-a-b-01" && request.path == "/next")
    );
    assert_eq!(served.len(), 2);
    first.set_draining(true);
    let refused = client()
        .request(get(first.address(), "traceparent", "x"))
        .await
        .unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(text(refused).await, "no new work");
    assert_eq!(first.counts().refused, 1);
}

/// Guards against a link that drops datagrams while it is not cut, delivers them
/// while it is, or miscounts them.
#[tokio::test]
async fn link_relays_both_directions_until_it_is_cut() {
    let far = UdpSocket::bind(loopback()).await.unwrap();
    let near = UdpSocket::bind(loopback()).await.unwrap();
    let link = LinkStandIn::open(far.local_addr().unwrap(), LinkConfig::default())
        .await
        .unwrap();
    let mut buffer = [0; 100];
    near.send_to(b"there", link.address()).await.unwrap();
    let (length, path) = far.recv_from(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..length], b"there");
    far.send_to(b"and back", path).await.unwrap();
    let (length, from) = near.recv_from(&mut buffer).await.unwrap();
    assert_eq!(
        (&buffer[..length], from),
        (&b"and back"[..], link.address())
    );
    link.set_cut(true);
    far.send_to(b"lost", path).await.unwrap();
    near.send_to(b"lost", link.address()).await.unwrap();
    while link.stats().dropped < 2 {
        tokio::task::yield_now().await;
    }
    link.set_cut(false);
    near.send_to(b"again", link.address()).await.unwrap();
    let length = far.recv(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..length], b"again");
    let stats = link.stats();
    assert_eq!((stats.forward_bytes, stats.forward_datagrams), (10, 2));
    assert_eq!((stats.backward_bytes, stats.backward_datagrams), (8, 1));
}

/// Guards against metrics and spans that are received but not decoded.
#[tokio::test]
async fn metrics_and_spans_are_decoded() {
    let statsd = StatsdStandIn::start().await.unwrap();
    let socket = UdpSocket::bind(loopback()).await.unwrap();
    socket
        .send_to(
            b"rg.calls:2|c\nrg.calls:3|c|#route:a\nnoise",
            statsd.address(),
        )
        .await
        .unwrap();
    let totals = statsd.wait_for("rg.calls").await;
    assert_eq!((totals.samples, totals.sum, totals.last), (2, 5.0, 3.0));
    assert_eq!(statsd.names(), ["rg.calls"]);

    let collector = CollectorStandIn::start().await.unwrap();
    let span = Span {
        name: "hop".to_owned(),
        ..Span::default()
    };
    let scope = ScopeSpans {
        spans: vec![span.clone()],
        ..ScopeSpans::default()
    };
    let resource = ResourceSpans {
        scope_spans: vec![scope],
        ..ResourceSpans::default()
    };
    let export = ExportTraceServiceRequest {
        resource_spans: vec![resource],
    };
    let send = |body: Vec<u8>| {
        client().request(
            Request::post(collector.url())
                .body(Full::new(body.into()))
                .unwrap(),
        )
    };
    assert_eq!(
        send(b"no message".to_vec()).await.unwrap().status(),
        StatusCode::BAD_REQUEST
    );
    assert_eq!(
        send(export.encode_to_vec()).await.unwrap().status(),
        StatusCode::OK
    );
    assert_eq!(collector.wait_for(1).await, [span]);
}
