//! The life of one caller's connection.
//!
//! The HTTP library does not look at a connection while a handler runs, so a
//! caller who went away would be served to the end. Here each connection is
//! watched beside its service: a gone caller drops the handler, and a stop
//! closes the connection once nothing runs on it.

use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use xitca_io::net::Stream;
use xitca_io::net::TcpStream;
use xitca_server::net::IntoListener;
use xitca_server::net::Listen;
use xitca_web::service::Service;

tokio::task_local! {
    static CONNECTION: Rc<ConnectionUse>;
}

/// Tells all connections of a listener to end; clones share it.
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
        // The sender lives in `self`, so the wait cannot fail.
        let _ = self.0.subscribe().wait_for(|sent| *sent).await;
    }
}

/// Whether a request runs on the connection.
#[derive(Default)]
struct ConnectionUse {
    requests: Cell<usize>,
    idle: Notify,
}

impl ConnectionUse {
    async fn wait_idle(&self) {
        while self.requests.get() > 0 {
            self.idle.notified().await;
        }
    }
}

/// Marks the connection as in use until it is dropped.
pub(crate) struct ConnectionGuard(Rc<ConnectionUse>);

impl ConnectionGuard {
    /// Marks the connection that the present handler serves.
    pub(crate) fn begin() -> ConnectionGuard {
        let usage = CONNECTION.try_with(Rc::clone).unwrap_or_default();
        usage.requests.set(usage.requests.get() + 1);
        ConnectionGuard(usage)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.idle.notify_one();
    }
}

/// Serves one connection until it ends, its caller goes away in the middle of a
/// request, or the listener stops and no request runs on it.
pub(crate) async fn serve<S>(
    service: &S,
    stream: TcpStream,
    remote: SocketAddr,
    stop: &StopSignal,
) -> Result<(), S::Error>
where
    S: Service<(TcpStream, SocketAddr), Response = ()>,
{
    // A connection that cannot be configured or watched is closed unserved.
    let Ok(watched) = stream.set_nodelay(true).and_then(|()| watch_of(&stream)) else {
        return Ok(());
    };
    let usage = Rc::new(ConnectionUse::default());
    let mut served =
        std::pin::pin!(CONNECTION.scope(usage.clone(), service.call((stream, remote))));
    tokio::select! {
        biased;
        ended = &mut served => return ended,
        () = caller_gone(&watched, &usage) => return Ok(()),
        () = stop.wait() => {}
    }
    let ending = async {
        usage.wait_idle().await;
        // The service reads what had arrived, then the end, and closes.
        if let Ok(socket) = watched.as_fd().try_clone_to_owned() {
            let _ = std::net::TcpStream::from(socket).shutdown(Shutdown::Read);
        }
        std::future::pending::<()>().await
    };
    tokio::select! {
        biased;
        ended = &mut served => ended,
        () = ending => Ok(()),
    }
}

/// Returns a second handle of the socket, for events only.
fn watch_of(stream: &TcpStream) -> io::Result<tokio::net::TcpStream> {
    let socket = std::net::TcpStream::from(stream.as_fd().try_clone_to_owned()?);
    tokio::net::TcpStream::from_std(socket)
}

/// Completes when the caller closed its end while a request runs.
async fn caller_gone(watched: &tokio::net::TcpStream, usage: &ConnectionUse) {
    loop {
        match watched.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => {
                // Forgets this event without taking bytes, and waits for the next.
                let _ = watched.try_io(Interest::READABLE, || -> io::Result<()> {
                    Err(io::ErrorKind::WouldBlock.into())
                });
            }
            _ => break,
        }
    }
    if usage.requests.get() == 0 {
        // The service sees the end itself, after requests that had arrived before.
        std::future::pending::<()>().await;
    }
}

/// A listening socket that is closed at the stop, so that callers are refused
/// at once instead of waiting in its queue.
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
            quiet: UnixStream::pair()?,
        })
    }
}

/// The listening socket while the server runs.
pub(crate) struct OpenListener {
    socket: ArcSwapOption<tokio::net::TcpListener>,
    stop: StopSignal,
    quiet: (UnixStream, UnixStream),
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
        // Never readable; fails when the server ends its event loop, which is
        // how the server's threads learn that they accept no more.
        self.quiet.0.readable().await?;
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}
