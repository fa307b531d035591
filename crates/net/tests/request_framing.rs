//! Requests whose bodies have no unambiguous end, at a real listener.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use radishgauge_net::AnswerBody;
use radishgauge_net::CallerListener;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::ListenLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long a test waits for the end of a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// The request that must not be found in what follows a refused head.
const NEXT_REQUEST: &str = "GET /next HTTP/1.1\r\nhost: a\r\n\r\n";

/// A listener that reads bodies and counts the requests that reach its handler.
struct CountingListener {
    listener: CallerListener,
    /// The requests whose bodies were complete.
    complete: Arc<AtomicUsize>,
    handled: Arc<AtomicUsize>,
}

impl CountingListener {
    fn start() -> CountingListener {
        let complete = Arc::new(AtomicUsize::new(0));
        let handled = Arc::new(AtomicUsize::new(0));
        let counters = (Arc::clone(&complete), Arc::clone(&handled));
        let handler = move |mut request: HttpRequest| {
            let (complete, handled) = counters.clone();
            async move {
                handled.fetch_add(1, Ordering::SeqCst);
                while let Ok(data) = request.body.data().await {
                    if data.is_none() {
                        complete.fetch_add(1, Ordering::SeqCst);
                        break;
                    }
                }
                HttpAnswer::new(AnswerBody::whole("handled"))
            }
        };
        let limits = ListenLimits {
            threads: 1,
            ..ListenLimits::default()
        };
        CountingListener {
            listener: CallerListener::bind(common::loopback(), limits, handler).unwrap(),
            complete,
            handled,
        }
    }

    /// Sends bytes, and returns all that is answered until the listener closes.
    async fn exchange(&self, bytes: &str) -> String {
        let address = self.listener.local_address();
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut received = Vec::new();
        let closed = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut received));
        // A reset also ends the connection; the bytes before it are kept.
        let _ = closed.await.expect("the connection stays open");
        String::from_utf8_lossy(&received).into_owned()
    }
}

/// Guards against a body that ends elsewhere for another recipient, and against a part of
/// such a body that is run as a request.
#[tokio::test]
async fn ambiguous_body_ends_are_refused() {
    let forms = [
        ("HTTP/1.1", "transfer-encoding: gzip"),
        ("HTTP/1.1", "transfer-encoding: identity"),
        ("HTTP/1.1", "transfer-encoding:"),
        ("HTTP/1.1", "transfer-encoding: chunked;q=1"),
        ("HTTP/1.1", "transfer-encoding: chunked, gzip"),
        ("HTTP/1.1", "transfer-encoding: gzip, chunked"),
        ("HTTP/1.1", "transfer-encoding: chunked, chunked"),
        (
            "HTTP/1.1",
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        ),
        (
            "HTTP/1.1",
            "transfer-encoding: chunked\r\ncontent-length: 5",
        ),
        (
            "HTTP/1.1",
            "content-length: 5\r\ntransfer-encoding: chunked",
        ),
        ("HTTP/1.0", "transfer-encoding: chunked"),
        ("HTTP/1.1", "content-length: 5\r\ncontent-length: 6"),
        ("HTTP/1.1", "content-length: 5, 6"),
        ("HTTP/1.1", "content-length: +5"),
        ("HTTP/1.1", "content-length: -5"),
        ("HTTP/1.1", "content-length: 0x5"),
        ("HTTP/1.1", "content-length:"),
        ("HTTP/1.1", "content-length: 18446744073709551616"),
    ];
    let counting = CountingListener::start();
    let mut faults = Vec::new();
    for (version, fields) in forms {
        let body = "0\r\n\r\n";
        let head = format!("POST / {version}\r\nhost: a\r\n{fields}\r\n\r\n");
        let answer = counting
            .exchange(&format!("{head}{body}{NEXT_REQUEST}"))
            .await;
        let is_refused = answer.starts_with("HTTP/1.1 400 ")
            && answer.contains("\r\nconnection: close\r\n")
            && answer.matches("HTTP/1.").count() == 1;
        let handled = counting.handled.swap(0, Ordering::SeqCst);
        if !is_refused || handled > 0 {
            faults.push(format!(
                "{version} {fields:?}: {handled} handled, {answer:?}"
            ));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against chunks whose lines another recipient reads differently, and against a
/// part of such a body that is run as a request.
#[tokio::test]
async fn malformed_chunks_end_the_connection() {
    let bodies = [
        "\r\n\r\n",
        "\n0\r\n\r\n",
        ";x\r\n\r\n",
        " 0\r\n\r\n",
        "+0\r\n\r\n",
        "0x\r\n\r\n",
        "0x5\r\nhello\r\n0\r\n\r\n",
        "0 0\r\n\r\n",
        "5\nhello\r\n0\r\n\r\n",
        "5\r\rhello\r\n0\r\n\r\n",
        "5;a=b\nhello\r\n0\r\n\r\n",
        "5;a=b\rc\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\n0\r\n\r\n",
        "5\r\nhellox\r\n0\r\n\r\n",
        "5\r\nhello\r\r\n0\r\n\r\n",
        "5\r\nhello0\r\n\r\n",
        "11111111111111111\r\n",
        "0\r\n\n",
    ];
    let counting = CountingListener::start();
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut faults = Vec::new();
    for body in bodies {
        let answer = counting
            .exchange(&format!("{head}{body}{NEXT_REQUEST}"))
            .await;
        let complete = counting.complete.swap(0, Ordering::SeqCst);
        let handled = counting.handled.swap(0, Ordering::SeqCst);
        if complete > 0 || handled > 1 {
            faults.push(format!(
                "{body:?}: {handled} handled, {complete} complete, {answer:?}"
            ));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against the refusal of bodies whose ends every recipient finds alike.
#[tokio::test]
async fn unambiguous_body_ends_are_accepted() {
    let requests = [
        "content-length: 5\r\n\r\nhello",
        "content-length: 0\r\n\r\n",
        "content-length: 5\r\nContent-Length: 5\r\n\r\nhello",
        "transfer-encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n5;a=b\r\nhello\r\nA \t;c\r\n0123456789\r\n0 \r\n\r\n",
    ];
    let counting = CountingListener::start();
    let last = NEXT_REQUEST.replace("host: a", "host: a\r\nconnection: close");
    for request in requests {
        let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{request}{last}");
        let answer = counting.exchange(&text).await;
        let complete = counting.complete.swap(0, Ordering::SeqCst);
        assert_eq!(complete, 2, "{request:?}: {answer:?}");
        assert_eq!(answer.matches("HTTP/1.1 200 ").count(), 2, "{answer:?}");
    }
}
