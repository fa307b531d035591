//! A small HTTP/1.1 server on loopback whose connections can be closed or stalled.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A handler's result. An error closes the connection without a response.
pub(crate) type ServerResult = io::Result<Response<Full<Bytes>>>;

/// A server that runs until it is dropped.
pub(crate) struct LoopbackServer {
    address: SocketAddr,
    shared: Arc<ServerShared>,
    accepting: Mutex<Option<AbortHandle>>,
}

#[derive(Default)]
struct ServerShared {
    open: Mutex<Vec<OpenConnection>>,
    accepted: AtomicUsize,
}

struct OpenConnection {
    task: AbortHandle,
    stalled: Arc<AtomicBool>,
}

impl ServerShared {
    fn open(&self) -> MutexGuard<'_, Vec<OpenConnection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LoopbackServer {
    /// Binds a free loopback port and serves each request with the handler.
    pub(crate) async fn start<H, F>(handler: H) -> io::Result<LoopbackServer>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ServerResult> + Send + 'static,
    {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let server = LoopbackServer {
            address: listener.local_addr()?,
            shared: Arc::default(),
            accepting: Mutex::new(None),
        };
        server.accept(listener, handler);
        Ok(server)
    }

    /// Listens again on the same address after [`LoopbackServer::abort_all`].
    pub(crate) async fn restart<H, F>(&self, handler: H) -> io::Result<()>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ServerResult> + Send + 'static,
    {
        let listener = TcpListener::bind(self.address).await?;
        self.accept(listener, handler);
        Ok(())
    }

    fn accept<H, F>(&self, listener: TcpListener, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ServerResult> + Send + 'static,
    {
        let shared = self.shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.accepted.fetch_add(1, Ordering::Relaxed);
                let stalled = Arc::new(AtomicBool::new(false));
                let task = tokio::spawn(serve(stream, stalled.clone(), handler.clone()));
                let mut open = shared.open();
                open.retain(|connection| !connection.task.is_finished());
                open.push(OpenConnection {
                    task: task.abort_handle(),
                    stalled,
                });
            }
        });
        let previous = self.accepting().replace(task.abort_handle());
        if let Some(previous) = previous {
            previous.abort();
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections accepted since the start.
    pub(crate) fn accepted(&self) -> usize {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub(crate) fn connections(&self) -> usize {
        let open = self.shared.open();
        open.iter()
            .filter(|connection| !connection.task.is_finished())
            .count()
    }

    /// Stops listening and closes all connections, as when the process crashes.
    pub(crate) fn abort_all(&self) {
        if let Some(accepting) = self.accepting().take() {
            accepting.abort();
        }
        for connection in self.shared.open().drain(..) {
            connection.task.abort();
        }
    }

    /// Stops all traffic on the open connections without closing them. New
    /// connections are not affected.
    pub(crate) fn stall_open_connections(&self) {
        for connection in self.shared.open().iter() {
            connection.stalled.store(true, Ordering::Release);
        }
    }

    fn accepting(&self) -> MutexGuard<'_, Option<AbortHandle>> {
        self.accepting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for LoopbackServer {
    fn drop(&mut self) {
        self.abort_all();
    }
}

async fn serve<H, F>(stream: TcpStream, stalled: Arc<AtomicBool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = ServerResult>,
{
    // With Nagle's algorithm, small responses would wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(StallableStream {
        inner: stream,
        stalled,
    });
    // A connection ends with an error when its client closes it.
    let _ = http1::Builder::new()
        .serve_connection(io, service_fn(handler))
        .await;
}

/// A TCP stream that can be stalled: no bytes move, but it stays open.
struct StallableStream {
    inner: TcpStream,
    stalled: Arc<AtomicBool>,
}

impl StallableStream {
    fn is_stalled(&self) -> bool {
        self.stalled.load(Ordering::Acquire)
    }
}

impl AsyncRead for StallableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
