//! Calls and requests between two daemons over loopback.

mod common;

use std::time::Duration;

use bytes::Bytes;
use radishgauge_net::InboundStream;
use radishgauge_net::PeerFault;
use radishgauge_schema::peer::AnswerHead;
use radishgauge_schema::peer::CallHead;
use radishgauge_schema::peer::PartRequest;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::Received;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;
use tokio::sync::mpsc;

const LONG: Duration = Duration::from_secs(60);

fn head(call: u64) -> CallHead {
    CallHead {
        call,
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        ..CallHead::default()
    }
}

fn received() -> PeerReply {
    PeerReply {
        reply: Some(Reply::Received(Received {})),
    }
}

/// Guards against bodies that are lost or joined wrongly across frames, and
/// against a request that is taken for a call.
#[tokio::test]
async fn request_and_streamed_call() {
    let pair = common::pair().await;
    assert_eq!(pair.near.peer().host, "far");
    assert_eq!(pair.far.peer().host, "near");
    let far = pair.far.clone();
    tokio::spawn(async move {
        far.serve(|inbound| async move {
            match inbound {
                InboundStream::Request { responder, .. } => {
                    responder.reply(received()).await.unwrap()
                }
                InboundStream::Call {
                    head,
                    mut body,
                    mut answer,
                } => {
                    assert_eq!(head.path, "/orders");
                    answer
                        .head(AnswerHead {
                            status: 200,
                            ..AnswerHead::default()
                        })
                        .await
                        .unwrap();
                    while let Some(data) = body.data().await.unwrap() {
                        answer.send(data).await.unwrap();
                    }
                    answer.finish().await.unwrap();
                }
            }
        })
        .await
    });
    let request = PeerRequest {
        request: Some(Request::Parts(PartRequest::default())),
    };
    let reply = pair.near.request(request, LONG).await.unwrap();
    assert_eq!(reply, received());
    pair.near.ping(LONG).await.unwrap();

    let (mut sender, receiver) = pair.near.call(head(7)).await.unwrap();
    let sent = Bytes::from((0..300_000u32).map(|byte| byte as u8).collect::<Vec<_>>());
    let echo = tokio::spawn(async move {
        let (head, mut body) = receiver.answer().await.unwrap();
        assert_eq!((head.call, head.status), (7, 200));
        body.whole(1 << 20).await.unwrap()
    });
    sender.send(sent.clone()).await.unwrap();
    sender.finish().await.unwrap();
    assert_eq!(echo.await.unwrap(), sent);
    let stats = pair.near.stats();
    assert!(stats.call_sent > 300_000 && stats.call_received > 300_000);
    assert!(stats.control_sent < 1_000);
    assert!(stats.datagram_bytes_sent > stats.call_sent);
}

/// Guards against a cancelled call that goes on at the far daemon, before and
/// after its answer began.
#[tokio::test]
async fn cancellation_reaches_the_peer() {
    let pair = common::pair().await;
    let (events, mut seen) = mpsc::unbounded_channel();
    let far = pair.far.clone();
    tokio::spawn(async move {
        far.serve(move |inbound| {
            let events = events.clone();
            async move {
                let InboundStream::Call {
                    head,
                    mut body,
                    mut answer,
                } = inbound
                else {
                    panic!("a call was sent");
                };
                events.send((head.call, Ok(None))).unwrap();
                if head.call == 2 {
                    body.whole(1 << 20).await.unwrap();
                    answer.head(AnswerHead::default()).await.unwrap();
                }
                answer.cancelled().await;
                let body = body.data().await;
                events.send((head.call, body)).unwrap();
            }
        })
        .await
    });
    let (sender, receiver) = pair.near.call(head(1)).await.unwrap();
    // A call that is dropped before its head left would never be seen there.
    assert_eq!(seen.recv().await.unwrap(), (1, Ok(None)));
    drop((sender, receiver));
    let (call, body) = seen.recv().await.unwrap();
    assert_eq!(call, 1);
    assert!(matches!(body.unwrap_err().fault, PeerFault::Reset(_)));

    let receiver = pair
        .near
        .call_whole(head(2), Bytes::from_static(b"x"))
        .await
        .unwrap();
    let (_, body) = receiver.answer().await.unwrap();
    assert_eq!(seen.recv().await.unwrap(), (2, Ok(None)));
    drop(body);
    let (call, body) = seen.recv().await.unwrap();
    assert_eq!((call, body), (2, Ok(None)));
}
