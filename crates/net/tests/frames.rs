//! Streams that violate the protocol, and their effect on the session.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::raw;
use futures_util::future::join_all;
use prost::Message;
use radishgauge_net::InboundStream;
use radishgauge_net::KeyAuthority;
use radishgauge_net::PeerFault;
use radishgauge_net::PeerSession;
use radishgauge_schema::peer::AnswerHead;
use radishgauge_schema::peer::CallHead;
use radishgauge_schema::peer::PartReply;
use radishgauge_schema::peer::PartValue;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::Ping;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;
use rand::Rng;
use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Barrier;
use xxhash_rust::xxh3::xxh3_64;

const LONG: Duration = Duration::from_secs(60);

async fn raw_session() -> (quinn::Connection, PeerSession) {
    let authority = KeyAuthority::generate().unwrap();
    let far = common::endpoint(&authority, "far");
    let keys = authority.issue("near", "addis-bole").unwrap();
    let address = far.local_address().unwrap();
    let connection = raw::connect(address, authority.certificate(), Some(&keys)).await;
    let (hello_reply, accepted) = tokio::join!(
        raw::send_hello(&connection, "near", "addis-bole"),
        far.accept()
    );
    hello_reply.unwrap();
    (connection, accepted.unwrap().unwrap())
}

fn call_frame(head: CallHead) -> Vec<u8> {
    let request = PeerRequest {
        request: Some(Request::Call(head)),
    };
    request.encode_length_delimited_to_vec()
}

/// Sends bytes on a new stream, and returns how the far end decodes its first
/// message.
async fn send(
    connection: &quinn::Connection,
    far: &PeerSession,
    bytes: &[u8],
) -> Result<InboundStream, PeerFault> {
    let (mut send, _receive) = connection.open_bi().await.unwrap();
    send.write_all(bytes).await.unwrap();
    send.finish().unwrap();
    let opened = far.accept().await.unwrap().open().await;
    opened.map_err(|error| error.fault)
}

/// Guards against frames that make a daemon buffer more than its limit, and
/// against an invalid stream that ends its session.
#[tokio::test]
async fn invalid_frames_end_only_their_stream() {
    let (connection, far) = raw_session().await;
    // The length prefix alone is rejected, before the bytes arrive.
    let claimed = send(&connection, &far, &[0x80, 0x80, 0x80, 0x7f]).await;
    assert!(matches!(
        claimed.err(),
        Some(PeerFault::Oversize {
            limit: 1_052_672,
            ..
        })
    ));
    let endless = send(&connection, &far, &[0xff; 16]).await;
    assert!(matches!(endless.err(), Some(PeerFault::Oversize { .. })));
    let large = CallHead {
        path: "x".repeat(40_000),
        ..CallHead::default()
    };
    let head = send(&connection, &far, &call_frame(large)).await;
    assert!(matches!(
        head.err(),
        Some(PeerFault::Oversize { limit: 32_768, .. })
    ));
    let malformed = send(&connection, &far, &[3, 0xff, 0xff, 0xff]).await;
    assert!(matches!(malformed.err(), Some(PeerFault::Malformed(_))));
    let empty = send(&connection, &far, &[0]).await;
    assert!(matches!(empty.err(), Some(PeerFault::Malformed(_))));
    let cut = send(&connection, &far, &[100, 1, 2]).await;
    assert_eq!(cut.err(), Some(PeerFault::Truncated));
    let ping = PeerRequest {
        request: Some(Request::Ping(Ping {})),
    };
    let good = send(&connection, &far, &ping.encode_length_delimited_to_vec()).await;
    assert!(matches!(good, Ok(InboundStream::Request { .. })));
}

/// Guards against a cut off, reset or damaged body that is accepted as complete,
/// and against a complete one that is lost because its stream was reset afterwards.
#[tokio::test]
async fn body_is_complete_only_with_its_end_frame() {
    let (connection, far) = raw_session().await;
    let head = || call_frame(CallHead::default());
    let digest = xxh3_64(b"body");
    let damaged = |bytes| PeerFault::Digest { bytes, stated: 4 };
    let oversize = PeerFault::Oversize {
        bytes: 65_553,
        limit: 65_552,
    };
    let bodies = [
        (vec![], PeerFault::Truncated),
        (raw::data(b"body"), PeerFault::Truncated),
        (
            [raw::data(b"body"), raw::end(4, digest + 1)].concat(),
            damaged(4),
        ),
        (
            [raw::data(b"bod"), raw::end(4, digest)].concat(),
            damaged(3),
        ),
        // The length 65,553: one byte more than 64 KiB and the encoding overhead.
        (vec![0x91, 0x80, 0x04], oversize),
        (
            vec![0],
            PeerFault::Malformed("an empty body frame".to_owned()),
        ),
    ];
    for (body, expected) in bodies {
        let opened = send(&connection, &far, &[head(), body].concat()).await;
        let Ok(InboundStream::Call { mut body, .. }) = opened else {
            panic!("the head is good");
        };
        assert_eq!(body.whole(1 << 20).await.unwrap_err().fault, expected);
        assert!(!body.is_whole());
    }
    let whole = [
        head(),
        raw::data(b"bo"),
        raw::data(b"dy"),
        raw::end(4, digest),
    ]
    .concat();

    let (mut stream, _receive) = connection.open_bi().await.unwrap();
    stream.write_all(&whole[..whole.len() - 1]).await.unwrap();
    let opened = far.accept().await.unwrap().open().await.unwrap();
    let InboundStream::Call { mut body, .. } = opened else {
        panic!("a call was sent")
    };
    assert_eq!(body.data().await.unwrap().unwrap(), "bo");
    stream.reset(7u8.into()).unwrap();
    assert_eq!(
        body.whole(1 << 20).await.unwrap_err().fault,
        PeerFault::Reset(7)
    );

    let (mut stream, _receive) = connection.open_bi().await.unwrap();
    stream.write_all(&whole).await.unwrap();
    let opened = far.accept().await.unwrap().open().await.unwrap();
    let InboundStream::Call { mut body, .. } = opened else {
        panic!("a call was sent")
    };
    assert_eq!(body.whole(1 << 20).await.unwrap(), "body");
    stream.reset(7u8.into()).unwrap();
    assert!(body.is_whole());
    assert_eq!(body.data().await, Ok(None));
}

