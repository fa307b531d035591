//! Monitors the connections of callers while their requests run.
//!
//! The HTTP library does not read from a connection while a handler runs, so it
//! would not notice that the caller disconnected. This module watches each
//! connection concurrently with its service: the handler is dropped when the
//! caller disconnects, and a stop closes the connection once it is idle.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use xitca_io::net::Stream;
use xitca_io::net::TcpStream;
use xitca_server::net::IntoListener;
use xitca_server::net::Listen;
use xitca_web::service::Service;

use crate::byte_budget::BudgetShare;
use crate::byte_budget::ByteBudget;
use crate::caller_registry::CallerPlace;
use crate::caller_registry::CallerRegistry;
use crate::connection_table::CloseReason;
use crate::connection_table::ConnectionPhase;

tokio::task_local! {
    static CONNECTION: Rc<ConnectionActivity>;
}

/// Signals all connections of a listener to close; clones share the signal.
#[derive(Clone)]
pub(crate) struct StopSignal(Arc<watch::Sender<bool>>);

impl Default for StopSignal {
    fn default() -> StopSignal {
        StopSignal(Arc::new(watch::Sender::new(false)))
    }
}

impl StopSignal {
    pub(crate) fn send(&self) {
        self.0.send_replace(true);
    }

    pub(crate) fn is_sent(&self) -> bool {
        *self.0.borrow()
    }

    async fn wait(&self) {
        // `self` keeps the sender alive, so the wait cannot fail.
        let _ = self.0.subscribe().wait_for(|sent| *sent).await;
    }
}

/// The requests that run on a connection, and its socket.
#[derive(Default)]
pub(crate) struct ConnectionActivity {
    requests: Cell<usize>,
    idle: Notify,
    /// Whether the caller waits to be asked for the body of its request.
    continue_due: Cell<bool>,
    /// A second handle of the connection's socket.
    watched: Option<Rc<tokio::net::TcpStream>>,
    /// The place among the connections of callers; other daemons need none.
    place: Option<CallerPlace>,
    /// The memory of the buffer for long answers, once there was one.
    outbox: RefCell<Option<BudgetShare<Arc<ByteBudget>>>>,
}

impl ConnectionActivity {
    /// Returns the activity of the connection that the current task serves.
    pub(crate) fn current() -> Rc<ConnectionActivity> {
        CONNECTION.try_with(Rc::clone).unwrap_or_default()
    }

    /// Returns whether the caller has closed its end of the connection, and all that
    /// it sent was read.
    pub(crate) fn caller_has_closed(&self) -> bool {
        let Some(watched) = &self.watched else {
            return false;
        };
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(watched.as_ref()).peek(&mut byte) {
            Ok(received) => received == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Records whether the caller waits to be asked for the body of its request.
    pub(crate) fn set_continue_due(&self, is_due: bool) {
        self.continue_due.set(is_due);
    }

    /// Returns whether the caller waits to be asked for the body of its request.
    pub(crate) fn is_continue_due(&self) -> bool {
        self.continue_due.get()
    }

    /// Records that another phase of the connection begins.
    pub(crate) fn enter(&self, phase: ConnectionPhase) {
        if let Some(place) = &self.place {
            place.enter(phase);
        }
    }

    /// Records that a request begins to arrive, if the connection waited for it.
    pub(crate) fn begin_receiving(&self) {
        if let Some(place) = &self.place {
            place.begin_receiving();
        }
    }

    /// Records bytes of a request or an answer that were transferred.
    pub(crate) fn record_moved(&self, bytes: usize) {
        if let Some(place) = &self.place {
            place.record_moved(bytes);
        }
    }

    /// Returns the memory for long heads, if it is limited.
    pub(crate) fn head_budget(&self) -> Option<Arc<ByteBudget>> {
        self.place.as_ref()?.registry().head_budget().cloned()
    }

    /// Returns the registry in which the connection has a place.
    pub(crate) fn registry(&self) -> Option<&Arc<CallerRegistry>> {
        self.place.as_ref().map(CallerPlace::registry)
    }

    /// Returns whether the connection may hold long parts of answers in its buffer. The
    /// library keeps the buffer, so its memory is counted until the connection ends.
    pub(crate) fn has_outbox(&self) -> bool {
        let Some(place) = &self.place else {
            return true;
        };
        let mut outbox = self.outbox.borrow_mut();
        if outbox.is_none() {
            *outbox = place.registry().outbox_share();
        }
        outbox.is_some()
    }

    /// Waits until the connection gives way to others.
    async fn gives_way(&self) -> CloseReason {
        match &self.place {
            Some(place) => place.closed().await,
            None => std::future::pending().await,
        }
    }

    async fn wait_idle(&self) {
        while self.requests.get() > 0 {
            self.idle.notified().await;
        }
    }
}

/// Counts a request as running on its connection, until dropped.
pub(crate) struct ConnectionGuard(Rc<ConnectionActivity>);

impl ConnectionGuard {
    /// Counts a request on the connection that the current task serves.
    pub(crate) fn begin() -> ConnectionGuard {
        let activity = ConnectionActivity::current();
        activity.requests.set(activity.requests.get() + 1);
        ConnectionGuard(activity)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.idle.notify_one();
    }
}

/// Serves one connection until it ends, until its caller disconnects during a
/// request or leaves bytes unacknowledged for the time `unread`, until it gives way to
/// others, or until the listener stops and the connection is idle.
pub(crate) async fn serve<S>(
    service: &S,
    stream: TcpStream,
    remote: SocketAddr,
    place: Option<CallerPlace>,
    stop: &StopSignal,
    unread: Duration,
) -> Result<(), S::Error>
where
    S: Service<(TcpStream, SocketAddr), Response = ()>,
{
    // A connection that cannot be configured or watched is closed.
    let Ok(watched) = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(unread)))
        .and_then(|()| duplicate_socket(&stream))
    else {
        return Ok(());
    };
    let watched = Rc::new(watched);
    let activity = Rc::new(ConnectionActivity {
        watched: Some(Rc::clone(&watched)),
        place,
        ..ConnectionActivity::default()
    });
    let mut served =
        std::pin::pin!(CONNECTION.scope(activity.clone(), service.call((stream, remote))));
    tokio::select! {
        biased;
        ended = &mut served => return ended,
        () = caller_disconnected(&watched, &activity) => return Ok(()),
        reason = activity.gives_way() => {
            if reason.needs_reset() {
                // A reset frees the bytes that the caller has not read. If it fails, they
                // are freed after the time for unacknowledged bytes.
                let _ = SockRef::from(watched.as_ref()).set_linger(Some(Duration::ZERO));
            }
            return Ok(());
        }
        () = stop.wait() => {}
    }
    let close_when_idle = async {
        activity.wait_idle().await;
        // The service processes the data that has arrived, reads the end of the
        // stream, and closes the connection.
        if let Ok(socket) = watched.as_fd().try_clone_to_owned() {
            let _ = std::net::TcpStream::from(socket).shutdown(Shutdown::Read);
        }
        std::future::pending::<()>().await
    };
    tokio::select! {
        biased;
        ended = &mut served => ended,
        () = close_when_idle => Ok(()),
        _ = activity.gives_way() => Ok(()),
    }
}

