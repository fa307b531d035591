//! Measures the requests a second and the time of ordinary requests at a listener.
//!
//! `cargo run --release -p radishgauge-net --example caller_load -- [answer bytes]`
//!
//! Everything runs in this process on loopback: a listener with one thread, whose handler
//! answers at once, and callers on another thread, each of which sends its next request when
//! it has read the answer. To compare two versions, run the example of each in turn.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use hdrhistogram::Histogram;
use radishgauge_net::AnswerBody;
use radishgauge_net::CallerListener;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::ListenLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// The numbers of callers at the same time.
const CALLERS: [usize; 3] = [1, 32, 300];
/// How long each number of callers is measured.
const MEASURED: Duration = Duration::from_secs(3);
/// How long callers send before that.
const WARM_UP: Duration = Duration::from_millis(500);
/// The length of an answer in bytes if none is given.
const ANSWER_BYTES: usize = 1_000;
/// The request of each caller.
const REQUEST: &[u8] =
    b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nx-request-id: 9c41d07be2a35f68\r\n\r\n";

/// The times of the requests of all callers, in microseconds.
type Times = Histogram<u64>;

fn main() -> anyhow::Result<()> {
    let bytes = match std::env::args().nth(1) {
        Some(text) => text.parse().context("the answer bytes are a number")?,
        None => ANSWER_BYTES,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let body = Bytes::from(vec![b'a'; bytes]);
    let handler = move |_: HttpRequest| {
        let body = body.clone();
        async move { HttpAnswer::new(AnswerBody::whole(body)) }
    };
    let limits = ListenLimits {
        threads: 1,
        ..ListenLimits::default()
    };
    let listener = CallerListener::bind(([127, 0, 0, 1], 0).into(), limits, handler)?;
    println!("callers  requests/s  median us  99th percentile us  (answers of {bytes} bytes)");
    for callers in CALLERS {
        let address = listener.local_address();
        let times = LocalSet::new().block_on(&runtime, measure(address, callers))?;
        println!(
            "{callers:7}  {:10.0}  {:9}  {:18}",
            times.len() as f64 / MEASURED.as_secs_f64(),
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
        );
    }
    Ok(())
}

/// Returns the times of the requests of this many callers.
async fn measure(address: SocketAddr, callers: usize) -> anyhow::Result<Times> {
    let begin = Instant::now() + WARM_UP;
    let tasks: Vec<_> = (0..callers)
        .map(|_| tokio::task::spawn_local(call_repeatedly(address, begin)))
        .collect();
    let mut all = new_times()?;
    for task in tasks {
        all.add(&*task.await??)?;
    }
    Ok(all)
}

async fn call_repeatedly(address: SocketAddr, begin: Instant) -> anyhow::Result<Rc<Times>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut times = new_times()?;
    let mut buffer = Vec::new();
    while begin.elapsed() < MEASURED {
        let sent = Instant::now();
        stream.write_all(REQUEST).await?;
        read_answer(&mut stream, &mut buffer).await?;
        if sent >= begin {
            times.record(sent.elapsed().as_micros() as u64)?;
        }
    }
    Ok(Rc::new(times))
}

/// Reads one answer, whose length must be declared.
async fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> anyhow::Result<()> {
    const LENGTH: &str = "content-length: ";
    buffer.clear();
    let mut whole = None;
    while whole.is_none_or(|length| buffer.len() < length) {
        let read = stream.read_buf(buffer).await?;
        anyhow::ensure!(read > 0, "the connection ended");
        if whole.is_none()
            && let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")
        {
            let head = std::str::from_utf8(&buffer[..end])?;
            let length = head.lines().find_map(|line| line.strip_prefix(LENGTH));
            let length: usize = length.context("no length")?.parse()?;
            whole = Some(end + 4 + length);
        }
    }
    Ok(())
}

fn new_times() -> anyhow::Result<Times> {
    Ok(Histogram::new(3)?)
}
