//! Targets that send bytes without end, in a head or a body.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use radishgauge_net::ByteBudget;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetError;
use radishgauge_net::TargetLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The greatest body that the client accepts, in bytes.
const BODY_LIMIT: usize = 2 * 1024 * 1024;

/// More bytes than the client may read of any answer.
const TOO_MANY: usize = 64 * 1024 * 1024;

/// A target that answers each request with `start`, and then repeats `piece` until
/// the client closes the connection.
struct EndlessTarget {
    address: SocketAddr,
    /// The number of connections that the client has closed.
    closed: Arc<AtomicUsize>,
    /// The greatest number of bytes that were sent on one connection.
    most_sent: Arc<AtomicUsize>,
}

impl EndlessTarget {
    async fn start(start: &'static str, piece: &'static str) -> EndlessTarget {
        let listener = TcpListener::bind(common::loopback()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = EndlessTarget {
            address,
            closed: Arc::default(),
            most_sent: Arc::default(),
        };
        let (closed, most_sent) = (target.closed.clone(), target.most_sent.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (closed, most_sent) = (closed.clone(), most_sent.clone());
                tokio::spawn(async move {
                    let mut request = [0; 4096];
                    let _ = stream.read(&mut request).await;
                    let _ = stream.write_all(start.as_bytes()).await;
                    let pieces = piece.repeat(4096 / piece.len() + 1);
                    let mut sent = 0;
                    while sent < TOO_MANY && stream.write_all(pieces.as_bytes()).await.is_ok() {
                        sent += pieces.len();
                    }
                    most_sent.fetch_max(sent, Ordering::Relaxed);
                    closed.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        target
    }

    fn client(&self, budget: &Arc<ByteBudget>) -> TargetClient {
        TargetClient::with_budget(self.address, TargetLimits::default(), Arc::clone(budget))
    }

    /// Waits until the client has closed `count` connections before the target has
    /// sent too many bytes.
    async fn wait_closed(&self, count: usize) {
        while self.closed.load(Ordering::Relaxed) < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(self.most_sent.load(Ordering::Relaxed) < TOO_MANY);
    }
}

fn request() -> Request<TargetBody> {
    Request::get("/")
        .header("host", "shop")
        .body(TargetBody::whole(Bytes::new()))
        .unwrap()
}

async fn receive(client: &TargetClient) -> Result<Bytes, TargetError> {
    let mut answer = client.send(request()).await?.into_body();
    answer.whole(BODY_LIMIT).await
}

/// Checks that an endless answer fails as possibly run, and that its connection is
/// closed and its memory released.
async fn check_endless(start: &'static str, piece: &'static str) {
    let target = EndlessTarget::start(start, piece).await;
    let budget = Arc::new(ByteBudget::new(64 * 1024 * 1024));
    let error = receive(&target.client(&budget)).await.unwrap_err();
    assert!(error.sent, "{error}");
    target.wait_closed(1).await;
    assert_eq!(budget.used(), 0);
}

/// Guards against a header field that fills the memory.
#[tokio::test]
async fn endless_header_field_is_refused() {
    check_endless("HTTP/1.1 200 OK\r\nx: ", "aaaaaaaa").await;
}

/// Guards against header fields without end.
#[tokio::test]
async fn endless_header_fields_are_refused() {
    check_endless("HTTP/1.1 200 OK\r\n", "x: y\r\n").await;
}

/// Guards against a client that skips informational answers for ever.
#[tokio::test]
async fn endless_informational_answers_are_refused() {
    check_endless("", "HTTP/1.1 103 Early Hints\r\n\r\n").await;
}

/// Guards against bodies that are read until the target closes the connection.
#[tokio::test]
async fn endless_body_without_length_is_refused() {
    check_endless("HTTP/1.1 200 OK\r\n\r\n", "data").await;
}

/// Guards against bodies whose declared length exceeds the limit.
#[tokio::test]
async fn endless_body_with_length_is_refused() {
    check_endless(
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "data",
    )
    .await;
}

/// Guards against chunks of one byte, which use more memory than their bytes.
#[tokio::test]
async fn endless_chunks_are_refused() {
    check_endless(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1\r\nx\r\n",
    )
    .await;
}

/// Guards against chunk extensions without end, in many short lines.
#[tokio::test]
async fn endless_chunk_extensions_are_refused() {
    check_endless(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1;name=a-long-value-of-an-extension-that-nobody-reads\r\nx\r\n",
    )
    .await;
}

/// Guards against trailer fields without end.
#[tokio::test]
async fn endless_trailers_are_refused() {
    check_endless(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "x: y\r\n",
    )
    .await;
}

/// Guards against answers to other requests that are skipped without end.
#[tokio::test]
async fn endless_skipped_answer_is_refused() {
    let target = EndlessTarget::start(
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "data",
    )
    .await;
    let client = TargetClient::new(target.address, TargetLimits::default());
    let progress = radishgauge_net::RequestProgress::default();
    let answer = client.send_matched(request(), &progress, |_| false).await;
    assert!(answer.is_err_and(|error| error.sent));
    target.wait_closed(1).await;
}

/// Guards against many endless bodies that together fill the memory although each
/// is within its limit.
#[tokio::test]
async fn many_endless_bodies_stay_within_the_budget() {
    const COUNT: usize = 24;
    let target = EndlessTarget::start("HTTP/1.1 200 OK\r\n\r\n", "data").await;
    let budget = Arc::new(ByteBudget::new(BODY_LIMIT));
    let client = target.client(&budget);
    let receivers: Vec<_> = (0..COUNT)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { receive(&client).await })
        })
        .collect();
    for receiver in receivers {
        assert!(receiver.await.unwrap().is_err());
    }
    target.wait_closed(COUNT).await;
    assert_eq!(budget.used(), 0);
}

/// Guards against a budget that refuses complete answers while a faulty target
/// sends an endless one.
#[tokio::test]
async fn complete_answer_fits_beside_an_endless_one() {
    let budget = Arc::new(ByteBudget::new(BODY_LIMIT));
    let endless = EndlessTarget::start("HTTP/1.1 200 OK\r\n\r\n", "data").await;
    let complete =
        EndlessTarget::start("HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n", "data").await;
    let endless_client = endless.client(&budget);
    let receiver = tokio::spawn(async move { receive(&endless_client).await });
    for _ in 0..20 {
        let body = receive(&complete.client(&budget)).await.unwrap();
        assert_eq!(body.len(), 4096);
    }
    assert!(receiver.await.unwrap().is_err());
}
