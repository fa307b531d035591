//! An authenticated QUIC connection to another daemon.
//!
//! Each request and each call has a stream of its own. A stream that is slow,
//! oversize or reset does not affect the other streams of the session.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use quinn::Connection;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;
use radishgauge_schema::peer::CallHead;
use radishgauge_schema::peer::Hello;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::Ping;
use radishgauge_schema::peer::Received;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;

use crate::call::AnswerSender;
use crate::call::BodyReceiver;
use crate::call::CallReceiver;
use crate::call::CallSender;
use crate::call::Responder;
use crate::error::CODE_CLOSED;
use crate::error::CODE_OVERSIZE;
use crate::error::PeerError;
use crate::error::PeerFault;
use crate::frame;
use crate::frame::BodyDigest;
use crate::frame::FrameMeter;
use crate::frame::FrameReader;
use crate::frame::FrameWriter;
use crate::frame::StreamKind;
use crate::stream_limit::OpenStream;
use crate::stream_limit::StreamLimit;

/// An authenticated session; clones share it.
#[derive(Clone)]
pub struct PeerSession {
    shared: Arc<SessionShared>,
}

struct SessionShared {
    connection: Connection,
    peer: Hello,
    dialled: bool,
    meter: Arc<FrameMeter>,
    stream_limit: Arc<StreamLimit>,
}

/// Counters of bytes and packets of one session since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SessionStats {
    /// Frame bytes of control messages sent.
    pub control_sent: u64,
    /// Frame bytes of control messages received.
    pub control_received: u64,
    /// Frame bytes of calls and answers sent.
    pub call_sent: u64,
    /// Frame bytes of calls and answers received.
    pub call_received: u64,
    /// UDP payload bytes sent, including handshake and retransmissions.
    pub datagram_bytes_sent: u64,
    /// UDP payload bytes received, including handshake and retransmissions.
    pub datagram_bytes_received: u64,
    /// UDP datagrams sent.
    pub datagrams_sent: u64,
    /// UDP datagrams received.
    pub datagrams_received: u64,
    /// Packets sent by this end that were lost.
    pub packets_lost: u64,
}

impl PeerSession {
    pub(crate) fn new(
        connection: Connection,
        peer: Hello,
        dialled: bool,
        meter: Arc<FrameMeter>,
        streams: u32,
    ) -> PeerSession {
        PeerSession {
            shared: Arc::new(SessionShared {
                connection,
                peer,
                dialled,
                meter,
                stream_limit: Arc::new(StreamLimit::new(streams)),
            }),
        }
    }

    /// Returns the hello of the peer, which matches its certificate.
    pub fn peer(&self) -> &Hello {
        &self.shared.peer
    }

    /// Whether this end opened the session.
    pub fn dialled(&self) -> bool {
        self.shared.dialled
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.shared.connection.remote_address()
    }

    /// Returns an ID that is unique among the open sessions of this process.
    pub fn id(&self) -> usize {
        self.shared.connection.stable_id()
    }

    /// Returns the smoothed round-trip time.
    pub fn round_trip(&self) -> Duration {
        self.shared.connection.rtt()
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// `sent` is false when the request never left this process. After the timeout
    /// the stream is reset, and the peer may have processed the request.
    pub async fn request(
        &self,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let mut sent = false;
        match tokio::time::timeout(timeout, self.exchange(request, &mut sent)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(fault)) => Err(PeerError { fault, sent }),
            Err(_) => Err(PeerError {
                fault: PeerFault::Timeout,
                sent,
            }),
        }
    }

    async fn exchange(
        &self,
        request: PeerRequest,
        sent: &mut bool,
    ) -> Result<PeerReply, PeerFault> {
        let frame = frame::encode(&request, frame::CONTROL_LIMIT)?;
        let (mut writer, mut reader) = self.open(StreamKind::Control).await?;
        // The timeout may occur while the frame is partially written.
        *sent = true;
        let written = writer.write(&mut [frame]).await;
        *sent = writer.sent();
        written?;
        writer.finish()?;
        let (reply, _) = reader.message::<PeerReply>(frame::CONTROL_LIMIT).await?;
        reader.close();
        Ok(reply)
    }

