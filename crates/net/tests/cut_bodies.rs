//! Requests whose bodies end before they are complete.

mod common;

use std::time::Duration;

use radishgauge_net::AnswerBody;
use radishgauge_net::CallerListener;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::ListenLimits;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// How the caller ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    CloseWriting,
    Reset,
}

/// Guards against a request body that ends before its declared length, or before
/// its last chunk, and reaches the handler as complete.
#[tokio::test]
async fn body_that_was_cut_off_is_never_complete() {
    const LENGTH: usize = 60_000;
    let (sender, mut bodies) = mpsc::unbounded_channel();
    let handler = move |mut request: HttpRequest| {
        let sender = sender.clone();
        async move {
            let body = request.body.whole(u64::MAX).await;
            sender.send(body.map(|body| body.len())).unwrap();
            HttpAnswer::new(AnswerBody::whole("done"))
        }
    };
    let limits = ListenLimits {
        threads: 1,
        ..ListenLimits::default()
    };
    let listener = CallerListener::bind(common::loopback(), limits, handler).unwrap();
    let framings = [
        format!("content-length: {LENGTH}\r\n\r\n"),
        format!("transfer-encoding: chunked\r\n\r\n{LENGTH:x}\r\n"),
    ];
    let mut received = 0;
    for framing in &framings {
        for ending in [Ending::Close, Ending::CloseWriting, Ending::Reset] {
            for sent in [0, 1, 1_000, 20_000, 59_999] {
                for pause in [0, 5] {
                    let mut caller = TcpStream::connect(listener.local_address()).await.unwrap();
                    let head = format!("POST /upload HTTP/1.1\r\nhost: shop\r\n{framing}");
                    caller.write_all(head.as_bytes()).await.unwrap();
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                    caller.write_all(&vec![b'x'; sent]).await.unwrap();
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                    match ending {
                        Ending::Close => drop(caller),
                        Ending::CloseWriting => caller.shutdown().await.unwrap(),
                        Ending::Reset => {
                            SockRef::from(&caller)
                                .set_linger(Some(Duration::ZERO))
                                .unwrap();
                            drop(caller);
                        }
                    }
                    // The handler may be dropped before it has the body.
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    while let Ok(body) = bodies.try_recv() {
                        received += 1;
                        assert!(
                            body.is_err(),
                            "{framing:?} {ending:?} {sent} {pause}: {body:?}"
                        );
                    }
                }
            }
        }
    }
    assert!(received > 0);
}
