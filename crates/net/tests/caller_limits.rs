//! Limits on what the clients of a listener can make it hold.

mod common;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use radishgauge_net::AnswerBody;
use radishgauge_net::BodyBudget;
use radishgauge_net::BodyFault;
use radishgauge_net::BodyLimits;
use radishgauge_net::ByteBudget;
use radishgauge_net::CallerBudgets;
use radishgauge_net::CallerListener;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::ListenLimits;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MEGABYTE: usize = 1_000_000;

/// The budget of the tests, of which an eighth is kept for small bodies.
const BUDGET: usize = 8 * MEGABYTE;

/// How long a test waits for what must happen.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const LIMITS: BodyLimits = BodyLimits {
    bytes: 64 * MEGABYTE as u64,
    time: Duration::from_secs(60),
    stall: Duration::from_secs(1),
    idle: Duration::from_secs(60),
};

/// Returns budgets of which only the one for heads is limited.
fn budgets(heads: Arc<ByteBudget>) -> CallerBudgets {
    let unlimited = || Arc::new(ByteBudget::new(usize::MAX));
    CallerBudgets {
        heads,
        connections: unlimited(),
        answers: unlimited(),
    }
}

/// A listener that receives bodies within a budget and answers with their length.
struct Bounded {
    listener: CallerListener,
    budget: Arc<BodyBudget>,
    pool: Arc<ByteBudget>,
}

impl Bounded {
    fn start(limits: ListenLimits) -> Bounded {
        let pool = Arc::new(ByteBudget::new(BUDGET));
        let budget = Arc::new(BodyBudget::new(BUDGET, Arc::clone(&pool)));
        let shared = Arc::clone(&budget);
        let handler = move |mut request: HttpRequest| {
            let budget = Arc::clone(&shared);
            async move {
                let share = budget.share(request.remote.ip());
                let (status, text) = match request.body.pieces(LIMITS, share).await {
                    Ok(body) => {
                        let sum = body.pieces().iter().map(Bytes::len).sum::<usize>();
                        assert_eq!(sum, body.len());
                        (StatusCode::OK, body.len().to_string())
                    }
                    Err(BodyFault::NoMemory) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
                    Err(BodyFault::Late) => (StatusCode::REQUEST_TIMEOUT, String::new()),
                    Err(fault) => (StatusCode::BAD_REQUEST, fault.to_string()),
                };
                let mut answer = HttpAnswer::new(AnswerBody::whole(text));
                *answer.status_mut() = status;
                answer
            }
        };
        let limits = ListenLimits {
            threads: 1,
            ..limits
        };
        let listener = CallerListener::bind(common::loopback(), limits, handler).unwrap();
        Bounded {
            listener,
            budget,
            pool,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.listener.local_address())
            .await
            .unwrap()
    }

    /// Sends a head with a length and a part of the body.
    async fn post(&self, length: usize, sent: usize) -> TcpStream {
        let mut stream = self.connect().await;
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'b'; sent]).await.unwrap();
        stream
    }

    async fn wait_used(&self, least: usize) {
        let used = async {
            while self.budget.used() < least {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, used).await.unwrap();
    }

    async fn wait_unused(&self) {
        let released = async {
            while self.budget.used() + self.pool.used() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, released).await.unwrap();
    }
}

