//! The bytes of one caller's connection, as the HTTP library reads them.
//!
//! Heads are passed on one at a time, complete and without the fields that concern only
//! the connection. As the library writes all answers before it reads the next head, this
//! stream may write to the connection between two requests.

use std::cell::RefCell;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use socket2::SockRef;
use tokio::time::Instant;
use xitca_io::io::AsyncBufRead;
use xitca_io::io::AsyncBufWrite;
use xitca_io::io::BoundedBuf;
use xitca_io::io::BoundedBufMut;
use xitca_io::net::TcpStream;
use xitca_web::service::Service;

use crate::byte_budget::BudgetShare;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::RELIEF_TURNS;
use crate::connection::ConnectionActivity;
use crate::connection_table::ConnectionPhase;
use crate::head_bounds::HeadBounds;
use crate::request_framing;
use crate::request_framing::BodyEnd;
use crate::request_framing::HeadScan;
use crate::request_framing::RequestHead;
use crate::turn_budget::TurnBudget;

/// How many bytes are read at a time while a head is expected. It holds most heads, and
/// each idle connection keeps as many.
const HEAD_READ: usize = 1024;

/// How many bytes are read at a time within a body that must be scanned for its end.
const BODY_READ: usize = 8 * 1024;

/// The greatest capacity in bytes of a buffer that is kept when it is empty.
const KEPT_CAPACITY: usize = 8 * 1024;

/// How many times the bytes of a long head are held until its request has been answered: in
/// the library's buffer, in the parsed fields, and in what is sent to the target.
const HEAD_COPIES: usize = 3;

/// The greatest length in bytes of the empty lines before a request; RFC 9112 asks to
/// ignore at least one.
const MAX_EMPTY_LINES: usize = 1024;

/// Asks the caller for the body of its request.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Refuses a head that is too long.
const HEAD_TOO_LONG: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\nx-radishgauge-verdict: not-run\r\ncontent-length: 0\r\n\r\n";

/// Refuses a head that does not arrive in time.
const HEAD_TOO_LATE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\nx-radishgauge-verdict: not-run\r\ncontent-length: 0\r\n\r\n";

/// Refuses a head for which there is no memory.
const HEAD_WITHOUT_MEMORY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nx-radishgauge-verdict: not-run\r\ncontent-length: 0\r\n\r\n";

/// Refuses a head whose body has no unambiguous end.
const AMBIGUOUS_BODY: &[u8] = b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\nx-radishgauge-verdict: not-run\r\ncontent-length: 0\r\n\r\n";

/// How long a connection with an unread body is drained after its answer. A close at once
/// resets it, and the caller may lose the answer.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// The greatest number of bytes that are drained.
const LINGER_BYTES: usize = 1024 * 1024;

/// The part of a request to which the next bytes belong.
enum RequestPart {
    /// The head.
    Head,
    /// The body.
    Body(BodyEnd),
}

struct InboundState {
    /// The bytes that were received and not passed on.
    inbox: BytesMut,
    part: RequestPart,
    /// How many bytes of the inbox may be passed on.
    ready: usize,
    /// How many bytes of the inbox were searched for the end of a head.
    searched: usize,
    /// How many bytes of empty lines came before the head.
    empty_lines: usize,
    /// When the head must have arrived; `None` before its first byte.
    head_due: Option<Instant>,
    /// Records whether the caller waits to be asked for the body.
    connection: Rc<ConnectionActivity>,
    /// The memory of a long head, until its request has been answered.
    share: BudgetShare<Arc<ByteBudget>>,
    /// Whether a request was passed on whose answer was not written yet.
    is_answer_due: bool,
}

impl InboundState {
    fn new() -> InboundState {
        InboundState {
            inbox: BytesMut::new(),
            part: RequestPart::Head,
            ready: 0,
            searched: 0,
            empty_lines: 0,
            head_due: None,
            connection: ConnectionActivity::current(),
            share: BudgetShare::new(None),
            is_answer_due: false,
        }
    }

    /// Passes on as many bytes as are ready and fit.
    fn pass<B>(&mut self, buffer: &mut B) -> usize
    where
        B: BoundedBufMut,
    {
        let spare = buffer.bytes_total() - buffer.bytes_init();
        let passed = self.ready.min(spare);
        buffer.put_slice(&self.inbox[..passed]);
        self.inbox.advance(passed);
        self.ready -= passed;
        if self.inbox.is_empty() && self.inbox.capacity() > KEPT_CAPACITY {
            self.inbox = BytesMut::new();
        }
        passed
    }

