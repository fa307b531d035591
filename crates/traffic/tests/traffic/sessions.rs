//! Tests of unresponsive sessions, paused daemons and stale configurations.

use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::SessionProbe;
use radishgauge_traffic::StalenessGuard;
use radishgauge_traffic::session::ProbeAction;
use radishgauge_traffic::session::is_idle;
use radishgauge_traffic::staleness::StalenessDecision;

use crate::fleet::ms;

/// Guards against calls that wait on a session which no longer transmits bytes.
#[test]
fn unresponsive_session_is_detected_within_two_seconds() {
    let mut probe = SessionProbe::new(ms(0));
    probe.received(ms(10_000));
    probe.call_sent(ms(20_000));
    assert_eq!(probe.tick(ms(20_000)), ProbeAction::Wait(Some(ms(21_000))));
    assert_eq!(probe.tick(ms(21_000)), ProbeAction::Ping);
    // New calls on the unresponsive session don't postpone the timeout.
    probe.call_sent(ms(21_500));
    assert_eq!(probe.tick(ms(21_500)), ProbeAction::Wait(Some(ms(22_000))));
    assert_eq!(probe.tick(ms(22_000)), ProbeAction::Silent);
}

/// Guards against pings on a session without waiting calls, and against more
/// than one ping per second.
#[test]
fn pings_are_sent_only_while_calls_wait() {
    let mut probe = SessionProbe::new(ms(0));
    assert_eq!(probe.tick(ms(60_000)), ProbeAction::Wait(None));
    probe.call_sent(ms(60_000));
    let mut pings = 0;
    for now in (60_000..70_000).step_by(100) {
        match probe.tick(ms(now)) {
            ProbeAction::Ping => {
                pings += 1;
                probe.received(ms(now + 5));
            }
            ProbeAction::Wait(_) => {}
            ProbeAction::Silent => panic!("a responsive session was reported as unresponsive"),
        }
    }
    assert!((8..=10).contains(&pings), "{pings} pings in 10 s");
    probe.call_ended();
    assert_eq!(probe.tick(ms(70_000)), ProbeAction::Wait(None));
}

/// Guards against a session that is closed after a pause of this process, when
/// the peer's reply may have arrived unread during the pause.
#[test]
fn process_pause_extends_the_ping_timeout() {
    let mut probe = SessionProbe::new(ms(0));
    probe.call_sent(ms(0));
    assert_eq!(probe.tick(ms(1000)), ProbeAction::Ping);
    assert_eq!(probe.tick(ms(9000)), ProbeAction::Wait(Some(ms(10_000))));
    assert_eq!(probe.tick(ms(10_000)), ProbeAction::Silent);
}

/// Guards against the loss of a request that must not be repeated, when it is
/// sent on a session or connection that died while it was idle.
#[test]
fn idle_sessions_are_checked_before_use() {
    let mut probe = SessionProbe::new(ms(0));
    assert!(!probe.needs_ping(false, ms(4999)));
    assert!(probe.needs_ping(false, ms(5000)));
    assert!(!probe.needs_ping(true, ms(5000)));
    probe.received(ms(5001));
    assert!(!probe.needs_ping(false, ms(5002)));
    assert!(is_idle(ms(0), ms(5000)));
    assert!(!is_idle(ms(0), ms(4999)));
}

/// Guards invariant I5: a daemon that was paused holds new calls, and refuses
/// them when its configuration is not confirmed in time.
#[test]
fn stale_configuration_holds_then_refuses_calls() {
    let guard = StalenessGuard::new(ms(2000), ms(0));
    assert_eq!(guard.check(ms(2000), ms(2000)), StalenessDecision::Proceed);
    let hold_decision = StalenessDecision::Hold { until: ms(9500) };
    assert_eq!(guard.check(ms(9000), ms(9000)), hold_decision);
    let refused = guard.check(ms(9000), ms(9500));
    assert!(
        matches!(refused, StalenessDecision::Refuse(refusal) if refusal.reason == RefusalReason::Stale)
    );
    guard.confirm(ms(9600));
    guard.confirm(ms(9550));
    assert_eq!(
        guard.check(ms(9650), ms(11_600)),
        StalenessDecision::Proceed
    );
}