/// Returns the status and the body of an answer.
async fn answer(stream: &mut TcpStream) -> (u16, String) {
    let read = async {
        let mut text = Vec::new();
        loop {
            let read = stream.read_buf(&mut text).await.unwrap();
            let answer = String::from_utf8_lossy(&text).into_owned();
            if let Some((head, body)) = answer.split_once("\r\n\r\n") {
                let length = head
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length: "));
                let length = length.map_or(0, |length| length.parse().unwrap());
                if body.len() == length {
                    return (head[9..12].parse().unwrap(), body.to_owned());
                }
            }
            assert!(read > 0, "{answer}");
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, read).await.unwrap()
}

/// Guards against bodies that are cut, mixed up or left in the budget, in pieces of any
/// length.
#[tokio::test]
async fn bodies_are_complete_and_released() {
    let bounded = Bounded::start(ListenLimits::default());
    for length in [0, 1, 3_000, 4_096, 70_000, 6 * MEGABYTE] {
        let mut stream = bounded.post(length, length).await;
        assert_eq!(answer(&mut stream).await, (200, length.to_string()));
        bounded.wait_unused().await;
    }
    let mut stream = bounded.connect().await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    for length in [1, 5_000, 2, 20_000, 3_100, 1] {
        let chunk = format!("{length:x}\r\n{}\r\n", "c".repeat(length));
        stream.write_all(chunk.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    stream.write_all(b"0\r\n\r\n").await.unwrap();
    assert_eq!(answer(&mut stream).await, (200, "28104".to_owned()));
    bounded.wait_unused().await;
}

/// Guards against a body that is read although it cannot fit, and against large bodies
/// that leave no room for small ones.
#[tokio::test]
async fn what_does_not_fit_is_refused_before_it_is_read() {
    let bounded = Bounded::start(ListenLimits::default());
    let _holder = bounded.post(6 * MEGABYTE, 100_000).await;
    bounded.wait_used(6 * MEGABYTE).await;
    let mut refused = bounded.post(2 * MEGABYTE, 0).await;
    assert_eq!(answer(&mut refused).await.0, 503);
    for _ in 0..10 {
        let mut small = bounded.post(60_000, 60_000).await;
        assert_eq!(answer(&mut small).await, (200, "60000".to_owned()));
    }
}

/// Guards against a caller that does not learn of the refusal because it still sends.
#[tokio::test]
async fn refusal_reaches_a_caller_that_still_sends() {
    let bounded = Bounded::start(ListenLimits::default());
    let mut stream = bounded.post(9 * MEGABYTE, 500_000).await;
    assert_eq!(answer(&mut stream).await.0, 503);
}

/// Guards against one address that holds all memory, and against shares that are not
/// released.
#[test]
fn no_address_holds_the_whole_budget() {
    let pool = Arc::new(ByteBudget::new(usize::MAX));
    let budget = Arc::new(BodyBudget::new(BUDGET, pool));
    let address = |last| IpAddr::V4(Ipv4Addr::new(127, 0, 0, last));
    let mut shares = Vec::new();
    let mut hold = |last| {
        let mut share = budget.share(address(last));
        let fits = share.extend_to(50_000);
        shares.push(share);
        fits
    };
    let held = (0..1_000).take_while(|_| hold(1)).count();
    assert!(
        held * 50_000 > BUDGET * 9 / 10 && held * 50_000 < BUDGET,
        "{held}"
    );
    assert!(hold(2), "another address has room");
    assert_eq!(budget.refusals(), 1);
    shares.clear();
    assert_eq!(budget.used(), 0);
}

/// Guards against a body that stops and keeps its memory while others lack it, and against
/// one that loses it although nobody does.
#[tokio::test]
async fn stalled_body_loses_its_memory_when_others_lack_it() {
    let bounded = Bounded::start(ListenLimits::default());
    let mut stalled = bounded.post(6 * MEGABYTE, MEGABYTE).await;
    bounded.wait_used(6 * MEGABYTE).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(bounded.budget.used() >= 6 * MEGABYTE);
    let served = async {
        loop {
            let mut asking = bounded.post(3 * MEGABYTE, 3 * MEGABYTE).await;
            if answer(&mut asking).await.0 == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, served).await.unwrap();
    assert_eq!(answer(&mut stalled).await.0, 408);
}

/// Guards against bookkeeping that is many times as long as a body in tiny chunks.
#[tokio::test]
async fn tiny_chunks_are_merged() {
    const CHUNKS: usize = 200_000;
    let bounded = Bounded::start(ListenLimits::default());
    let mut stream = bounded.connect().await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let chunks = "1\r\nc\r\n".repeat(CHUNKS);
    stream.write_all(chunks.as_bytes()).await.unwrap();
    bounded.wait_used(CHUNKS).await;
    assert!(
        bounded.budget.used() < CHUNKS * 6 / 5,
        "{}",
        bounded.budget.used()
    );
    stream.write_all(b"0\r\n\r\n").await.unwrap();
    assert_eq!(answer(&mut stream).await, (200, CHUNKS.to_string()));
}

/// Guards against heads that are longer than the present bound or than the memory, and
/// against empty lines without end.
#[tokio::test]
async fn heads_are_bounded() {
    let bounded = Bounded::start(ListenLimits::default());
    let heads = bounded.listener.head_bounds().unwrap();
    let start = "GET / HTTP/1.1\r\nhost: a\r\nx: ";
    let long = format!("{start}{}\r\n\r\n", "x".repeat(20_000));
    let mut stream = bounded.connect().await;
    stream.write_all(long.as_bytes()).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 200);
    heads.set(10_000, Duration::from_millis(300));
    let mut stream = bounded.connect().await;
    stream.write_all(long.as_bytes()).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 431);
    let mut slow = bounded.connect().await;
    slow.write_all(start.as_bytes()).await.unwrap();
    assert_eq!(answer(&mut slow).await.0, 408);
    let registry = bounded.listener.registry();
    registry.set_budgets(budgets(Arc::new(ByteBudget::new(3_000))));
    let mut stream = bounded.connect().await;
    stream.write_all(&long.as_bytes()[..9_000]).await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 503);
    let mut lines = bounded.connect().await;
    let _ = lines.write_all("\r\n".repeat(100_000).as_bytes()).await;
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(WAIT_TIMEOUT, lines.read_to_end(&mut rest));
    assert!(closed.await.is_ok(), "the connection stays open");
    assert!(rest.is_empty());
}

/// Guards against connections without a limit, and against a limit that counts closed ones.
#[tokio::test]
async fn connections_are_bounded() {
    let limits = ListenLimits {
        connections: 3,
        // Bodies that are arriving do not give way.
        stall: Duration::from_secs(600),
        ..ListenLimits::default()
    };
    let bounded = Bounded::start(limits);
    let mut open = Vec::new();
    for number in 1..=3 {
        open.push(bounded.post(100_000, 50_000).await);
        bounded.wait_used(number * 100_000).await;
    }
    let mut refused = bounded.connect().await;
    let read = tokio::time::timeout(WAIT_TIMEOUT, refused.read_u8()).await;
    assert!(read.unwrap().is_err());
    open.pop();
    let served = async {
        loop {
            let mut stream = bounded.connect().await;
            let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
            if stream.write_all(request).await.is_ok() && stream.read_u8().await.is_ok() {
                return;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, served).await.unwrap();
}

/// Guards against a long answer that loses its length or its end when it is passed on in
/// parts.
#[tokio::test]
async fn long_answer_has_its_length() {
    let handler = |_| async { HttpAnswer::new(AnswerBody::whole(vec![b'a'; 5 * MEGABYTE])) };
    let limits = ListenLimits::default();
    let listener = CallerListener::bind(common::loopback(), limits, handler).unwrap();
    let mut stream = TcpStream::connect(listener.local_address()).await.unwrap();
    for _ in 0..2 {
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.unwrap();
        let (status, body) = answer(&mut stream).await;
        assert_eq!((status, body.len()), (200, 5 * MEGABYTE));
    }
}

/// Guards against large answers to callers that read nothing, for which small answers to
/// others fail.
#[tokio::test]
async fn small_answers_fit_beside_large_ones() {
    const LARGE: usize = 500_000;
    let handler = |request: HttpRequest| async move {
        let length = match request.head.uri.path() {
            "/large" => LARGE,
            _ => 10_000,
        };
        HttpAnswer::new(AnswerBody::whole(vec![b'a'; length]))
    };
    let limits = ListenLimits::default();
    let target = CallerListener::bind(common::loopback(), limits, handler).unwrap();
    let budget = Arc::new(ByteBudget::new(BUDGET / 2));
    let client = TargetClient::with_budget(
        target.local_address(),
        TargetLimits::default(),
        Arc::clone(&budget),
    );
    let get = async |path: &str| {
        let request = Request::get(path).header("host", "a");
        let request = request.body(TargetBody::whole("")).unwrap();
        let answer = client.send(request).await.unwrap();
        answer.into_body().whole(MEGABYTE).await
    };
    let mut held = Vec::new();
    while let Ok(answer) = get("/large").await {
        held.push(answer);
    }
    assert!(held.len() > 6 && held.len() < 8, "{}", held.len());
    for _ in 0..10 {
        held.push(get("/small").await.unwrap());
    }
    drop(held);
    assert_eq!(budget.used(), 0);
}

/// Guards against a head that arrives in single bytes and uses up the memory for heads.
#[tokio::test]
async fn head_in_single_bytes_uses_no_more_memory_than_its_length() {
    const BEGINNING: usize = 2_048;
    const SINGLE_BYTES: usize = 200;
    let bounded = Bounded::start(ListenLimits::default());
    let memory = Arc::new(ByteBudget::new(MEGABYTE));
    let registry = bounded.listener.registry();
    registry.set_budgets(budgets(Arc::clone(&memory)));
    let mut stream = bounded.connect().await;
    stream.set_nodelay(true).unwrap();
    let start = "GET / HTTP/1.1\r\nhost: a\r\nx: ";
    let beginning = format!("{start}{}", "x".repeat(BEGINNING - start.len()));
    stream.write_all(beginning.as_bytes()).await.unwrap();
    for _ in 0..SINGLE_BYTES {
        tokio::time::sleep(Duration::from_millis(2)).await;
        stream.write_all(b"x").await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let used = memory.used();
    let length = BEGINNING + SINGLE_BYTES;
    assert!((length..=2 * length).contains(&used), "{used}");
    stream.write_all(b"\r\n\r\n").await.unwrap();
    assert_eq!(answer(&mut stream).await.0, 200);
    // The memory is released when the daemon awaits the next request.
    let released = async {
        while memory.used() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, released).await.unwrap();
}
