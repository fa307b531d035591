//! The record of whether a request was written to a connection.
//!
//! A request whose future is dropped may still be written by the connection's
//! task on another thread. The gate decides that race: it is either written
//! first, or shut first and then never written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use arc_swap::ArcSwap;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

const OPEN: u8 = 0;
const WRITTEN: u8 = 1;
const SHUT: u8 = 2;

/// Whether any byte of one request may have left.
#[derive(Debug, Default)]
pub(crate) struct WriteGate(AtomicU8);

impl WriteGate {
    /// Shuts the gate unless it was passed; returns whether it was passed.
    pub(crate) fn shut(&self) -> bool {
        let before = self
            .0
            .compare_exchange(OPEN, SHUT, Ordering::AcqRel, Ordering::Acquire);
        before == Err(WRITTEN)
    }

    /// Passes the gate. `Ok(true)` for the first time, an error when it is shut.
    fn pass(&self) -> io::Result<bool> {
        match self
            .0
            .compare_exchange(OPEN, WRITTEN, Ordering::AcqRel, Ordering::Acquire)
        {
            Ok(_) => Ok(true),
            Err(WRITTEN) => Ok(false),
            Err(_) => Err(io::Error::new(
                io::ErrorKind::BrokenPipe,
                "the request was withdrawn",
            )),
        }
    }

    /// Takes back the first passage, after a write that took no byte.
    fn reopen(&self) {
        let _ = self
            .0
            .compare_exchange(WRITTEN, OPEN, Ordering::AcqRel, Ordering::Acquire);
    }
}

/// A TCP stream whose writes pass the gate of the request under way.
pub(crate) struct GatedStream {
    inner: TcpStream,
    gates: Arc<ArcSwap<WriteGate>>,
}

impl GatedStream {
    pub(crate) fn new(inner: TcpStream, gates: Arc<ArcSwap<WriteGate>>) -> GatedStream {
        GatedStream { inner, gates }
    }

    fn write<F>(mut self: Pin<&mut Self>, write: F) -> Poll<io::Result<usize>>
    where
        F: FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    {
        let gate = self.gates.load_full();
        let first = gate.pass()?;
        let written = write(Pin::new(&mut self.inner));
        if first && !matches!(written, Poll::Ready(Ok(bytes)) if bytes > 0) {
            gate.reopen();
        }
        written
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(|inner| inner.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(|inner| inner.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
