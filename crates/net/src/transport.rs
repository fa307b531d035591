//! Parameters of the QUIC transport.
//!
//! They differ from the library's defaults to reduce latency, traffic and memory,
//! or because a restarted daemon must recognise the sessions of its previous
//! process.

use std::net::UdpSocket;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use quinn::AsyncTimer;
use quinn::AsyncUdpSocket;
use quinn::ConnectionId;
use quinn::ConnectionIdGenerator;
use quinn::EndpointConfig;
use quinn::Runtime;
use quinn::TokioRuntime;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::CryptoError;
use quinn::crypto::HmacKey;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use socket2::SockRef;
use tokio::runtime::Handle;

use crate::error::PeerFault;
use crate::keys::TlsPair;
use crate::peer::PeerLimits;
use crate::stream_limit::INITIAL_STREAMS;

/// The size of the UDP socket's buffers in bytes. The usual default of 208 KiB
/// holds less than a hundred small datagrams, so that a pause of a few
/// milliseconds loses packets, whose retransmission takes tens of milliseconds.
const SOCKET_BUFFER: usize = 2 * 1024 * 1024;

/// Requests larger socket buffers. The system may grant less, which only makes
/// packet loss during bursts more likely.
pub(crate) fn grow_buffers(socket: &UdpSocket) {
    let socket = SockRef::from(socket);
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER);
}

/// Returns the parameters of the endpoint. Reset tokens are derived from the
/// daemon's key, so that a restarted daemon resets the sessions of its previous
/// process at their first packet. Otherwise the peers would have to wait for a
/// timeout.
pub(crate) fn endpoint_config(pair: &TlsPair) -> EndpointConfig {
    let mut config = EndpointConfig::new(Arc::new(ResetKey(pair.secret)));
    config.cid_generator(|| Box::new(RandomIds));
    config
}

/// Returns the configuration of inbound sessions.
pub(crate) fn server_config(
    pair: &TlsPair,
    limits: &PeerLimits,
) -> Result<quinn::ServerConfig, PeerFault> {
    let tls = QuicServerConfig::try_from(pair.server.clone())
        .map_err(|error| PeerFault::Keys(error.to_string()))?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(tls));
    server.transport_config(transport(limits)?);
    Ok(server)
}

/// Returns the configuration of outbound sessions.
pub(crate) fn client_config(
    pair: &TlsPair,
    limits: &PeerLimits,
) -> Result<quinn::ClientConfig, PeerFault> {
    let tls = QuicClientConfig::try_from(pair.client.clone())
        .map_err(|error| PeerFault::Keys(error.to_string()))?;
    let mut client = quinn::ClientConfig::new(Arc::new(tls));
    client.transport_config(transport(limits)?);
    Ok(client)
}

fn transport(limits: &PeerLimits) -> Result<Arc<TransportConfig>, PeerFault> {
    let idle = limits
        .idle
        .try_into()
        .map_err(|_| PeerFault::Keys("the idle time is too long".to_owned()))?;
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(idle))
        .max_concurrent_bidi_streams(VarInt::from_u32(limits.streams.min(INITIAL_STREAMS)))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None)
        // Path MTU discovery sends 5.7 KB in each direction at the start of a
        // session, most of its control traffic budget for one second. Datagrams of
        // 1200 bytes pass every path; large bodies need about 20% more of them.
        .mtu_discovery_config(None);
    Ok(Arc::new(transport))
}

/// Runs all tasks of an endpoint on the runtime in which it was bound. The
/// library's default would spawn a session's task on the runtime that called
/// `dial`, and each packet would then be passed between threads.
#[derive(Debug)]
pub(crate) struct EndpointRuntime(pub(crate) Handle);

impl Runtime for EndpointRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        let _entered = self.0.enter();
        TokioRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.0.spawn(future);
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> std::io::Result<Arc<dyn AsyncUdpSocket>> {
        let _entered = self.0.enter();
        TokioRuntime.wrap_udp_socket(socket)
    }
}

/// Signs reset tokens with a key that stays the same when the process restarts.
struct ResetKey([u8; 32]);

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        signature_out.copy_from_slice(blake3::keyed_hash(&self.0, data).as_bytes());
    }

    fn signature_len(&self) -> usize {
        blake3::OUT_LEN
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        // The comparison of the hash type takes constant time.
        let signature: [u8; blake3::OUT_LEN] = signature.try_into().map_err(|_| CryptoError)?;
        if blake3::keyed_hash(&self.0, data) == signature {
            Ok(())
        } else {
            Err(CryptoError)
        }
    }
}

/// Generates random connection IDs. They contain no checksum keyed by this
/// process, so that a restarted daemon answers packets for its previous process
/// with a reset instead of dropping them.
struct RandomIds;

impl RandomIds {
    /// The length in bytes; collisions among thousands of sessions are practically
    /// impossible.
    const LEN: usize = 8;
}

impl ConnectionIdGenerator for RandomIds {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&rand::random::<[u8; RandomIds::LEN]>())
    }

    fn cid_len(&self) -> usize {
        RandomIds::LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
