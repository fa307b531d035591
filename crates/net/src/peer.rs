//! The QUIC endpoint of a daemon, which opens and accepts sessions.
//!
//! One UDP socket carries all sessions. Both ends first exchange a hello. A peer
//! whose hello does not match its certificate is refused, so a host cannot
//! impersonate another host or failure domain.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use radishgauge_schema::peer::Hello;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;
use rustls_pki_types::CertificateDer;
use smol_str::SmolStr;
use tokio::runtime::Handle;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use crate::error::CODE_CLOSED;
use crate::error::CODE_REFUSED;
use crate::error::PeerError;
use crate::error::PeerFault;
use crate::frame;
use crate::frame::FrameMeter;
use crate::frame::FrameReader;
use crate::frame::FrameWriter;
use crate::frame::StreamKind;
use crate::keys::PeerIdentity;
use crate::keys::PeerName;
use crate::keys::tls_pair;
use crate::session::PeerSession;
use crate::transport::EndpointRuntime;
use crate::transport::client_config;
use crate::transport::endpoint_config;
use crate::transport::grow_buffers;
use crate::transport::server_config;

/// The TLS server name used for every daemon. Certificates are not verified
/// against it; the name that they contain is compared with the hello instead.
const TLS_NAME: &str = "peer.radishgauge.internal";

/// The number of inbound sessions that are queued to be accepted; further
/// handshakes wait.
const INBOUND_QUEUE: usize = 64;

/// The address, identity and limits of an endpoint.
#[derive(Clone)]
pub struct PeerConfig {
    /// The UDP address to bind; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The certificates and the private key of this daemon.
    pub identity: PeerIdentity,
    /// The host in the hello, which the certificate must name.
    pub host: SmolStr,
    /// The failure domain in the hello, which the certificate must name.
    pub failure_domain: SmolStr,
    /// The region in the hello.
    pub region: SmolStr,
    /// The start time of this process in ms, which distinguishes it from earlier
    /// processes of the host.
    pub incarnation: u64,
    /// The limits of the endpoint.
    pub limits: PeerLimits,
}

/// Limits of an endpoint and its sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// How long a handshake with the exchange of hellos may take, inbound or
    /// outbound.
    pub handshake: Duration,
    /// How long a session may receive no packet before it is closed.
    pub idle: Duration,
    /// How many streams a peer may have open on one session. A session starts
    /// with a lower limit, which grows with use.
    pub streams: u32,
    /// How many inbound handshakes may be under way; further ones are refused.
    pub handshakes: usize,
}

impl Default for PeerLimits {
    fn default() -> PeerLimits {
        PeerLimits {
            // Enough for several round trips over the slowest link with lost packets.
            handshake: Duration::from_secs(5),
            // Sessions stay open while their callers pause. Pings detect a dead
            // peer much earlier.
            idle: Duration::from_secs(120),
            streams: 4096,
            handshakes: 256,
        }
    }
}

/// A peer whose session was refused.
#[derive(Debug, Clone, thiserror::Error)]
#[error("the session of {address} was refused: {error}")]
pub struct RefusedPeer {
    /// The address from which the peer connected.
    pub address: SocketAddr,
    /// Why the session was refused.
    pub error: PeerError,
}

/// The UDP endpoint of one daemon; clones share it.
#[derive(Clone)]
pub struct PeerEndpoint {
    shared: Arc<EndpointShared>,
}

struct EndpointShared {
    endpoint: Endpoint,
    clients: ArcSwap<quinn::ClientConfig>,
    hello: Hello,
    revision: AtomicU64,
    limits: PeerLimits,
    inbound: Mutex<mpsc::Receiver<Result<PeerSession, RefusedPeer>>>,
}

impl PeerEndpoint {
    /// Binds the address and starts to accept sessions. Must be called within a
    /// tokio runtime, which then processes the packets of all sessions, even when
    /// they are dialled from another runtime.
    ///
    /// A call has the lowest latency when one thread serves both callers and
    /// sessions: enter [`CallerListener::runtime`](crate::CallerListener::runtime)
    /// before the call.
    ///
    /// # Errors
    ///
    /// When the keys cannot be used, when the certificate names another host or
    /// failure domain than the configuration, or when the address cannot be bound.
    pub fn bind(config: PeerConfig) -> Result<PeerEndpoint, PeerError> {
        PeerEndpoint::open(config).map_err(PeerError::unsent)
    }

