//! Health checks of this host's target.
//!
//! A check returns whether the target is cold, which determines the admitted
//! request rate. It runs at an interval, and at once when the target may have
//! restarted. A target that accepts no connections is checked at a shorter
//! interval until it does.

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

/// The interval of regular checks. Each check occupies a slot of the target for
/// several milliseconds and costs money.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The longest interval of regular checks, at a target that declares a low rate
/// limit.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(4);

/// The interval of checks while the target is down.
const DOWN_INTERVAL: Duration = Duration::from_millis(250);

/// The least time between two checks.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// How long a check may take; a busy target needs about as long for it as for a
/// request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// The number of consecutive checks without an answer after which a target is
/// treated as down.
const MAX_SILENT_CHECKS: u32 = 2;

/// The greatest length in bytes of the body of a target's answer to a check.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The result of a check.
enum CheckOutcome {
    /// The target answered.
    Answered(HealthReport),
    /// The target accepts no connections.
    Refused(String),
    /// The target accepted a connection and did not answer, which can also
    /// happen when it is fully occupied.
    Silent,
}

/// Checks the target repeatedly. Never returns.
pub async fn run(node: Arc<SidecarNode>) {
    let mut silent_checks = 0;
    loop {
        let Some(policy) = node.owner.policy() else {
            // The first configuration requests a check.
            node.owner.check_requested.notified().await;
            continue;
        };
        let client = node.owner.client();
        let connection_losses = client.connection_losses();
        let sent = node.now();
        let limited_interval = node.owner.record_check();
        match check(&client, &policy.health_path).await {
            CheckOutcome::Answered(report) => {
                silent_checks = 0;
                node.owner.record_up(&report, sent, connection_losses);
            }
            CheckOutcome::Refused(error) => node.owner.record_down(&error),
            CheckOutcome::Silent => {
                silent_checks += 1;
                if silent_checks >= MAX_SILENT_CHECKS {
                    node.owner.record_down("no answer to health checks");
                }
            }
        }
        node.owner.finish_check();
        let wait = if node.owner.is_down() || silent_checks > 0 {
            DOWN_INTERVAL
        } else {
            limited_interval.clamp(CHECK_INTERVAL, MAX_CHECK_INTERVAL)
        };
        tokio::time::sleep(MIN_INTERVAL).await;
        // The wait ends when a check is requested or due; both lead to the next
        // check.
        let _ = tokio::time::timeout(wait, wait_for_check_request(&node)).await;
    }
}

async fn wait_for_check_request(node: &SidecarNode) {
    if node.owner.is_down() {
        std::future::pending::<()>().await;
    }
    node.owner.check_requested.notified().await;
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
        body.whole(MAX_ANSWER_BYTES).await?;
        Ok::<_, radishgauge_net::TargetError>(message::read_health_report(
            head.status,
            &head.headers,
        ))
    };
    match tokio::time::timeout(CHECK_TIMEOUT, exchange).await {
        Ok(Ok(report)) if report.target.is_some() => CheckOutcome::Answered(report),
        Ok(Err(error)) => match error.fault {
            TargetFault::Connect(reason) => CheckOutcome::Refused(reason),
            _ => CheckOutcome::Silent,
        },
        Ok(Ok(_)) | Err(_) => CheckOutcome::Silent,
    }
}
