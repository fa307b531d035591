//! The connection of a request that is refused before its body is read.
//!
//! The HTTP library closes a connection on which a body was not read to its end, without
//! telling the caller. A caller that sends its next request there in the meantime cannot
//! know whether it has run.

use std::time::Duration;

use http::HeaderValue;
use http::header;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpBody;

/// The greatest length in bytes of a body that is read and dropped.
const MAX_SKIPPED_BYTES: usize = 16 * 1024;

/// How long such a body may take to arrive. Most of them arrive with the head, and a
/// refusal is not delayed for others.
const SKIP_TIMEOUT: Duration = Duration::from_millis(10);

/// Makes the caller open its next connection at another daemon.
pub(crate) fn close_connection(answer: &mut HttpAnswer) {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
}

/// Reads and drops the body of a refused request if it is short, and otherwise tells the
/// caller in the answer that the connection is closed.
pub(crate) async fn skip(body: &mut HttpBody, answer: &mut HttpAnswer) {
    if answer.headers().contains_key(header::CONNECTION) {
        return;
    }
    let is_long = body
        .declared_length()
        .is_some_and(|length| length > MAX_SKIPPED_BYTES as u64);
    // Reading the body would ask a caller that waits for that to send it.
    let is_skipped = !is_long
        && !body.awaits_continue()
        && matches!(
            tokio::time::timeout(SKIP_TIMEOUT, drop_data(body)).await,
            Ok(true)
        );
    if !is_skipped {
        close_connection(answer);
    }
}

/// Returns whether the body is complete and not too long.
async fn drop_data(body: &mut HttpBody) -> bool {
    let mut skipped = 0;
    loop {
        match body.data().await {
            Ok(Some(data)) => skipped += data.len(),
            Ok(None) => return true,
            Err(_) => return false,
        }
        if skipped > MAX_SKIPPED_BYTES {
            return false;
        }
    }
}
