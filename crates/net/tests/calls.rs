//! Calls and requests between two daemons over loopback.

mod common;

use std::time::Duration;

use bytes::Bytes;
use radishgauge_net::InboundStream;
use radishgauge_net::KeyAuthority;
use radishgauge_net::PeerEndpoint;
use radishgauge_net::PeerFault;
use radishgauge_schema::peer::AnswerHead;
use radishgauge_schema::peer::CallHead;
use radishgauge_schema::peer::PartRequest;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::Received;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;
use radishgauge_standin::LinkConfig;
use radishgauge_standin::LinkStandIn;
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

/// Guards against bodies that are lost or reassembled wrongly across frames, and
/// against a request that is handled as a call.
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

/// Guards against a call that continues at the far daemon after it was cancelled,
/// either before or after its answer began.
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
    // A call that is dropped before its head was sent would never arrive.
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

/// Guards against a broken session that is mistaken for a slow one: the ping
/// fails while the link is cut, and the same session works afterwards.
#[tokio::test]
async fn ping_fails_only_while_the_link_is_cut() {
    let authority = KeyAuthority::generate().unwrap();
    let near = common::endpoint(&authority, "near");
    let far = common::endpoint(&authority, "far");
    let link = LinkStandIn::open(far.local_address().unwrap(), LinkConfig::default())
        .await
        .unwrap();
    let (session, accepted) = tokio::join!(near.dial(link.address()), far.accept());
    let (session, accepted) = (session.unwrap(), accepted.unwrap().unwrap());
    tokio::spawn(async move { accepted.serve(|_| async {}).await });
    session.ping(LONG).await.unwrap();
    link.set_cut(true);
    let error = session.ping(Duration::from_millis(1)).await.unwrap_err();
    assert_eq!((error.fault, error.sent), (PeerFault::Timeout, true));
    link.set_cut(false);
    session.ping(LONG).await.unwrap();
    assert!(link.stats().forward_bytes > 0 && link.stats().backward_bytes > 0);
}

/// Guards against sessions that hang until their idle timeout after the peer
/// crashed: the restarted daemon resets them at the first packet.
#[test]
fn restarted_peer_resets_its_old_sessions() {
    let authority = KeyAuthority::generate().unwrap();
    let mut config = common::config(
        authority.issue("far", "addis-bole").unwrap(),
        "far",
        "addis-bole",
    );
    let new_runtime = || tokio::runtime::Runtime::new().unwrap();
    let (first, near) = (new_runtime(), new_runtime());
    let far = first.block_on(async { PeerEndpoint::bind(config.clone()).unwrap() });
    config.listen = far.local_address().unwrap();
    let session = near.block_on(async {
        let near = common::endpoint(&authority, "near");
        near.dial(config.listen).await.unwrap()
    });
    // Simulates a crash: the tasks end without closing the session.
    first.shutdown_background();
    drop(far);
    near.block_on(async {
        let second = loop {
            // The address is free once the last task of the first process has ended.
            match PeerEndpoint::bind(config.clone()) {
                Ok(endpoint) => break endpoint,
                Err(_) => tokio::task::yield_now().await,
            }
        };
        let error = session.ping(LONG).await.unwrap_err();
        assert!(error.sent);
        assert_eq!(error.fault, PeerFault::Closed("reset by peer".to_owned()));
        drop(second);
    });
}

/// Guards against a stop that cuts off an answer which was written but has not
/// arrived: sending completes only when the peer has received everything.
#[tokio::test]
async fn closing_after_an_answer_loses_no_data() {
    // Much more than the transport sends before the first acknowledgement.
    const BODY: usize = 1 << 20;
    let pair = common::pair().await;
    let far = pair.far.clone();
    let closing = pair.far.clone();
    tokio::spawn(async move {
        far.serve(move |inbound| {
            let session = closing.clone();
            async move {
                if let InboundStream::Call { answer, .. } = inbound {
                    let body = Bytes::from(vec![7; BODY]);
                    answer.whole(AnswerHead::default(), body).await.unwrap();
                    session.close("stopped");
                }
            }
        })
        .await
    });
    let receiver = pair.near.call_whole(head(1), Bytes::new()).await.unwrap();
    let (_, mut body) = receiver.answer().await.unwrap();
    assert_eq!(body.whole(2 * BODY).await.unwrap().len(), BODY);
}
