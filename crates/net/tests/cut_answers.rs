//! Answers that end before they are complete.

mod common;

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetError;
use radishgauge_net::TargetLimits;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// How the target ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
}

/// Sends one request to a target that answers with these bytes and then ends the
/// connection.
async fn answer(bytes: Vec<u8>, ending: Ending) -> Result<Bytes, TargetError> {
    let listener = TcpListener::bind(common::loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let read = stream.read(&mut request).await.unwrap();
        assert!(request[..read].ends_with(b"\r\n\r\n"));
        stream.write_all(&bytes).await.unwrap();
        if ending == Ending::Reset {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    });
    let client = TargetClient::new(address, TargetLimits::default());
    let request = Request::get("/")
        .header("host", "shop")
        .body(TargetBody::whole(""))
        .unwrap();
    let body = match client.send(request).await {
        Ok(answer) => answer.into_body().whole(1 << 20).await,
        Err(error) => Err(error),
    };
    target.await.unwrap();
    if body.is_err() {
        assert_eq!(client.idle(), 0);
    }
    body
}

/// Guards against an answer that stops at any byte, in its head, in the size of a
/// chunk or in its body, and reaches the caller as a complete one.
#[tokio::test]
async fn answer_that_stops_at_any_byte_is_never_complete() {
    let answers = [
        "HTTP/1.1 200 OK\r\nx-id: one\r\nx-digest: d\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\nx-id: one\nx-digest: d\ncontent-length: 4\n\nbody",
        "HTTP/1.1 200 OK\r\nx-digest: d\r\ntransfer-encoding: chunked\r\n\r\n1\r\nb\r\n003\r\nody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n10\nsixteen bytes it\n0\n\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
    ];
    for text in answers {
        for ending in [Ending::Close, Ending::Reset] {
            for cut in 0..text.len() {
                let bytes = text.as_bytes()[..cut].to_vec();
                let error = answer(bytes, ending).await.expect_err(&text[..cut]);
                assert!(error.sent, "{ending:?} {:?}", &text[..cut]);
            }
        }
        let whole = answer(text.as_bytes().to_vec(), Ending::Close).await;
        assert!(!whole.unwrap().is_empty(), "{text:?}");
    }
}
