//! Which connections of callers give way, and how they take turns.

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use http::Request;
use radishgauge_net::AnswerBody;
use radishgauge_net::ByteBudget;
use radishgauge_net::CallerBudgets;
use radishgauge_net::CallerListener;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::ListenLimits;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetLimits;
use radishgauge_net::caller_registry::CONNECTION_BYTES;
use radishgauge_net::caller_registry::REQUEST_BYTES;
use radishgauge_net::connection_table::CloseReason;
use radishgauge_net::connection_table::ClosingConnection;
use radishgauge_net::connection_table::ConnectionPhase;
use radishgauge_net::connection_table::ConnectionTable;
use radishgauge_net::connection_table::TableLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// How long a test waits for what must happen.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The length of an answer that does not fit into the sockets' buffers many times.
const LONG_ANSWER: usize = 250_000;

const LIMITS: TableLimits = TableLimits {
    places: 4,
    stall: Duration::from_secs(1),
    least_rate: 1_000,
};

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a new connection that takes the place of a caller at work, while others
/// only wait.
#[test]
fn silent_and_idle_connections_give_way_first() {
    let mut table = ConnectionTable::new(LIMITS);
    let working = table.open(s(0)).unwrap();
    let idle = table.open(s(0)).unwrap();
    let silent = table.open(s(2)).unwrap();
    let newer = table.open(s(3)).unwrap();
    assert_eq!(table.open(s(4)), None);
    table.enter(working, ConnectionPhase::Serving, s(0));
    table.enter(idle, ConnectionPhase::Idle, s(1));
    let mut victims = Vec::new();
    while let Some(ClosingConnection { key, reason }) = table.place_victim(s(100)) {
        table.close(key);
        victims.push((key, reason));
    }
    let expected = [
        (silent, CloseReason::Silent),
        (newer, CloseReason::Silent),
        (idle, CloseReason::Idle),
    ];
    assert_eq!(victims, expected);
    assert_eq!(table.len(), 1);
}

/// Guards against a transfer that stops shortly before its end and keeps its place because
/// it was fast before, and against one of a byte now and then.
#[test]
fn late_callers_give_way() {
    let mut table = ConnectionTable::new(LIMITS);
    let stopped = table.open(s(0)).unwrap();
    table.enter(stopped, ConnectionPhase::Receiving, s(0));
    table.record_moved(stopped, 1_000_000, s(1));
    assert_eq!(table.place_victim(s(2)), None);
    let closing = table.place_victim(s(3)).unwrap();
    assert_eq!(
        (closing.key, closing.reason),
        (stopped, CloseReason::SlowSender)
    );
    table.close(stopped);
    let dripping = table.open(s(0)).unwrap();
    table.enter(dripping, ConnectionPhase::Answering, s(0));
    let steady = table.open(s(0)).unwrap();
    table.enter(steady, ConnectionPhase::Answering, s(0));
    for second in 1..=10 {
        table.record_moved(dripping, 1, s(second));
        table.record_moved(steady, 1_000, s(second));
    }
    let closing = table.place_victim(s(10)).unwrap();
    assert_eq!(
        (closing.key, closing.reason),
        (dripping, CloseReason::SlowReader)
    );
    table.close(dripping);
    assert_eq!(table.place_victim(s(10)), None);
}

/// Guards against callers that lose their connections although there is memory, and against
/// late ones that keep them when there is none.
#[test]
fn less_lateness_is_allowed_with_less_memory() {
    let mut table = ConnectionTable::new(LIMITS);
    let reader = table.open(s(0)).unwrap();
    table.enter(reader, ConnectionPhase::Answering, s(0));
    let now = Duration::from_millis(300);
    assert_eq!(table.memory_victim(0.5, now), None);
    assert!(table.memory_victim(0.2, now).is_some());
    table.enter(reader, ConnectionPhase::Serving, s(0));
    assert_eq!(table.memory_victim(0.0, s(100)), None);
}