    fn open(config: PeerConfig) -> Result<PeerEndpoint, PeerFault> {
        let hello = Hello {
            host: config.host.to_string(),
            failure_domain: config.failure_domain.to_string(),
            incarnation: config.incarnation,
            revision: 0,
            region: config.region.to_string(),
        };
        check_identity(&hello, Some(config.identity.name()?))?;
        let pair = tls_pair(&config.identity)?;
        let bind = |error: std::io::Error| PeerFault::Bind(format!("{}: {error}", config.listen));
        let socket = UdpSocket::bind(config.listen).map_err(bind)?;
        grow_buffers(&socket);

        let settings = endpoint_config(&pair);
        let server = server_config(&pair, &config.limits)?;
        let endpoint = Endpoint::new(
            settings,
            Some(server),
            socket,
            Arc::new(EndpointRuntime(Handle::current())),
        )
        .map_err(bind)?;

        let (results, inbound) = mpsc::channel(INBOUND_QUEUE);
        let shared = Arc::new(EndpointShared {
            endpoint,
            clients: ArcSwap::from_pointee(client_config(&pair, &config.limits)?),
            hello,
            revision: AtomicU64::new(0),
            limits: config.limits,
            inbound: Mutex::new(inbound),
        });
        tokio::spawn(accept_peers(
            Arc::downgrade(&shared),
            shared.endpoint.clone(),
            config.limits,
            results,
        ));
        Ok(PeerEndpoint { shared })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// When the address of the socket cannot be read.
    pub fn local_address(&self) -> Result<SocketAddr, PeerError> {
        self.shared
            .endpoint
            .local_addr()
            .map_err(|error| PeerError::unsent(PeerFault::Bind(error.to_string())))
    }

    /// Sets the configuration revision that later hellos contain.
    pub fn set_revision(&self, revision: u64) {
        self.shared.revision.store(revision, Ordering::Relaxed);
    }

    /// Replaces the keys for later sessions; existing sessions continue.
    ///
    /// # Errors
    ///
    /// When the keys cannot be used or name another host; the previous keys stay
    /// in use.
    pub fn set_identity(&self, identity: &PeerIdentity) -> Result<(), PeerError> {
        self.change_keys(identity).map_err(PeerError::unsent)
    }

    fn change_keys(&self, identity: &PeerIdentity) -> Result<(), PeerFault> {
        check_identity(&self.shared.hello, Some(identity.name()?))?;
        let pair = tls_pair(identity)?;
        let server = server_config(&pair, &self.shared.limits)?;
        let client = client_config(&pair, &self.shared.limits)?;
        self.shared.endpoint.set_server_config(Some(server));
        self.shared.clients.store(Arc::new(client));
        Ok(())
    }

    /// Opens a session and exchanges hellos.
    ///
    /// # Errors
    ///
    /// When the peer cannot be reached, is refused by this daemon, or refuses it.
    pub async fn dial(&self, address: SocketAddr) -> Result<PeerSession, PeerError> {
        let dialled =
            tokio::time::timeout(self.shared.limits.handshake, self.shared.dial(address)).await;
        dialled
            .unwrap_or_else(|_| {
                Err(PeerFault::Dial(format!(
                    "{address} did not answer the handshake"
                )))
            })
            .map_err(PeerError::unsent)
    }

    /// Returns the next inbound session whose hellos were exchanged, or the next
    /// peer that was refused; `None` once the endpoint is closed.
    pub async fn accept(&self) -> Option<Result<PeerSession, RefusedPeer>> {
        self.shared.inbound.lock().await.recv().await
    }

    /// Closes all sessions, and waits until the peers have been notified.
    pub async fn close(&self, reason: &str) {
        self.shared.endpoint.close(CODE_CLOSED, reason.as_bytes());
        self.shared.endpoint.wait_idle().await;
    }
}

impl EndpointShared {
    fn hello(&self) -> Hello {
        Hello {
            revision: self.revision.load(Ordering::Relaxed),
            ..self.hello.clone()
        }
    }