    /// Determines how many of the received bytes may be passed on.
    fn scan(&mut self) -> Result<(), HeadFault> {
        match &mut self.part {
            RequestPart::Head => return self.scan_head(),
            RequestPart::Body(BodyEnd::Length(left)) => {
                let available = self.inbox.len() as u64;
                self.ready = available.min(*left) as usize;
                *left -= self.ready as u64;
            }
            RequestPart::Body(BodyEnd::Chunks(scanner)) => {
                self.ready = scanner.scan(&self.inbox);
                if self.ready == 0 && scanner.is_invalid() {
                    return Err(HeadFault::InvalidChunks);
                }
            }
            RequestPart::Body(BodyEnd::Unknown) => self.ready = self.inbox.len(),
        }
        self.end_body();
        Ok(())
    }

    /// Expects the next head if the body has ended.
    fn end_body(&mut self) {
        let has_ended = match &self.part {
            RequestPart::Head => false,
            RequestPart::Body(BodyEnd::Length(left)) => *left == 0,
            RequestPart::Body(BodyEnd::Chunks(scanner)) => scanner.has_ended(),
            RequestPart::Body(BodyEnd::Unknown) => false,
        };
        if has_ended {
            self.part = RequestPart::Head;
            self.connection.set_continue_due(false);
            self.connection.enter(ConnectionPhase::Serving);
        }
    }

    /// Records that the last request was answered, once the next head is awaited.
    fn end_answer(&mut self) {
        if self.is_answer_due {
            self.is_answer_due = false;
            self.share = BudgetShare::new(None);
            self.connection.enter(ConnectionPhase::Idle);
        }
    }

    fn scan_head(&mut self) -> Result<(), HeadFault> {
        if self.searched == 0 {
            self.empty_lines += request_framing::skip_empty_lines(&mut self.inbox);
            if self.empty_lines > MAX_EMPTY_LINES {
                return Err(HeadFault::EmptyLines);
            }
        }
        let Some(end) = request_framing::find_head_end(&self.inbox, self.searched) else {
            // The line end before an empty line may be the last one searched.
            self.searched = self.inbox.len().saturating_sub(2);
            self.connection.begin_receiving();
            return Ok(());
        };
        if end > HEAD_READ && !self.extend_share(end * HEAD_COPIES) {
            return Err(HeadFault::NoMemory);
        }
        match request_framing::scan_head(&mut self.inbox) {
            HeadScan::Partial => {}
            HeadScan::Complete(head) => self.begin_request(head),
            HeadScan::Invalid => {
                self.ready = self.inbox.len();
                self.part = RequestPart::Body(BodyEnd::Unknown);
            }
            HeadScan::AmbiguousBody => return Err(HeadFault::AmbiguousBody),
        }
        Ok(())
    }

    /// Counts the memory of a long head, and returns whether it fits.
    fn extend_share(&mut self, bytes: usize) -> bool {
        if !self.share.has_budget() {
            self.share = BudgetShare::new(self.connection.head_budget());
        }
        self.share.extend_to(bytes)
    }

    fn begin_request(&mut self, head: RequestHead) {
        self.ready = head.length;
        self.searched = 0;
        self.empty_lines = 0;
        self.head_due = None;
        self.is_answer_due = true;
        self.connection.set_continue_due(head.expects_continue);
        self.part = RequestPart::Body(head.body);
        self.end_body();
        if matches!(self.part, RequestPart::Body(_)) {
            self.connection.enter(ConnectionPhase::Receiving);
        }
    }

    /// Records bytes of the body that did not pass through the inbox.
    fn record_direct(&mut self, bytes: usize) {
        if let RequestPart::Body(BodyEnd::Length(left)) = &mut self.part {
            *left = left.saturating_sub(bytes as u64);
        }
        self.end_body();
    }
}

/// Why no more requests are read from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadFault {
    TooLong,
    TooLate,
    EmptyLines,
    NoMemory,
    AmbiguousBody,
    InvalidChunks,
}

impl HeadFault {
    /// Returns the answer to the caller.
    fn answer(self) -> &'static [u8] {
        match self {
            HeadFault::TooLong => HEAD_TOO_LONG,
            HeadFault::TooLate => HEAD_TOO_LATE,
            HeadFault::NoMemory => HEAD_WITHOUT_MEMORY,
            HeadFault::AmbiguousBody => AMBIGUOUS_BODY,
            // An answer of the handler may be under way.
            HeadFault::InvalidChunks => b"",
            HeadFault::EmptyLines => b"",
        }
    }
}

/// The connection of a caller, as the library reads and writes it.
pub(crate) struct CallerStream {
    socket: TcpStream,
    bounds: Arc<HeadBounds>,
    state: RefCell<InboundState>,
    turn: TurnBudget,
}