/// Returns a second handle of the socket, used only to wait for events.
fn duplicate_socket(stream: &TcpStream) -> io::Result<tokio::net::TcpStream> {
    let socket = std::net::TcpStream::from(stream.as_fd().try_clone_to_owned()?);
    tokio::net::TcpStream::from_std(socket)
}

/// Completes when the caller closes its end while a request runs.
async fn caller_disconnected(watched: &tokio::net::TcpStream, activity: &ConnectionActivity) {
    loop {
        match watched.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => {
                // Clears the readiness without reading, to wait for the next event.
                let _ = watched.try_io(Interest::READABLE, || -> io::Result<()> {
                    Err(io::ErrorKind::WouldBlock.into())
                });
            }
            _ => break,
        }
    }
    if activity.requests.get() == 0 {
        // The service reads the end itself, after requests that arrived before it.
        std::future::pending::<()>().await;
    }
}

/// A listening socket that is closed by the stop signal, so that new connections
/// are refused at once instead of waiting in the accept queue.
pub(crate) struct StoppableListener {
    socket: std::net::TcpListener,
    stop: StopSignal,
}

impl StoppableListener {
    pub(crate) fn new(socket: std::net::TcpListener, stop: StopSignal) -> StoppableListener {
        StoppableListener { socket, stop }
    }
}

impl IntoListener for StoppableListener {
    type Listener = OpenListener;

    fn into_listener(self) -> io::Result<OpenListener> {
        self.socket.set_nonblocking(true)?;
        let socket = tokio::net::TcpListener::from_std(self.socket)?;
        Ok(OpenListener {
            socket: ArcSwapOption::new(Some(Arc::new(socket))),
            stop: self.stop,
            never_readable: UnixStream::pair()?,
        })
    }
}

/// The listening socket of a running server.
pub(crate) struct OpenListener {
    socket: ArcSwapOption<tokio::net::TcpListener>,
    stop: StopSignal,
    never_readable: (UnixStream, UnixStream),
}

impl Listen for OpenListener {
    async fn accept(&self) -> io::Result<Stream> {
        if let Some(socket) = self.socket.load_full() {
            tokio::select! {
                biased;
                () = self.stop.wait() => {}
                accepted = socket.accept() => {
                    let (stream, remote) = accepted?;
                    return Ok(Stream::Tcp(stream.into_std()?, remote));
                }
            }
        }
        self.socket.store(None);
        // This socket never becomes readable. The wait fails when the server ends
        // its event loop, which stops the accept loops of the server's threads.
        self.never_readable.0.readable().await?;
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}
