//! Tests of the limits on log lines.

use std::time::Duration;

use radishgauge_platform::items::ItemFault;
use radishgauge_sidecar::request_log::RequestLog;

/// Guards against as many lines as there are odd items in the store, from each daemon.
#[test]
fn lines_about_unreadable_items_are_limited() {
    let log = RequestLog::default();
    let fault = ItemFault {
        key: "servers/odd".into(),
        revision: 1,
        problem: "no text".to_owned(),
    };
    let written = |second: u64| {
        let now = Duration::from_secs(second);
        (0..1000).filter(|_| log.log_item(&fault, now)).count()
    };
    let lines: Vec<usize> = (0..10).map(written).collect();
    assert!(
        lines.iter().all(|count| (1..=4).contains(count)),
        "{lines:?}"
    );
}