/// What the next read does.
enum ReadStep {
    /// Passes on bytes that are ready.
    Pass,
    /// Reads bytes of the body, of which at least as many are due as fit.
    Direct,
    /// Receives more bytes, at most this number.
    Receive(usize),
}

impl CallerStream {
    pub(crate) fn new(socket: TcpStream, bounds: Arc<HeadBounds>) -> CallerStream {
        CallerStream {
            socket,
            bounds,
            state: RefCell::new(InboundState::new()),
            turn: TurnBudget::default(),
        }
    }

    /// Returns what the next read does, once there is memory for it.
    async fn affordable_step(&self, spare: usize) -> Result<ReadStep, HeadFault> {
        for _ in 0..RELIEF_TURNS {
            match self.next_step(spare) {
                Err(HeadFault::NoMemory) => tokio::task::yield_now().await,
                step => return step,
            }
        }
        self.next_step(spare)
    }

    fn next_step(&self, spare: usize) -> Result<ReadStep, HeadFault> {
        let mut state = self.state.borrow_mut();
        if state.ready == 0 && matches!(state.part, RequestPart::Head) {
            state.end_answer();
        }
        if state.ready == 0 && !state.inbox.is_empty() {
            let was_due = state.is_answer_due;
            state.scan()?;
            if state.is_answer_due && !was_due {
                self.turn.spend_request();
            }
        }
        if state.ready > 0 {
            return Ok(ReadStep::Pass);
        }
        Ok(match &state.part {
            RequestPart::Head if state.inbox.len() >= self.bounds.bytes() => {
                return Err(HeadFault::TooLong);
            }
            RequestPart::Head if state.inbox.len() < HEAD_READ => ReadStep::Receive(HEAD_READ),
            RequestPart::Head => {
                let length = state.inbox.len();
                let most = match state.inbox.capacity() - length {
                    0 => length,
                    spare => spare,
                };
                if !state.extend_share(length + most) {
                    return Err(HeadFault::NoMemory);
                }
                ReadStep::Receive(most)
            }
            RequestPart::Body(BodyEnd::Length(left)) if *left < spare as u64 => {
                ReadStep::Receive(*left as usize)
            }
            RequestPart::Body(BodyEnd::Chunks(_)) => ReadStep::Receive(BODY_READ),
            RequestPart::Body(BodyEnd::Length(_) | BodyEnd::Unknown) => ReadStep::Direct,
        })
    }

    /// Receives bytes into the inbox; returns their number, 0 at the end of the stream.
    ///
    /// Only the free end of the inbox is lent to the read, so a read that is dropped loses
    /// no bytes that were received before.
    async fn receive(&self, most: usize) -> io::Result<usize> {
        let free_end = {
            let inbox = &mut self.state.borrow_mut().inbox;
            inbox.reserve(most);
            let length = inbox.len();
            inbox.split_off(length)
        };
        let (received, free_end) = self.turn.track(self.socket.read(free_end)).await;
        self.state.borrow_mut().inbox.unsplit(free_end);
        if let Ok(bytes) = received {
            self.record_received(bytes);
        }
        received
    }

    fn record_received(&self, bytes: usize) {
        self.turn.spend_bytes(bytes);
        let state = self.state.borrow();
        match state.part {
            RequestPart::Head => {}
            RequestPart::Body(_) => state.connection.record_moved(bytes),
        }
    }

    /// Receives bytes of a head. The time for it begins with its first byte.
    async fn receive_in_time(&self, most: usize) -> Result<io::Result<usize>, HeadFault> {
        let Some(due) = self.head_due() else {
            return Ok(self.receive(most).await);
        };
        let received = tokio::time::timeout_at(due, self.receive(most)).await;
        received.map_err(|_| HeadFault::TooLate)
    }

    /// Returns when the head must have arrived, if a part of it has.
    fn head_due(&self) -> Option<Instant> {
        let mut state = self.state.borrow_mut();
        let has_begun = matches!(state.part, RequestPart::Head) && !state.inbox.is_empty();
        let limit = self.bounds.time();
        has_begun.then(|| *state.head_due.get_or_insert_with(|| Instant::now() + limit))
    }

    /// Asks the caller for the body if it waits for that.
    async fn ask_for_body(&self) -> io::Result<()> {
        let connection = Rc::clone(&self.state.borrow().connection);
        if !connection.is_continue_due() {
            return Ok(());
        }
        connection.set_continue_due(false);
        let (written, _) = self.socket.write_all(CONTINUE).await;
        written
    }

