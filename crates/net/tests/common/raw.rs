//! A peer that uses QUIC directly, to violate the protocol.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;
use quinn::Connection;
use quinn::Endpoint;
use quinn::crypto::rustls::QuicClientConfig;
use radishgauge_net::PeerIdentity;
use radishgauge_schema::peer::BodyEnd;
use radishgauge_schema::peer::BodyFrame;
use radishgauge_schema::peer::Hello;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::body_frame::Frame;
use radishgauge_schema::peer::peer_request::Request;
use rustls::RootCertStore;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;

/// Connects to `far.addis-bole` with these keys or without any, and sends no hello.
pub async fn connect(address: SocketAddr, ca: &str, keys: Option<&PeerIdentity>) -> Connection {
    let mut roots = RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_slice(ca.as_bytes()).unwrap())
        .unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots);
    let mut tls = match keys {
        Some(keys) => {
            let chain = vec![CertificateDer::from_pem_slice(keys.certificate.as_bytes()).unwrap()];
            let key = PrivateKeyDer::from_pem_slice(keys.key.as_bytes()).unwrap();
            builder.with_client_auth_cert(chain, key).unwrap()
        }
        None => builder.with_no_client_auth(),
    };
    tls.alpn_protocols = vec![b"radishgauge/1".to_vec()];
    let tls = QuicClientConfig::try_from(tls).unwrap();
    let endpoint = Endpoint::client(super::loopback()).unwrap();
    let config = quinn::ClientConfig::new(Arc::new(tls));
    let connecting = endpoint.connect_with(config, address, "far.addis-bole.radishgauge.internal");
    connecting.unwrap().await.unwrap()
}

/// Sends a hello with this host and failure domain, and returns the reply or the
/// reason why there is none.
pub async fn send_hello(
    connection: &Connection,
    host: &str,
    failure_domain: &str,
) -> Result<PeerReply, String> {
    let hello = Hello {
        host: host.to_owned(),
        failure_domain: failure_domain.to_owned(),
        ..Hello::default()
    };
    let request = PeerRequest {
        request: Some(Request::Hello(hello)),
    };
    let (mut send, mut receive) = connection
        .open_bi()
        .await
        .map_err(|error| error.to_string())?;
    send.write_all(&request.encode_length_delimited_to_vec())
        .await
        .map_err(|error| error.to_string())?;
    send.finish().unwrap();
    match receive.read_to_end(1 << 16).await {
        Ok(reply) => Ok(PeerReply::decode_length_delimited(Bytes::from(reply)).unwrap()),
        Err(_) => Err(connection.closed().await.to_string()),
    }
}

/// Encodes body bytes as a frame.
pub fn data(bytes: &'static [u8]) -> Vec<u8> {
    frame(Frame::Data(Bytes::from_static(bytes)))
}

/// Encodes the end frame of a body.
pub fn end(bytes: u64, digest: u64) -> Vec<u8> {
    frame(Frame::End(BodyEnd { bytes, digest }))
}

fn frame(frame: Frame) -> Vec<u8> {
    let frame = BodyFrame { frame: Some(frame) };
    frame.encode_length_delimited_to_vec()
}