/// Guards against an answer that reaches the wrong caller, when many callers wait
/// and the answers arrive late and out of order.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_out_of_order_reach_their_own_callers() {
    const CALLS: u64 = 1_000;
    const SEED: u64 = 0x5eed;
    let pair = common::pair().await;
    let far = pair.far.clone();
    let barrier = std::sync::Arc::new(Barrier::new(CALLS as usize));
    tokio::spawn(async move {
        far.serve(move |inbound| {
            let barrier = barrier.clone();
            async move {
                let InboundStream::Call {
                    head,
                    mut body,
                    answer,
                } = inbound
                else {
                    panic!("a call was sent");
                };
                let body = body.whole(1 << 20).await.unwrap();
                // No answer is sent before all calls have arrived.
                barrier.wait().await;
                let headers = AnswerHead {
                    status: head.call as u32,
                    ..AnswerHead::default()
                };
                answer.whole(headers, body).await.unwrap();
            }
        })
        .await
    });
    let calls = (0..CALLS).map(|call| {
        let near = pair.near.clone();
        tokio::spawn(async move {
            let mut random = Pcg64Mcg::seed_from_u64(SEED + call);
            let mut sent = vec![0; random.random_range(0..20_000)];
            random.fill_bytes(&mut sent);
            let head = CallHead {
                call,
                ..CallHead::default()
            };
            let receiver = if call % 2 == 0 {
                near.call_whole(head, sent.clone().into()).await.unwrap()
            } else {
                let (mut sender, receiver) = near.call(head).await.unwrap();
                sender.send(sent.clone().into()).await.unwrap();
                sender.finish().await.unwrap();
                receiver
            };
            let (head, mut body) = receiver.answer().await.unwrap();
            assert_eq!((head.call, head.status), (call, call as u32));
            assert_eq!(body.whole(1 << 20).await.unwrap(), sent);
        })
    });
    for call in join_all(calls.collect::<Vec<_>>()).await {
        call.unwrap();
    }
}

/// Guards against errors with a wrong `sent`: it is false over a closed session and
/// for an oversize request, and true when the reply was lost.
#[tokio::test]
async fn errors_state_whether_the_request_was_sent() {
    let pair = common::pair().await;
    let large = CallHead {
        path: "x".repeat(40_000),
        ..CallHead::default()
    };
    let error = pair.near.call(large).await.err().unwrap();
    assert!(
        !error.sent && matches!(error.fault, PeerFault::Oversize { .. }),
        "{error}"
    );

    let ping = PeerRequest {
        request: Some(Request::Ping(Ping {})),
    };
    let lost = tokio::spawn({
        let (near, ping) = (pair.near.clone(), ping.clone());
        async move { near.request(ping, LONG).await.unwrap_err() }
    });
    // The request has arrived; its responder is dropped without a reply.
    drop(pair.far.accept().await.unwrap().open().await.unwrap());
    let error = lost.await.unwrap();
    assert!(
        error.sent && matches!(error.fault, PeerFault::Reset(_)),
        "{error}"
    );

    let (_sender, receiver) = pair.near.call(CallHead::default()).await.unwrap();
    pair.far.close("going away");
    let error = receiver.answer().await.err().unwrap();
    assert!(
        error.sent && error.fault == PeerFault::Closed("going away".to_owned()),
        "{error}"
    );
    assert_eq!(
        pair.near.closed().await,
        PeerFault::Closed("going away".to_owned())
    );
    assert!(pair.near.is_closed());
    let error = pair.near.request(ping, LONG).await.unwrap_err();
    assert!(!error.sent, "{error}");
    assert!(
        !pair
            .near
            .call(CallHead::default())
            .await
            .err()
            .unwrap()
            .sent
    );
}

/// Guards against a reply limit below the size of the greatest platform value.
#[tokio::test]
async fn greatest_platform_value_fits_one_reply() {
    let pair = common::pair().await;
    let part = PartValue {
        digest: Bytes::from_static(&[1; 16]),
        value: vec![7; 1024 * 1024].into(),
        compressed: false,
    };
    let reply = PeerReply {
        reply: Some(Reply::Parts(PartReply {
            parts: vec![part],
            busy_ms: 0,
        })),
    };
    let sent = reply.clone();
    let far = pair.far.clone();
    tokio::spawn(async move {
        far.serve(move |inbound| {
            let reply = sent.clone();
            async move {
                if let InboundStream::Request { responder, .. } = inbound {
                    responder.reply(reply).await.unwrap();
                }
            }
        })
        .await
    });
    let request = PeerRequest {
        request: Some(Request::Parts(Default::default())),
    };
    assert_eq!(pair.near.request(request, LONG).await.unwrap(), reply);
}