    async fn dial(&self, address: SocketAddr) -> Result<PeerSession, PeerFault> {
        let client = quinn::ClientConfig::clone(&self.clients.load());
        let connecting = self
            .endpoint
            .connect_with(client, address, TLS_NAME)
            .map_err(|error| PeerFault::Dial(error.to_string()))?;
        let connection = connecting.await?;
        let meter = Arc::new(FrameMeter::default());
        let (send, receive) = connection.open_bi().await?;
        let mut writer = FrameWriter::new(send, meter.clone(), StreamKind::Control);
        let mut reader = FrameReader::new(receive, meter.clone(), StreamKind::Control);
        let hello = PeerRequest {
            request: Some(Request::Hello(self.hello())),
        };
        writer
            .write(&mut [frame::encode(&hello, frame::HEAD_LIMIT)?])
            .await?;
        writer.finish()?;
        let reply = match reader.message::<PeerReply>(frame::HEAD_LIMIT).await {
            Ok((reply, _)) => reply,
            // A refusal closes the session with a reason, which is more specific than
            // the error of the stream.
            Err(fault) => return Err(connection.close_reason().map_or(fault, PeerFault::from)),
        };
        reader.close();
        let Some(Reply::Hello(peer)) = reply.reply else {
            return Err(refuse(&connection, PeerFault::Unexpected("a hello")));
        };
        check_identity(&peer, certified_name(&connection))
            .map_err(|fault| refuse(&connection, fault))?;
        Ok(PeerSession::new(
            connection,
            peer,
            true,
            meter,
            self.limits.streams,
        ))
    }

    async fn accept_session(&self, incoming: Incoming) -> Result<PeerSession, PeerFault> {
        let connection = incoming.await?;
        let meter = Arc::new(FrameMeter::default());
        let (send, receive) = connection.accept_bi().await?;
        let mut writer = FrameWriter::new(send, meter.clone(), StreamKind::Control);
        let mut reader = FrameReader::new(receive, meter.clone(), StreamKind::Control);
        let request = match reader.message::<PeerRequest>(frame::HEAD_LIMIT).await {
            Ok((request, _)) => request,
            Err(fault) => return Err(refuse(&connection, fault)),
        };
        reader.close();
        let Some(Request::Hello(peer)) = request.request else {
            return Err(refuse(&connection, PeerFault::Unexpected("a hello")));
        };
        check_identity(&peer, certified_name(&connection))
            .map_err(|fault| refuse(&connection, fault))?;
        let reply = PeerReply {
            reply: Some(Reply::Hello(self.hello())),
        };
        writer
            .write(&mut [frame::encode(&reply, frame::HEAD_LIMIT)?])
            .await?;
        writer.finish()?;
        Ok(PeerSession::new(
            connection,
            peer,
            false,
            meter,
            self.limits.streams,
        ))
    }
}

/// Accepts inbound sessions until the endpoint is closed or dropped. Each
/// handshake runs in a task of its own, so that a slow one does not delay others.
async fn accept_peers(
    shared: Weak<EndpointShared>,
    endpoint: Endpoint,
    limits: PeerLimits,
    results: mpsc::Sender<Result<PeerSession, RefusedPeer>>,
) {
    let permits = Arc::new(Semaphore::new(limits.handshakes));
    while let Some(incoming) = endpoint.accept().await {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            incoming.refuse();
            continue;
        };
        let results = results.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let address = incoming.remote_address();
            let accepted =
                tokio::time::timeout(limits.handshake, shared.accept_session(incoming)).await;
            drop(shared);
            let result = accepted
                .unwrap_or(Err(PeerFault::Timeout))
                .map_err(|fault| RefusedPeer {
                    address,
                    error: PeerError::unsent(fault),
                });
            // Fails only when the endpoint was dropped, which closes its sessions.
            let _ = results.send(result).await;
        });
    }
}

/// Checks that a hello matches the name in the certificate.
fn check_identity(hello: &Hello, certified: Option<PeerName>) -> Result<(), PeerFault> {
    let claimed = format!("{}.{}", hello.host, hello.failure_domain);
    match certified {
        Some(name) if name.host == hello.host && name.failure_domain == hello.failure_domain => {
            Ok(())
        }
        name => Err(PeerFault::Identity {
            claimed,
            certified: name.map_or("no daemon".to_owned(), |name| name.to_string()),
        }),
    }
}

/// Returns the name in the peer's authenticated certificate.
fn certified_name(connection: &Connection) -> Option<PeerName> {
    let chain = connection
        .peer_identity()?
        .downcast::<Vec<CertificateDer<'static>>>()
        .ok()?;
    PeerName::of(chain.first()?)
}

/// Closes a connection with the fault as its reason, and returns the fault.
fn refuse(connection: &Connection, fault: PeerFault) -> PeerFault {
    connection.close(CODE_REFUSED, fault.to_string().as_bytes());
    fault
}
