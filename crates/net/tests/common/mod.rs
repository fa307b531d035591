//! Endpoints on loopback, for all tests.

#![allow(dead_code)]

pub mod raw;

use std::net::SocketAddr;

use radishgauge_net::KeyAuthority;
use radishgauge_net::PeerConfig;
use radishgauge_net::PeerEndpoint;
use radishgauge_net::PeerIdentity;
use radishgauge_net::PeerLimits;
use radishgauge_net::PeerSession;

/// Returns the configuration of a daemon on a free port.
pub fn config(identity: PeerIdentity, host: &str, failure_domain: &str) -> PeerConfig {
    PeerConfig {
        listen: loopback(),
        identity,
        host: host.into(),
        failure_domain: failure_domain.into(),
        region: "addis".into(),
        incarnation: 1,
        limits: PeerLimits::default(),
    }
}

/// Returns a loopback address with a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Binds the endpoint of a daemon whose keys the authority issues.
pub fn endpoint(authority: &KeyAuthority, host: &str) -> PeerEndpoint {
    let identity = authority.issue(host, "addis-bole").unwrap();
    PeerEndpoint::bind(config(identity, host, "addis-bole")).unwrap()
}

/// Two endpoints and both ends of a session between them.
pub struct Pair {
    /// The endpoint that opened the session.
    pub dialler: PeerEndpoint,
    /// The endpoint that accepted the session.
    pub acceptor: PeerEndpoint,
    /// The session at the dialler.
    pub near: PeerSession,
    /// The session at the acceptor.
    pub far: PeerSession,
}

/// Opens a session between two daemons of one authority.
pub async fn pair() -> Pair {
    let authority = KeyAuthority::generate().unwrap();
    let dialler = endpoint(&authority, "near");
    let acceptor = endpoint(&authority, "far");
    let address = acceptor.local_address().unwrap();
    let (near, far) = tokio::join!(dialler.dial(address), acceptor.accept());
    Pair {
        dialler,
        acceptor,
        near: near.unwrap(),
        far: far.unwrap().unwrap(),
    }
}
