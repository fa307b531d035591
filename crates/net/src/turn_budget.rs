//! How much one connection may do before the others have their turn.
//!
//! All connections of a thread take turns. A connection whose caller sends without waiting
//! always has something to do, and would keep the thread.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

/// The greatest number of requests that are taken from a connection in one turn.
const TURN_REQUESTS: usize = 4;

/// The greatest number of bytes that are transferred in one turn; a long piece of a body
/// may exceed it.
const TURN_BYTES: usize = 64 * 1024;

/// What a connection has done in its present turn.
#[derive(Debug, Default)]
pub(crate) struct TurnBudget {
    requests: Cell<usize>,
    bytes: Cell<usize>,
}

impl TurnBudget {
    /// Counts a request.
    pub(crate) fn spend_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    /// Counts transferred bytes.
    pub(crate) fn spend_bytes(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// Gives the thread to others if the turn is over. Nothing has been transferred yet
    /// when a caller of this function is dropped while it waits.
    pub(crate) async fn wait(&self) {
        if self.requests.get() >= TURN_REQUESTS || self.bytes.get() >= TURN_BYTES {
            tokio::task::yield_now().await;
            self.begin();
        }
    }

    /// Waits for an operation on the socket. If it cannot be done at once, the others have
    /// had their turn meanwhile.
    pub(crate) async fn track<F>(&self, operation: F) -> F::Output
    where
        F: Future,
    {
        let mut operation = pin!(operation);
        let first = poll_fn(|context| Poll::Ready(operation.as_mut().poll(context))).await;
        match first {
            Poll::Ready(output) => output,
            Poll::Pending => {
                self.begin();
                operation.await
            }
        }
    }

    fn begin(&self) {
        self.requests.set(0);
        self.bytes.set(0);
    }
}
