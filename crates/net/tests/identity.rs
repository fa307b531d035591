//! Peers whose identity must be refused.

mod common;

use common::raw;
use radishgauge_net::KeyAuthority;
use radishgauge_net::PeerEndpoint;
use radishgauge_net::PeerFault;
use radishgauge_schema::peer::Hello;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::peer_reply::Reply;

/// Guards against a session with a daemon of another fleet, at either end.
#[tokio::test]
async fn keys_of_another_authority_are_refused_by_both_ends() {
    let ours = KeyAuthority::generate().unwrap();
    let theirs = KeyAuthority::generate().unwrap();
    let far = common::endpoint(&ours, "far");
    let address = far.local_address().unwrap();
    let stranger = common::endpoint(&theirs, "near");
    let (dialled, accepted) = tokio::join!(stranger.dial(address), far.accept());
    let error = dialled.err().unwrap();
    assert!(matches!(error.fault, PeerFault::Tls(_)), "{error}");
    assert!(!error.sent);
    let refused = accepted.unwrap().err().unwrap();
    assert!(
        matches!(refused.error.fault, PeerFault::Tls(_)),
        "{refused}"
    );

    // A stranger that accepts our certificates is refused by the accepting end.
    let keys = theirs.issue("near", "addis-bole").unwrap();
    let connection = raw::connect(address, ours.certificate(), Some(&keys)).await;
    let (hello_reply, accepted) = tokio::join!(
        raw::send_hello(&connection, "near", "addis-bole"),
        far.accept()
    );
    hello_reply.unwrap_err();
    let refused = accepted.unwrap().err().unwrap();
    assert!(
        matches!(refused.error.fault, PeerFault::Tls(_)),
        "{refused}"
    );
}

/// Guards against a session with a peer that presents no certificate.
#[tokio::test]
async fn missing_client_certificate_is_refused() {
    let authority = KeyAuthority::generate().unwrap();
    let far = common::endpoint(&authority, "far");
    let address = far.local_address().unwrap();
    let connection = raw::connect(address, authority.certificate(), None).await;
    let (hello_reply, accepted) = tokio::join!(
        raw::send_hello(&connection, "near", "addis-bole"),
        far.accept()
    );
    hello_reply.unwrap_err();
    let refused = accepted.unwrap().err().unwrap();
    assert!(
        matches!(refused.error.fault, PeerFault::Tls(_)),
        "{refused}"
    );
}

/// Guards against a host that claims to be another host or in another failure
/// domain.
#[tokio::test]
async fn hello_must_match_the_certificate() {
    let authority = KeyAuthority::generate().unwrap();
    let far = common::endpoint(&authority, "far");
    let address = far.local_address().unwrap();
    let keys = authority.issue("near", "addis-bole").unwrap();
    for (host, domain) in [("near", "addis-kality"), ("other", "addis-bole")] {
        let connection = raw::connect(address, authority.certificate(), Some(&keys)).await;
        let (hello_reply, accepted) =
            tokio::join!(raw::send_hello(&connection, host, domain), far.accept());
        let reason = hello_reply.unwrap_err();
        assert!(
            reason.contains("the certificate names near.addis-bole"),
            "{reason}"
        );
        let expected = PeerFault::Identity {
            claimed: format!("{host}.{domain}"),
            certified: "near.addis-bole".to_owned(),
        };
        assert_eq!(accepted.unwrap().err().unwrap().error.fault, expected);
    }
    let connection = raw::connect(address, authority.certificate(), Some(&keys)).await;
    let (hello_reply, accepted) = tokio::join!(
        raw::send_hello(&connection, "near", "addis-bole"),
        far.accept()
    );
    let Ok(PeerReply {
        reply: Some(Reply::Hello(Hello { host, .. })),
    }) = hello_reply
    else {
        panic!("the hello agrees: {hello_reply:?}");
    };
    assert_eq!(host, "far");
    assert_eq!(accepted.unwrap().unwrap().peer().host, "near");
}

/// Guards against a daemon that uses the keys of another host, and against a change
/// of keys that has no effect on later sessions.
#[tokio::test]
async fn own_certificate_must_name_the_host() {
    let authority = KeyAuthority::generate().unwrap();
    let other = authority.issue("other", "addis-bole").unwrap();
    let error = PeerEndpoint::bind(common::config(other.clone(), "near", "addis-bole"))
        .err()
        .unwrap();
    assert!(matches!(error.fault, PeerFault::Identity { .. }), "{error}");

    let endpoint = common::endpoint(&authority, "near");
    assert!(endpoint.set_identity(&other).is_err());
    let theirs = KeyAuthority::generate().unwrap();
    let far = common::endpoint(&theirs, "far");
    let address = far.local_address().unwrap();
    assert!(endpoint.dial(address).await.is_err());
    endpoint
        .set_identity(&theirs.issue("near", "addis-bole").unwrap())
        .unwrap();
    endpoint.set_revision(9);
    assert_eq!(endpoint.dial(address).await.unwrap().peer().host, "far");
    // The first result is the refused attempt.
    assert!(far.accept().await.unwrap().is_err());
    assert_eq!(far.accept().await.unwrap().unwrap().peer().revision, 9);
}