    /// Checks whether the session still transports messages.
    ///
    /// # Errors
    ///
    /// As [`PeerSession::request`].
    pub async fn ping(&self, timeout: Duration) -> Result<(), PeerError> {
        let request = PeerRequest {
            request: Some(Request::Ping(Ping {})),
        };
        self.request(request, timeout).await.map(drop)
    }

    /// Starts a call whose body is streamed. When the future is dropped before it
    /// completes, the head may have been sent.
    ///
    /// # Errors
    ///
    /// `sent` is false when no byte of the head left this process.
    pub async fn call(&self, head: CallHead) -> Result<(CallSender, CallReceiver), PeerError> {
        let call = head.call;
        let mut frames = vec![encode_head(head)?];
        let (writer, reader) = self.begin(&mut frames).await?;
        Ok((
            CallSender::new(writer, BodyDigest::default()),
            CallReceiver::new(reader, call),
        ))
    }

    /// Makes a call whose body is completely in memory; head, body and end are sent
    /// together.
    ///
    /// # Errors
    ///
    /// As [`PeerSession::call`].
    pub async fn call_whole(&self, head: CallHead, body: Bytes) -> Result<CallReceiver, PeerError> {
        let call = head.call;
        let mut frames = vec![encode_head(head)?];
        let mut digest = BodyDigest::default();
        digest.push_data(body, &mut frames);
        digest.push_end(&mut frames);
        let (mut writer, reader) = self.begin(&mut frames).await?;
        writer.finish().map_err(PeerError::sent)?;
        Ok(CallReceiver::new(reader, call))
    }

    async fn begin(&self, frames: &mut [Bytes]) -> Result<(FrameWriter, FrameReader), PeerError> {
        let (mut writer, reader) = self
            .open(StreamKind::Call)
            .await
            .map_err(PeerError::unsent)?;
        match writer.write(frames).await {
            Ok(()) => Ok((writer, reader)),
            Err(fault) => Err(PeerError {
                fault,
                sent: writer.sent(),
            }),
        }
    }

    async fn open(&self, kind: StreamKind) -> Result<(FrameWriter, FrameReader), PeerFault> {
        let (send, receive) = self.shared.connection.open_bi().await?;
        let meter = &self.shared.meter;
        Ok((
            FrameWriter::new(send, meter.clone(), kind),
            FrameReader::new(receive, meter.clone(), kind),
        ))
    }

    /// Waits for the next stream that the peer opens. The first message of the
    /// stream is read by [`PeerStream::open`], so that a slow stream does not delay
    /// others.
    ///
    /// # Errors
    ///
    /// When the session ended.
    pub async fn accept(&self) -> Result<PeerStream, PeerError> {
        let opened = self.shared.connection.accept_bi().await;
        let (send, receive) = opened.map_err(|error| PeerError::unsent(error.into()))?;
        let open = OpenStream::begin(&self.shared.stream_limit, &self.shared.connection);
        Ok(PeerStream {
            send,
            receive,
            open,
            meter: self.shared.meter.clone(),
        })
    }

