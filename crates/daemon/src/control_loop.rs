//! The control thread, which owns all control state of a daemon.
//!
//! It runs the control machine of `radishgauge-control` and performs the I/O of
//! its actions. Results return through one queue, so the machine receives events
//! one after another and needs no lock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use radishgauge_config::PartDigest;
use radishgauge_control::ControlAction;
use radishgauge_control::ControlConfig;
use radishgauge_control::ControlEvent;
use radishgauge_control::ControlMachine;
use radishgauge_control::PeerKey;
use radishgauge_control::PeerLink;
use radishgauge_control::PlatformAnswer;
use radishgauge_control::PlatformKey;
use radishgauge_control::RequestId;
use radishgauge_control::event::PeerFailure;
use radishgauge_control::event::PlatformFailure;
use radishgauge_net::PeerEndpoint;
use radishgauge_net::PeerError;
use radishgauge_net::PeerFault;
use radishgauge_net::PeerSession;
use radishgauge_net::PlatformClient;
use radishgauge_net::Responder;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::StatusReply;
use slotmap::SlotMap;
use smol_str::SmolStr;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock::ProcessClock;
use crate::control_log;
use crate::events;
use crate::meters::CallMeters;
use crate::meters::MeterSender;
use crate::meters::count;
use crate::node::DaemonNode;
use crate::publish::Publisher;
use crate::serve;
use crate::sessions::is_refused;

/// The timeout of a control request, after which the peer counts as silent; long
/// enough for a round trip between regions and a full transfer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval at which the byte counters of control sessions are updated.
const BYTE_COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of a read of the platform; for a watch, the timeout after the end
/// of its waiting time.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// The inputs of the control thread.
pub enum ControlInput {
    /// The result of a dial for the control machine.
    Dialled {
        /// The address that was dialled.
        address: SocketAddr,
        /// The session, or the reason of the failure.
        result: Result<PeerSession, PeerError>,
    },
    /// A peer sent a control request.
    Request {
        /// The session on which the request arrived.
        session: PeerSession,
        /// The request, which the control machine answers.
        request: PeerRequest,
        /// Sends the reply.
        responder: Responder,
    },
    /// A session ended.
    Closed {
        /// The identifier of the session.
        session: usize,
        /// The reason of the end.
        reason: PeerFault,
    },
    /// An event that is passed to the control machine unchanged.
    Event(ControlEvent),
    /// Requests the status of the control machine.
    Status(oneshot::Sender<StatusReply>),
    /// Ends the control thread.
    End,
}

/// A handle with which other threads send inputs to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: mpsc::UnboundedSender<ControlInput>,
}

impl ControlHandle {
    /// Returns a handle and the queue that receives its inputs.
    pub fn queue() -> (ControlHandle, mpsc::UnboundedReceiver<ControlInput>) {
        let (inputs, queue) = mpsc::unbounded_channel();
        (ControlHandle { inputs }, queue)
    }

    /// Sends an input; it is ignored after the control thread has ended.
    pub fn send(&self, input: ControlInput) {
        let _ = self.inputs.send(input);
    }

    /// Requests the configuration of a service that a call needs and that is not
    /// loaded.
    pub fn request_service(&self, service: SmolStr) {
        self.send(ControlInput::Event(ControlEvent::ServiceRequested {
            service,
        }));
    }
}

/// The arguments of [`spawn`]: the settings and resources of the control thread.
pub struct ControlResources {
    /// The settings of the control machine.
    pub config: ControlConfig,
    /// The seed of the jitter and random choices of the control machine.
    pub seed: u64,
    /// The monotonic clock of the process.
    pub clock: Arc<dyn ProcessClock>,
    /// The endpoint from which sessions are dialled.
    pub endpoint: PeerEndpoint,
    /// The client of the platform's configuration service.
    pub platform: PlatformClient,
    /// Publishes fleet states to the traffic threads.
    pub publisher: Publisher,
    /// The state that the traffic threads share.
    pub node: Arc<DaemonNode>,
    /// The counters of this daemon.
    pub meters: Arc<CallMeters>,
    /// Sends the counters; `None` when the settings name no receiver.
    pub sender: Option<MeterSender>,
    /// The runtime of the traffic threads, which performs all I/O.
    pub runtime: Handle,
}

/// Starts the control thread.
///
/// # Errors
///
/// When the thread cannot be started.
pub fn spawn(
    resources: ControlResources,
    handle: ControlHandle,
    queue: mpsc::UnboundedReceiver<ControlInput>,
) -> Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .build()
                .expect("a runtime without I/O needs no system resource");
            runtime.block_on(ControlLoop::new(resources, handle).run(queue));
        })
        .context("start the control thread")
}

