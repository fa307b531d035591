//! The record of whether a request was written to a connection.
//!
//! A request whose future is dropped may still be written by the connection's
//! task on another thread. The gate decides that race: it is either written
//! first, or shut first and then never written.

use std::io;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

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
    pub(crate) fn pass(&self) -> io::Result<bool> {
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
    pub(crate) fn reopen(&self) {
        let _ = self
            .0
            .compare_exchange(WRITTEN, OPEN, Ordering::AcqRel, Ordering::Acquire);
    }
}
