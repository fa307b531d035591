//! Connects the listener for callers to the entry daemon's call path.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use http::Response;
use http::StatusCode;
use radishgauge_net::exchange::AnswerBody as HttpAnswerBody;
use radishgauge_net::exchange::BodyFault as HttpBodyFault;
use radishgauge_net::exchange::BoxError;
use radishgauge_net::exchange::HttpAnswer;
use radishgauge_net::exchange::HttpBody;
use radishgauge_net::exchange::HttpRequest;
use tokio::sync::mpsc;

use crate::answer::CallAnswer;
use crate::body::AnswerBody;
use crate::body::BUFFERED_BYTES;
use crate::body::BodyFault;
use crate::body::BodyStream;
use crate::body::RequestBody;
use crate::entry;
use crate::entry::EntryRequest;
use crate::events;
use crate::node::DaemonNode;

/// The number of pieces of a long body that are queued between the listener's
/// thread and the session; a full queue slows the caller down.
const BODY_QUEUE: usize = 4;

/// Answers the requests of callers.
#[derive(Clone)]
pub struct CallerHandler {
    /// The shared state of the daemon.
    pub node: Arc<DaemonNode>,
}

impl CallerHandler {
    /// Answers one request. Dropping the future cancels the call.
    pub async fn answer(self, request: HttpRequest) -> HttpAnswer {
        let HttpRequest { head, mut body, .. } = request;
        let read_body = match read_start(&mut body).await {
            Ok(read_body) => read_body,
            Err(fault) => return rejected(&fault),
        };
        let (body, rest) = match read_body {
            ReadBody::Whole(bytes) => (RequestBody::whole(bytes), None),
            ReadBody::Start(pieces) => {
                // The listener's body must stay on its thread; its pieces are
                // passed on through a short queue during the call.
                let (sender, receiver) = mpsc::channel(BODY_QUEUE);
                let first = futures_util::stream::iter(pieces.into_iter().map(Ok));
                let stream: BodyStream = first.chain(receiver_stream(receiver)).boxed();
                match RequestBody::read(stream).await {
                    Ok(start) => (start, Some((body, sender))),
                    Err(fault) => return rejected(&HttpBodyFault::Cut(fault.to_string())),
                }
            }
        };
        let call = entry::answer_request(&self.node, EntryRequest { head, body });
        let answer = match rest {
            None => call.await,
            Some((body, sender)) => answer_with_body(call, body, sender).await,
        };
        http_answer(answer)
    }
}

enum ReadBody {
    Whole(Bytes),
    Start(Vec<Bytes>),
}

async fn read_start(body: &mut HttpBody) -> Result<ReadBody, HttpBodyFault> {
    let mut pieces = Vec::new();
    let mut length = 0;
    while let Some(piece) = body.data().await? {
        length += piece.len();
        pieces.push(piece);
        if length >= BUFFERED_BYTES {
            return Ok(ReadBody::Start(pieces));
        }
    }
    match <[Bytes; 1]>::try_from(pieces) {
        Ok([single]) => Ok(ReadBody::Whole(single)),
        Err(pieces) => Ok(ReadBody::Whole(pieces.concat().into())),
    }
}

fn receiver_stream(
    receiver: mpsc::Receiver<Result<Bytes, BodyFault>>,
) -> impl futures_util::Stream<Item = Result<Bytes, BodyFault>> {
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        let piece = receiver.recv().await?;
        Some((piece, receiver))
    })
}

/// Passes the rest of the body on during the call. The answer may arrive before
/// the whole body has been read.
async fn answer_with_body<F>(
    call: F,
    mut body: HttpBody,
    sender: mpsc::Sender<Result<Bytes, BodyFault>>,
) -> CallAnswer
where
    F: Future<Output = CallAnswer>,
{
    let feed = async {
        loop {
            let piece = match body.data().await {
                Ok(Some(piece)) => Ok(piece),
                Ok(None) => break,
                Err(fault) => Err(BodyFault(fault.to_string())),
            };
            let ends = piece.is_err();
            if sender.send(piece).await.is_err() || ends {
                break;
            }
        }
        // The receiver sees the end of the body only once the sender is dropped.
        drop(sender);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        answer = call => answer,
        () = feed => unreachable!("the feed never completes"),
    }
}

fn http_answer(answer: CallAnswer) -> HttpAnswer {
    let (response, body) = entry::response(answer);
    let body = match body {
        AnswerBody::Whole(bytes) => HttpAnswerBody::whole(bytes),
        AnswerBody::Stream(pieces) => {
            HttpAnswerBody::stream(pieces.map(|piece| piece.map_err(BoxError::from)))
        }
    };
    response.map(|()| body)
}

fn rejected(fault: &HttpBodyFault) -> HttpAnswer {
    events::REQUEST_REJECTED.emit(format_args!("reason={:?}", fault.to_string()));
    let mut response = Response::new(HttpAnswerBody::whole(format!("{fault}\n")));
    *response.status_mut() = match fault {
        HttpBodyFault::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        HttpBodyFault::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        HttpBodyFault::Late => StatusCode::REQUEST_TIMEOUT,
        HttpBodyFault::Cut(_) => StatusCode::BAD_REQUEST,
    };
    let verdict = http::HeaderValue::from_static("not-run");
    response
        .headers_mut()
        .insert(crate::headers::VERDICT, verdict);
    response
}