/// Guards against connections that are kept for longer than allowed, and against a request
/// that is cut off by this.
#[test]
fn only_connections_without_a_request_expire() {
    let mut table = ConnectionTable::new(LIMITS);
    let silent = table.open(s(0)).unwrap();
    let idle = table.open(s(0)).unwrap();
    let fresh = table.open(s(20)).unwrap();
    let receiving = table.open(s(0)).unwrap();
    table.enter(idle, ConnectionPhase::Idle, s(5));
    table.enter(receiving, ConnectionPhase::Receiving, s(0));
    let expired = table.expired(s(15), s(21));
    let keys: Vec<_> = expired.iter().map(|closing| closing.key).collect();
    assert_eq!(keys, [silent, idle]);
    assert!(!keys.contains(&fresh));
}

/// Reads an answer, and returns its status and the length of its body; `None` if the
/// connection ended before.
async fn answer(stream: &mut TcpStream) -> Option<(u16, usize)> {
    let read = async {
        let mut text = Vec::new();
        loop {
            let read = stream.read_buf(&mut text).await.unwrap_or_default();
            let answer = String::from_utf8_lossy(&text);
            if let Some((head, body)) = answer.split_once("\r\n\r\n") {
                let mut lines = head.lines();
                let length = lines.find_map(|line| line.strip_prefix("content-length: "));
                let length = length.map_or(0, |length| length.parse().unwrap());
                if body.len() == length {
                    return Some((head[9..12].parse().unwrap(), length));
                }
            }
            if read == 0 {
                return None;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, read).await.unwrap()
}

async fn get(stream: &mut TcpStream) -> Option<(u16, usize)> {
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.ok()?;
    answer(stream).await
}

fn limits(connections: usize) -> ListenLimits {
    ListenLimits {
        threads: 1,
        connections,
        ..ListenLimits::default()
    }
}

fn listen(connections: usize) -> CallerListener {
    let handler = |_: HttpRequest| async { HttpAnswer::new(AnswerBody::whole("short")) };
    CallerListener::bind(common::loopback(), limits(connections), handler).unwrap()
}

async fn connect(listener: &CallerListener) -> TcpStream {
    TcpStream::connect(listener.local_address()).await.unwrap()
}

/// Guards against silent connections that keep all callers out.
#[tokio::test]
async fn silent_connections_make_room() {
    let listener = listen(3);
    let mut kept = connect(&listener).await;
    assert_eq!(get(&mut kept).await, Some((200, 5)));
    let mut silent = Vec::new();
    for _ in 0..10 {
        silent.push(connect(&listener).await);
    }
    let mut caller = connect(&listener).await;
    assert_eq!(get(&mut caller).await, Some((200, 5)));
    // The connection that has served a request has kept its place.
    assert_eq!(get(&mut kept).await, Some((200, 5)));
    let counts = listener.registry().closed_counts();
    assert!(counts.of(CloseReason::Silent) >= 8, "{counts:?}");
    assert_eq!(counts.of(CloseReason::Idle) + counts.refused, 0);
}

/// Guards against kept connections that keep new callers out.
#[tokio::test]
async fn longest_idle_connection_makes_room() {
    let listener = listen(3);
    let mut kept = Vec::new();
    for _ in 0..3 {
        let mut stream = connect(&listener).await;
        assert_eq!(get(&mut stream).await, Some((200, 5)));
        kept.push(stream);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut caller = connect(&listener).await;
    assert_eq!(get(&mut caller).await, Some((200, 5)));
    assert_eq!(get(&mut kept[0]).await, None);
    assert_eq!(get(&mut kept[2]).await, Some((200, 5)));
}

/// Guards against connections that outlast the time that the configuration allows.
#[tokio::test]
async fn idle_connections_are_closed_in_time() {
    let listener = listen(3);
    let mut kept = connect(&listener).await;
    assert_eq!(get(&mut kept).await, Some((200, 5)));
    listener.registry().close_idle(s(60));
    assert_eq!(get(&mut kept).await, Some((200, 5)));
    tokio::time::sleep(Duration::from_millis(50)).await;
    listener.registry().close_idle(Duration::from_millis(10));
    let ended = tokio::time::timeout(WAIT_TIMEOUT, kept.read_u8()).await;
    assert!(ended.unwrap().is_err());
}

/// Guards against a caller that sends without waiting and keeps the thread.
#[tokio::test(flavor = "multi_thread")]
async fn callers_take_turns() {
    const REQUESTS: usize = 2_000;
    const MOST_BEFORE_ANOTHER: usize = 200;
    let (release, held) = mpsc::channel::<()>();
    let held = Arc::new(Mutex::new(held));
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    let handler = move |request: HttpRequest| {
        let (held, count) = (Arc::clone(&held), Arc::clone(&counted));
        async move {
            match request.head.uri.path() {
                // The thread is held until all other requests have been sent.
                "/first" => held.lock().unwrap().recv().unwrap(),
                "/many" => {
                    count.fetch_add(1, Ordering::Relaxed);
                }
                _ => {}
            }
            let before = count.load(Ordering::Relaxed);
            HttpAnswer::new(AnswerBody::whole("x".repeat(before)))
        }
    };
    let listener = CallerListener::bind(common::loopback(), limits(10), handler).unwrap();
    let mut rude = connect(&listener).await;
    let mut ordinary = connect(&listener).await;
    assert_eq!(get(&mut ordinary).await, Some((200, 0)));
    let first = "GET /first HTTP/1.1\r\nhost: a\r\n\r\n";
    rude.write_all(first.as_bytes()).await.unwrap();
    let many = "GET /many HTTP/1.1\r\nhost: a\r\n\r\n".repeat(REQUESTS);
    rude.write_all(many.as_bytes()).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    ordinary.write_all(request).await.unwrap();
    // The answers are read, so that the rude caller always has more to do.
    let (mut answers, _sender) = rude.into_split();
    tokio::spawn(async move {
        let mut bytes = vec![0; 64 * 1024];
        while matches!(answers.read(&mut bytes).await, Ok(1..)) {}
    });
    release.send(()).unwrap();
    let (_, before) = answer(&mut ordinary).await.unwrap();
    assert!(before < MOST_BEFORE_ANOTHER, "{before} requests came first");
}

/// Guards against answers whose memory callers hold by not reading, so that those of others
/// fail.
#[tokio::test]
async fn slow_readers_give_way_when_memory_is_short() {
    let answers = ByteBudget::new(10 * LONG_ANSWER);
    serves_beside_slow_readers(answers).await;
}

/// Guards against the same when others use the memory that answers may use.
#[tokio::test]
async fn slow_readers_give_way_when_the_pool_is_short() {
    let pool = Arc::new(ByteBudget::new(6 * LONG_ANSWER));
    let answers = ByteBudget::within(pool, 100 * LONG_ANSWER);
    serves_beside_slow_readers(answers).await;
}

/// Checks that callers get their long answers while others do not read theirs.
async fn serves_beside_slow_readers(answers: ByteBudget) {
    let answers = Arc::new(answers);
    let target = {
        let handler =
            |_: HttpRequest| async { HttpAnswer::new(AnswerBody::whole(vec![b'a'; LONG_ANSWER])) };
        CallerListener::bind(common::loopback(), limits(100), handler).unwrap()
    };
    let client = TargetClient::with_budget(
        target.local_address(),
        TargetLimits::default(),
        Arc::clone(&answers),
    );
    let handler = move |_: HttpRequest| {
        let client = client.clone();
        async move {
            let request = Request::get("/").header("host", "a");
            let request = request.body(TargetBody::whole("")).unwrap();
            let answer = client.send(request).await.unwrap();
            match answer.into_body().whole(LONG_ANSWER).await {
                Ok(body) => HttpAnswer::new(AnswerBody::whole(body)),
                Err(_) => HttpAnswer::new(AnswerBody::whole("no memory")),
            }
        }
    };
    let listener = CallerListener::bind(common::loopback(), limits(100), handler).unwrap();
    listener.registry().set_budgets(CallerBudgets {
        heads: Arc::new(ByteBudget::new(usize::MAX)),
        connections: Arc::new(ByteBudget::new(100 * (CONNECTION_BYTES + REQUEST_BYTES))),
        answers,
    });
    let mut unread = Vec::new();
    for _ in 0..40 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        let mut stream = socket.connect(listener.local_address()).await.unwrap();
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.unwrap();
        unread.push(stream);
        let mut caller = connect(&listener).await;
        assert_eq!(get(&mut caller).await, Some((200, LONG_ANSWER)));
    }
    let counts = listener.registry().closed_counts();
    assert_eq!(counts.refused, 0, "{counts:?}");
}