    /// Passes each inbound stream to the handler, with one task per stream, until
    /// the session ends, and returns why it ended. Pings are answered here, because
    /// they only check whether the session still transports messages.
    pub async fn serve<H, F>(&self, handler: H) -> PeerError
    where
        H: Fn(InboundStream) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        loop {
            let stream = match self.accept().await {
                Ok(stream) => stream,
                Err(error) => return error,
            };
            let handler = handler.clone();
            tokio::spawn(async move {
                match stream.open().await {
                    Ok(InboundStream::Request { request, responder })
                        if matches!(request.request, Some(Request::Ping(_))) =>
                    {
                        let reply = PeerReply {
                            reply: Some(Reply::Received(Received {})),
                        };
                        // A peer that cancelled the request needs no reply.
                        let _ = responder.reply(reply).await;
                    }
                    Ok(inbound) => handler(inbound).await,
                    // The stream was ended with an error code; the session continues.
                    Err(_) => {}
                }
            });
        }
    }

    /// Closes the session and sends the reason to the peer.
    pub fn close(&self, reason: &str) {
        self.close_with(CODE_CLOSED, reason);
    }

    pub(crate) fn close_with(&self, code: VarInt, reason: &str) {
        self.shared.connection.close(code, reason.as_bytes());
    }

    /// Whether the session has ended.
    pub fn is_closed(&self) -> bool {
        self.shared.connection.close_reason().is_some()
    }

    /// Waits until the session ends, and returns why.
    pub async fn closed(&self) -> PeerFault {
        self.shared.connection.closed().await.into()
    }

    /// Returns the counters of the session.
    pub fn stats(&self) -> SessionStats {
        let meter = &self.shared.meter;
        let quic = self.shared.connection.stats();
        SessionStats {
            control_sent: meter.control_sent.load(Ordering::Relaxed),
            control_received: meter.control_received.load(Ordering::Relaxed),
            call_sent: meter.call_sent.load(Ordering::Relaxed),
            call_received: meter.call_received.load(Ordering::Relaxed),
            datagram_bytes_sent: quic.udp_tx.bytes,
            datagram_bytes_received: quic.udp_rx.bytes,
            datagrams_sent: quic.udp_tx.datagrams,
            datagrams_received: quic.udp_rx.datagrams,
            packets_lost: quic.path.lost_packets,
        }
    }
}

fn encode_head(head: CallHead) -> Result<Bytes, PeerError> {
    let request = PeerRequest {
        request: Some(Request::Call(head)),
    };
    frame::encode(&request, frame::HEAD_LIMIT).map_err(PeerError::unsent)
}

/// A stream that the peer opened, of which nothing has been read yet.
pub struct PeerStream {
    send: SendStream,
    receive: RecvStream,
    open: OpenStream,
    meter: Arc<FrameMeter>,
}

impl PeerStream {
    /// Reads the first message of the stream.
    ///
    /// # Errors
    ///
    /// When the message is oversize, malformed or cut off. The stream is then
    /// ended, and the session continues.
    pub async fn open(self) -> Result<InboundStream, PeerError> {
        let mut reader = FrameReader::new(self.receive, self.meter.clone(), StreamKind::Control);
        let mut writer = FrameWriter::new(self.send, self.meter, StreamKind::Control);
        writer.set_open(self.open);
        let (request, length) = reader
            .message::<PeerRequest>(frame::CONTROL_LIMIT)
            .await
            .map_err(PeerError::unsent)?;
        match request.request {
            Some(Request::Call(_)) if length > frame::HEAD_LIMIT => {
                reader.stop(CODE_OVERSIZE);
                writer.reset(CODE_OVERSIZE);
                Err(PeerError::unsent(PeerFault::Oversize {
                    bytes: length as u64,
                    limit: frame::HEAD_LIMIT as u64,
                }))
            }
            Some(Request::Call(head)) => {
                reader.set_kind(StreamKind::Call);
                writer.set_kind(StreamKind::Call);
                let answer = AnswerSender::new(writer, head.call);
                Ok(InboundStream::Call {
                    head,
                    body: BodyReceiver::new(reader),
                    answer,
                })
            }
            Some(_) => {
                reader.close();
                Ok(InboundStream::Request {
                    request,
                    responder: Responder::new(writer),
                })
            }
            None => {
                reader.stop(crate::error::CODE_MALFORMED);
                writer.reset(crate::error::CODE_MALFORMED);
                Err(PeerError::unsent(PeerFault::Malformed(
                    "an empty request".to_owned(),
                )))
            }
        }
    }
}

/// A request or call that a peer sent on one stream.
pub enum InboundStream {
    /// A control message that expects a reply.
    Request {
        /// The message.
        request: PeerRequest,
        /// Sends the reply.
        responder: Responder,
    },
    /// A call with a streamed body and answer.
    Call {
        /// The head of the call.
        head: CallHead,
        /// Receives the body.
        body: BodyReceiver,
        /// Sends the answer.
        answer: AnswerSender,
    },
}
