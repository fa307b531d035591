//! Maps each log event of the control machine to its numbered event.

use radishgauge_control::ControlLog;

use crate::events;

/// Writes a log event of the control machine.
pub fn emit(log: &ControlLog) {
    match log {
        ControlLog::VersionInForce {
            revision,
            source,
            unconfirmed,
        } => {
            events::VERSION_IN_FORCE.emit(format_args!(
                "revision={revision} source={source} unconfirmed={unconfirmed}"
            ));
        }
        ControlLog::VersionRefused { revision, reasons } => {
            events::VERSION_REFUSED.emit(format_args!(
                "revision={revision} reasons={:?}",
                reasons.join("; ")
            ));
        }
        ControlLog::ConflictingRevision {
            revision,
            held,
            refused,
        } => {
            events::VERSION_CONFLICT.emit(format_args!(
                "revision={revision} root={held} other={refused}"
            ));
        }
        ControlLog::RolesChanged { relay, rank } => {
            events::ROLES_CHANGED.emit(format_args!("relay={relay} rank={rank:?}"));
        }
        ControlLog::PlatformValueDiscarded { key } => {
            events::VALUE_REJECTED.emit(format_args!("key={key} source=platform"));
        }
        ControlLog::PlatformUnavailable { reason } => {
            events::PLATFORM_FAILED.emit(format_args!("error={reason:?}"));
        }
        ControlLog::PeerValueDiscarded { host } => {
            events::VALUE_REJECTED.emit(format_args!("source={host}"));
        }
        ControlLog::PeerSilent { host } => events::PEER_SILENT.emit(format_args!("host={host}")),
        ControlLog::DialFailed { address } => {
            events::DIAL_FAILED.emit(format_args!("address={address}"));
        }
        ControlLog::HostLeaving { host, incarnation } => {
            events::HOST_CHANGED.emit(format_args!(
                "host={host} state=leaving incarnation={incarnation}"
            ));
        }
        ControlLog::PausedFor { late_ms } => {
            events::PAUSED.emit(format_args!("late_ms={late_ms}"));
        }
        ControlLog::Isolated => events::ISOLATED.emit(format_args!("")),
        ControlLog::FreshnessConfirmed => events::FRESHNESS_CONFIRMED.emit(format_args!("")),
    }
}
