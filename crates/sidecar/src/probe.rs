//! Health checks of the target of this host.
//!
//! A check tells whether the target is cold, which decides what it bears. It is
//! asked regularly, and at once when the target may have started again. A
//! target that accepts no connections is asked until it does.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::header;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetFault;
use radishgauge_platform::message;
use radishgauge_platform::message::HealthReport;

use crate::node::SidecarNode;

/// How often a target is asked without a reason. Checks take a slot for some
/// milliseconds and are paid for.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// How often a target that is down is asked.
const DOWN_INTERVAL: Duration = Duration::from_millis(250);

/// The least time between two checks.
const LEAST_INTERVAL: Duration = Duration::from_millis(100);

/// How long a check may take; a busy target answers within a request's time.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// Checks in a row without an answer after which a target is taken for down.
const SILENT_CHECKS: u32 = 2;

/// The greatest answer to a check, in bytes.
const GREATEST_ANSWER: usize = 64 * 1024;

/// How a check ended.
enum CheckOutcome {
    /// The target answered.
    Answered(HealthReport),
    /// It accepts no connections.
    Refused(String),
    /// It did not answer; a full target may do so too.
    Silent,
}

/// Asks the target again and again; ends never.
pub async fn run(node: Arc<SidecarNode>) {
    let mut silent = 0;
    loop {
        let Some(policy) = node.owner.policy() else {
            tokio::time::sleep(LEAST_INTERVAL).await;
            continue;
        };
        let client = node.owner.client();
        let losses = client.connection_losses();
        match check(&client, &policy.health_path).await {
            CheckOutcome::Answered(word) => {
                silent = 0;
                let target = word.target.as_deref();
                node.owner.record_up(target, word.cold_left, losses);
            }
            CheckOutcome::Refused(error) => node.owner.record_down(&error),
            CheckOutcome::Silent => {
                silent += 1;
                if silent >= SILENT_CHECKS {
                    node.owner.record_down("no answer to health checks");
                }
            }
        }
        let wait = if node.owner.is_down() || silent > 0 {
            DOWN_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        tokio::time::sleep(LEAST_INTERVAL).await;
        // Asked or due: both lead to the next check.
        let _ = tokio::time::timeout(wait, asked(&node)).await;
    }
}

async fn asked(node: &SidecarNode) {
    if node.owner.is_down() {
        std::future::pending::<()>().await;
    }
    node.owner.check.notified().await;
}

async fn check(client: &TargetClient, path: &str) -> CheckOutcome {
    let request = Request::get(path)
        .header(header::HOST, client.address().to_string())
        .body(TargetBody::whole(Vec::new()));
    let Ok(request) = request else {
        return CheckOutcome::Silent;
    };
    let exchange = async {
        let answer = client.send(request).await?;
        let (head, mut body) = answer.into_parts();
        body.whole(GREATEST_ANSWER).await?;
        Ok::<_, radishgauge_net::TargetError>(message::read_health_report(&head.headers))
    };
    match tokio::time::timeout(CHECK_TIMEOUT, exchange).await {
        Ok(Ok(word)) if word.target.is_some() => CheckOutcome::Answered(word),
        Ok(Err(error)) => match error.fault {
            TargetFault::Connect(reason) => CheckOutcome::Refused(reason),
            _ => CheckOutcome::Silent,
        },
        Ok(Ok(_)) | Err(_) => CheckOutcome::Silent,
    }
}