struct ControlLoop {
    machine: ControlMachine,
    resources: ControlResources,
    handle: ControlHandle,
    peers: SlotMap<PeerKey, PeerSession>,
    peer_keys: HashMap<usize, PeerKey>,
    responders: HashMap<(PeerKey, RequestId), Responder>,
    next_request: u64,
    next_meter_send: Duration,
    next_byte_count: Duration,
    /// UDP payload bytes sent and received on control sessions that have ended.
    ended_bytes: (u64, u64),
    telemetry_failing: bool,
}

impl ControlLoop {
    fn new(resources: ControlResources, handle: ControlHandle) -> ControlLoop {
        ControlLoop {
            machine: ControlMachine::new(resources.config.clone(), resources.seed),
            resources,
            handle,
            peers: SlotMap::with_key(),
            peer_keys: HashMap::new(),
            responders: HashMap::new(),
            next_request: 0,
            next_meter_send: Duration::ZERO,
            next_byte_count: Duration::ZERO,
            ended_bytes: (0, 0),
            telemetry_failing: false,
        }
    }

    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<ControlInput>) {
        self.step(ControlEvent::Tick);
        loop {
            let wait = self
                .machine
                .next_tick()
                .saturating_sub(self.resources.clock.now());
            tokio::select! {
                input = queue.recv() => match input {
                    None | Some(ControlInput::End) => return,
                    Some(input) => self.handle_input(input),
                },
                () = tokio::time::sleep(wait) => self.step(ControlEvent::Tick),
            }
            self.resources.publisher.confirm(self.resources.clock.now());
            self.send_meters();
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Event(event) => self.step(event),
            ControlInput::Dialled { address, result } => match result {
                Ok(session) => {
                    // The peer can send requests on the same session.
                    let served = serve::serve(Arc::clone(&self.resources.node), session.clone());
                    self.resources.runtime.spawn(served);
                    self.add_peer(session, PeerLink::Outbound(address));
                }
                Err(error) => {
                    if is_refused(&error.fault) {
                        events::PEER_REFUSED.emit(format_args!(
                            "address={address} reason={:?}",
                            error.to_string()
                        ));
                    }
                    self.step(ControlEvent::DialFailed { address });
                }
            },
            ControlInput::Request {
                session,
                request,
                responder,
            } => {
                let peer = match self.peer_keys.get(&session.id()) {
                    Some(peer) => *peer,
                    None => self.add_peer(session, PeerLink::Inbound),
                };
                self.next_request += 1;
                let id = RequestId(self.next_request);
                self.responders.insert((peer, id), responder);
                self.step(ControlEvent::Request { peer, id, request });
            }
            ControlInput::Closed { session, reason } => {
                if let Some(peer) = self.peer_keys.remove(&session) {
                    if let Some(session) = self.peers.remove(peer) {
                        self.record_session_end(&session);
                        let host = &session.peer().host;
                        events::PEER_DOWN.emit(format_args!("host={host} reason={reason:?}"));
                    }
                    self.responders.retain(|(owner, _), _| *owner != peer);
                    self.step(ControlEvent::PeerDown { peer });
                }
            }
            ControlInput::Status(sender) => {
                // A failure to send means that the operator has disconnected.
                let _ = sender.send(self.machine.status());
            }
            ControlInput::End => {}
        }
    }

    fn add_peer(&mut self, session: PeerSession, link: PeerLink) -> PeerKey {
        let hello = session.peer().clone();
        events::PEER_UP.emit(format_args!(
            "host={} failure_domain={} address={}",
            hello.host,
            hello.failure_domain,
            session.address()
        ));
        let peer = self.peers.insert(session.clone());
        self.peer_keys.insert(session.id(), peer);
        let handle = self.handle.clone();
        self.resources.runtime.spawn(async move {
            let reason = session.closed().await;
            handle.send(ControlInput::Closed {
                session: session.id(),
                reason,
            });
        });
        self.step(ControlEvent::PeerUp { peer, hello, link });
        peer
    }

    fn step(&mut self, event: ControlEvent) {
        let now = self.resources.clock.now();
        for action in self.machine.handle(event, now) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: ControlAction) {
        match action {
            ControlAction::ReadPlatform { id, key } => self.read_platform(id, key, None),
            ControlAction::WatchPlatform {
                id,
                key,
                known,
                wait,
            } => {
                self.read_platform(id, key, Some((known, wait)));
            }
            ControlAction::Dial { address } => self.dial(address),
            ControlAction::Drop { peer } => {
                if let Some(session) = self.peers.remove(peer) {
                    self.peer_keys.remove(&session.id());
                    self.responders.retain(|(owner, _), _| *owner != peer);
                    self.record_session_end(&session);
                    session.close("no longer needed");
                }
            }
            ControlAction::Send { peer, id, request } => self.send(peer, id, request),
            ControlAction::Reply { peer, id, reply } => {
                if let Some(responder) = self.responders.remove(&(peer, id)) {
                    self.resources.runtime.spawn(async move {
                        // A failure to reply means that the requester is gone;
                        // it sends the request again on another session.
                        let _ = responder.reply(reply).await;
                    });
                }
            }
            ControlAction::Publish(fleet_state) => {
                self.resources.endpoint.set_revision(fleet_state.revision);
                let now = self.resources.clock.now();
                if self.resources.publisher.publish(fleet_state, now) {
                    count(&self.resources.meters.versions);
                }
                if let Some(version) = self.resources.node.state.current() {
                    self.resources.node.configure(&version);
                }
            }
            ControlAction::Log(log) => control_log::emit(&log),
        }
    }

    fn read_platform(
        &mut self,
        id: RequestId,
        key: PlatformKey,
        watch: Option<(Option<PartDigest>, Duration)>,
    ) {
        count(&self.resources.meters.platform_calls);
        let platform = self.resources.platform.clone();
        let handle = self.handle.clone();
        self.resources.runtime.spawn(async move {
            let name = key.to_string();
            let limit = PLATFORM_TIMEOUT + watch.map_or(Duration::ZERO, |(_, wait)| wait);
            let work = async {
                match watch {
                    None => platform.read(&name).await.map(|value| match value {
                        Some(value) => PlatformAnswer::Value(value),
                        None => PlatformAnswer::Missing,
                    }),
                    Some((known, wait)) => {
                        platform
                            .watch(&name, known, wait)
                            .await
                            .map(|value| match value {
                                Some(value) => PlatformAnswer::Value(value),
                                None => PlatformAnswer::Unchanged,
                            })
                    }
                }
            };
            let result = match tokio::time::timeout(limit, work).await {
                Ok(result) => {
                    result.map_err(|error| PlatformFailure(SmolStr::new(error.to_string())))
                }
                Err(_) => Err(PlatformFailure(SmolStr::new_static("no answer in time"))),
            };
            handle.send(ControlInput::Event(ControlEvent::PlatformValue {
                id,
                result,
            }));
        });
    }

    fn dial(&self, address: SocketAddr) {
        let endpoint = self.resources.endpoint.clone();
        let handle = self.handle.clone();
        self.resources.runtime.spawn(async move {
            let result = endpoint.dial(address).await;
            handle.send(ControlInput::Dialled { address, result });
        });
    }

    fn send(&self, peer: PeerKey, id: RequestId, request: PeerRequest) {
        let Some(session) = self.peers.get(peer).cloned() else {
            let result = Err(PeerFailure::Closed);
            self.handle
                .send(ControlInput::Event(ControlEvent::Reply { id, result }));
            return;
        };
        let handle = self.handle.clone();
        self.resources.runtime.spawn(async move {
            let result = session.request(request, REPLY_TIMEOUT).await;
            let result: Result<PeerReply, PeerFailure> =
                result.map_err(|error| match error.fault {
                    PeerFault::Timeout => PeerFailure::Silent,
                    PeerFault::Malformed(_)
                    | PeerFault::Oversize { .. }
                    | PeerFault::Unexpected(_) => {
                        events::MESSAGE_REJECTED.emit(format_args!(
                            "host={} reason={:?}",
                            session.peer().host,
                            error.to_string()
                        ));
                        PeerFailure::Malformed
                    }
                    _ => PeerFailure::Closed,
                });
            handle.send(ControlInput::Event(ControlEvent::Reply { id, result }));
        });
    }

    /// Updates the byte counters of control sessions, which include packet
    /// overhead.
    fn count_bytes(&mut self, now: Duration) {
        if now < self.next_byte_count {
            return;
        }
        self.next_byte_count = now + BYTE_COUNT_INTERVAL;
        let (mut sent, mut received) = self.ended_bytes;
        for session in self.peers.values() {
            let stats = session.stats();
            sent += stats.datagram_bytes_sent;
            received += stats.datagram_bytes_received;
        }
        self.resources
            .meters
            .control_sent
            .store(sent, Ordering::Relaxed);
        self.resources
            .meters
            .control_received
            .store(received, Ordering::Relaxed);
    }

    fn record_session_end(&mut self, session: &PeerSession) {
        let stats = session.stats();
        self.ended_bytes.0 += stats.datagram_bytes_sent;
        self.ended_bytes.1 += stats.datagram_bytes_received;
    }

    fn send_meters(&mut self) {
        let now = self.resources.clock.now();
        self.count_bytes(now);
        let Some(sender) = &mut self.resources.sender else {
            return;
        };
        if now < self.next_meter_send {
            return;
        }
        self.next_meter_send = now + MeterSender::INTERVAL;
        let revision = self.resources.publisher.revision();
        let sent = sender.send(&self.resources.meters, revision);
        if let Err(error) = &sent
            && !self.telemetry_failing
        {
            events::TELEMETRY_FAILED.emit(format_args!(
                "receiver=statsd error={:?}",
                error.to_string()
            ));
        }
        self.telemetry_failing = sent.is_err();
    }
}