    /// Refuses the next request of the connection, which is then closed.
    async fn refuse(&self, fault: HeadFault) -> io::Error {
        // The connection is closed whether or not the caller receives the answer.
        let _ = self.socket.write_all(fault.answer()).await;
        if fault == HeadFault::AmbiguousBody {
            self.drain().await;
        }
        io::Error::new(io::ErrorKind::InvalidData, format!("{fault:?}"))
    }

    /// Gives a caller whose body is not read to its end the time to read the answer.
    async fn linger(&self) {
        let is_unread = matches!(self.state.borrow().part, RequestPart::Body(_));
        if is_unread {
            self.drain().await;
        }
    }

    /// Reads and drops what the caller still sends, within bounds.
    async fn drain(&self) {
        let socket = SockRef::from(&self.socket);
        if socket.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drain = async {
            let mut drained = 0;
            let mut buffer = BytesMut::with_capacity(BODY_READ);
            while drained < LINGER_BYTES {
                buffer.clear();
                let (read, returned) = self.socket.read(buffer).await;
                buffer = returned;
                match read {
                    Ok(bytes @ 1..) => drained += bytes,
                    Ok(0) | Err(_) => return,
                }
            }
        };
        // The caller had its time, whether or not it has closed.
        let _ = tokio::time::timeout(LINGER_TIME, drain).await;
    }

    async fn read_step<B>(&self, mut buffer: B) -> (io::Result<Option<usize>>, B)
    where
        B: BoundedBufMut,
    {
        let spare = buffer.bytes_total() - buffer.bytes_init();
        let step = match self.affordable_step(spare).await {
            Ok(step) => step,
            Err(fault) => return (Err(self.refuse(fault).await), buffer),
        };
        if !matches!(step, ReadStep::Pass)
            && let Err(error) = self.ask_for_body().await
        {
            return (Err(error), buffer);
        }
        match step {
            ReadStep::Pass => {
                let passed = self.state.borrow_mut().pass(&mut buffer);
                (Ok(Some(passed)), buffer)
            }
            ReadStep::Direct => {
                let (read, buffer) = self.turn.track(self.socket.read(buffer)).await;
                if let Ok(bytes) = read {
                    self.record_received(bytes);
                    self.state.borrow_mut().record_direct(bytes);
                }
                (read.map(Some), buffer)
            }
            ReadStep::Receive(most) => match self.receive_in_time(most).await {
                Ok(Ok(0)) => (Ok(Some(0)), buffer),
                Ok(received) => (received.map(|_| None), buffer),
                Err(fault) => (Err(self.refuse(fault).await), buffer),
            },
        }
    }
}

impl AsyncBufRead for CallerStream {
    async fn read<B>(&self, mut buffer: B) -> (io::Result<usize>, B)
    where
        B: BoundedBufMut,
    {
        loop {
            self.turn.wait().await;
            let (read, returned) = self.read_step(buffer).await;
            buffer = returned;
            match read {
                Ok(None) => {}
                Ok(Some(bytes)) => return (Ok(bytes), buffer),
                Err(error) => return (Err(error), buffer),
            }
        }
    }
}

impl AsyncBufWrite for CallerStream {
    async fn write<B>(&self, buffer: B) -> (io::Result<usize>, B)
    where
        B: BoundedBuf,
    {
        // Nothing is written before the wait, so that no byte is lost if it is given up.
        self.turn.wait().await;
        let (written, buffer) = self.turn.track(self.socket.write(buffer)).await;
        if let Ok(bytes) = written {
            self.turn.spend_bytes(bytes);
            self.state.borrow().connection.record_moved(bytes);
        }
        (written, buffer)
    }

    async fn shutdown(self, direction: Shutdown) -> io::Result<()> {
        self.linger().await;
        self.socket.shutdown(direction).await
    }
}

/// Builds the library's service that wraps each accepted connection.
pub(crate) struct CallerStreamFactory(pub(crate) Arc<HeadBounds>);

impl Service for CallerStreamFactory {
    type Response = CallerStreamService;
    type Error = io::Error;

    async fn call(&self, (): ()) -> io::Result<CallerStreamService> {
        Ok(CallerStreamService(Arc::clone(&self.0)))
    }
}

/// Wraps each accepted connection.
pub(crate) struct CallerStreamService(Arc<HeadBounds>);

impl Service<TcpStream> for CallerStreamService {
    type Response = CallerStream;
    type Error = std::convert::Infallible;

    async fn call(&self, socket: TcpStream) -> Result<CallerStream, std::convert::Infallible> {
        Ok(CallerStream::new(socket, Arc::clone(&self.0)))
    }
}
