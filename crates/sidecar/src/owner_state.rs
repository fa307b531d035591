//! What an owner knows of its target, and the requests that run or wait there.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use radishgauge_events::events;
use radishgauge_mesh::LeavingTargets;
use radishgauge_mesh::LocalAdmission;
use radishgauge_mesh::ServicePolicy;
use radishgauge_mesh::TargetRecord;
use radishgauge_mesh::TargetSoftware;
use radishgauge_mesh::admission::AdmissionRefusal;
use radishgauge_mesh::admission::CloseReason;
use radishgauge_mesh::admission::WaitKey;
use radishgauge_mesh::declared_rate_limit::RateAnswer;
use radishgauge_mesh::declared_rate_limit::RateChange;
use radishgauge_schema::hop::HopReason;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::interrupted_runs::InterruptedRuns;
use crate::origin::RunningRequest;
use crate::owner::hop_reason;
use crate::run_ledger::RunLedger;
use crate::target_call::TargetStatement;

/// The capacity that is assumed of a target before its registration is known.
const INITIAL_CAPACITY: u32 = 4;

/// The greatest number of former target IDs that are remembered. A sender with
/// an older state that names one of them is refused.
const MAX_FORMER_TARGETS: usize = 64;

/// The least time between two log lines about changes of a declared rate limit.
const RATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The known state of the target, and the requests that run or wait.
pub(crate) struct OwnerState {
    pub(crate) admission: LocalAdmission,
    pub(crate) waiters: HashMap<WaitKey, oneshot::Sender<Result<(), AdmissionRefusal>>>,
    /// The registrations with the address of this host's target.
    pub(crate) records: Vec<TargetRecord>,
    /// The ID with which the target answered the last health check; `None` if it
    /// may have restarted since.
    pub(crate) checked_id: Option<SmolStr>,
    /// The ID with which the target answered the last health check since it was down.
    pub(crate) answered_id: Option<SmolStr>,
    /// When an entry was last registered with the address of the target.
    pub(crate) records_changed: Duration,
    pub(crate) former: VecDeque<SmolStr>,
    /// The targets that said that they leave.
    pub(crate) leaving: LeavingTargets,
    pub(crate) policy: Option<ServicePolicy>,
    pub(crate) stopping: bool,
    pub(crate) domain_evacuated: bool,
    pub(crate) down: bool,
    /// Whether the first health check has ended, with an answer or without one.
    pub(crate) is_asked: bool,
    /// The requests that run at the target, by ID.
    pub(crate) runs: HashMap<SmolStr, RunningRequest>,
    /// The runs that the target may not have ended.
    pub(crate) interrupted: InterruptedRuns,
    /// The last known count of how often the target closed its last remaining
    /// connection.
    pub(crate) connection_losses: u64,
    /// The runs that were cut off, and those that ended well.
    pub(crate) ledger: RunLedger,
    pub(crate) timer: Option<Duration>,
    /// The target whose rate limit the admission keeps.
    pub(crate) declared_by: Option<SmolStr>,
    rate_change_logged: Option<Duration>,
}

impl OwnerState {
    /// Returns the state of a target whose registration is not known yet, in a daemon that
    /// has started at the time `started`.
    pub(crate) fn new(started: Duration) -> OwnerState {
        OwnerState {
            admission: LocalAdmission::after_start(INITIAL_CAPACITY, started),
            waiters: HashMap::new(),
            records: Vec::new(),
            checked_id: None,
            answered_id: None,
            records_changed: Duration::ZERO,
            former: VecDeque::new(),
            leaving: LeavingTargets::default(),
            policy: None,
            stopping: false,
            domain_evacuated: false,
            down: false,
            is_asked: false,
            runs: HashMap::new(),
            interrupted: InterruptedRuns::default(),
            connection_losses: 0,
            ledger: RunLedger::default(),
            timer: None,
            declared_by: None,
            rate_change_logged: None,
        }
    }

    /// Returns what the target with this ID runs. If its registration is not known, it
    /// is taken for a software of its own.
    pub(crate) fn software(&self, target: &str) -> TargetSoftware {
        let record = self.records.iter().find(|record| record.id == target);
        record.map_or_else(TargetSoftware::default, TargetRecord::software)
    }

    pub(crate) fn cold_rate(&self) -> f64 {
        self.policy.as_ref().map_or(1.0, |policy| policy.cold_rate)
    }

    /// Returns how long a target of the service is cold after its start.
    pub(crate) fn cold_time(&self) -> Duration {
        let policy = self.policy.as_ref();
        policy.map_or(Duration::ZERO, |policy| policy.cold_time)
    }

    /// Treats the target as cold until a health check reports otherwise.
    pub(crate) fn assume_cold(&mut self, now: Duration) {
        self.checked_id = None;
        self.assume_cold_for(self.cold_time(), now);
    }

    /// Treats the target as cold for `time`, or until a health check, which must have been
    /// requested, reports otherwise.
    fn assume_cold_for(&mut self, time: Duration, now: Duration) {
        let rate = self.cold_rate();
        self.admission.cold_mut().assume_cold(now + time, rate, now);
    }

    /// Logs a change of the target's declared rate limit. A target may state another
    /// limit in each answer, so changes of the number are logged at intervals.
    fn log_rate_change(&mut self, change: RateChange, now: Duration) {
        let target = self.declared_by.as_deref().unwrap_or("unknown");
        match change {
            RateChange::Limited(rate) => {
                let logged = self.rate_change_logged;
                if logged.is_some_and(|logged| now < logged + RATE_LOG_INTERVAL) {
                    return;
                }
                events::TARGET_RATE_LIMITED.emit(format_args!("target={target} per_second={rate}"));
                self.rate_change_logged = Some(now);
            }
            RateChange::Lifted => {
                events::TARGET_RATE_LIMIT_LIFTED.emit(format_args!("target={target}"));
                self.rate_change_logged = None;
            }
            RateChange::Unreadable => {
                let rate = self.admission.declared().per_second();
                events::TARGET_RATE_LIMIT_UNREADABLE
                    .emit(format_args!("target={target} known={rate:?}"));
            }
        }
    }

    /// Applies the registrations with the address of the target, and returns whether one
    /// of them is new.
    pub(crate) fn update_records(&mut self, records: Vec<TargetRecord>, now: Duration) -> bool {
        for old in &self.records {
            if !records.iter().any(|record| record.id == old.id) {
                self.former.push_back(old.id.clone());
            }
        }
        while self.former.len() > MAX_FORMER_TARGETS {
            self.former.pop_front();
        }
        let is_new = |record: &TargetRecord| !self.records.iter().any(|old| old.id == record.id);
        let has_new = records.iter().any(is_new);
        if has_new {
            self.records_changed = now;
            // The target may have restarted since the last health check.
            self.checked_id = None;
        }
        for record in &records {
            self.former.retain(|id| *id != record.id);
            let known = self.records.iter().find(|old| old.same_incarnation(record));
            let newly_cold = known.is_none_or(|old| old.cold_left != record.cold_left);
            if !newly_cold || record.cold_left.is_zero() {
                continue;
            }
            if has_new {
                self.assume_cold_for(record.cold_left, now);
            } else {
                let rate = self.cold_rate();
                let until = now + record.cold_left;
                self.admission.cold_mut().set_cold(until, rate);
            }
        }
        self.records = records;
        self.update_limit();
        has_new
    }

    /// Applies what `target` states in an answer to a request that was sent at the
    /// time `sent`, and returns whether that changes anything.
    pub(crate) fn apply_statement(
        &mut self,
        target: &str,
        statement: TargetStatement,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let newly_leaving = statement.is_leaving && self.mark_leaving(target);
        let answer = RateAnswer {
            statement: statement.rate,
            sent,
            is_success: statement.is_success,
        };
        let rate_change = self.admission.declared_mut().observe(&answer, now);
        if let Some(change) = rate_change {
            self.log_rate_change(change, now);
        }
        newly_leaving || rate_change.is_some()
    }

    /// Records that a target says that it leaves, and returns whether this is new.
    fn mark_leaving(&mut self, target: &str) -> bool {
        let record = self.records.iter().find(|record| record.id == target);
        let incarnation = record.and_then(|record| record.incarnation);
        let is_new = self.leaving.mark(target, incarnation);
        if is_new {
            let registered = record.is_some();
            events::TARGET_LEAVING.emit(format_args!(
                "target={target} incarnation={incarnation:?} registered={registered}"
            ));
        }
        is_new
    }

    /// Returns whether the present incarnation of a target has said that it leaves.
    pub(crate) fn is_leaving(&self, target: &str) -> bool {
        match self.records.iter().find(|record| record.id == target) {
            Some(record) => self.leaving.contains(record),
            None => self.leaving.contains_id(target),
        }
    }

    /// Returns whether a target with this registration accepts no new requests, by
    /// its registration or by its own word.
    fn is_draining(&self, record: &TargetRecord) -> bool {
        record.draining || self.leaving.contains(record)
    }

    /// Returns why the target that a sender names gets no requests here: it is draining,
    /// was removed, or another one runs at its address. What answers the health checks
    /// counts before what entries claim.
    pub(crate) fn absence(&self, target: &str) -> Option<HopReason> {
        let Some(record) = self.records.iter().find(|record| record.id == target) else {
            let is_former =
                self.leaving.contains_id(target) || self.former.iter().any(|id| id == target);
            return is_former.then_some(HopReason::Draining);
        };
        if self.is_draining(record) {
            return Some(HopReason::Draining);
        }
        match &self.checked_id {
            Some(id) => (id != target).then_some(HopReason::Misplaced),
            None => {
                let is_superseded = |other| record.is_superseded_by(other);
                let is_superseded = self.records.iter().any(is_superseded);
                // Until a check shows which of the entries is right, the target that
                // answered last is not given up.
                let has_answered = self.answered_id.as_deref() == Some(target);
                (is_superseded && !has_answered).then_some(HopReason::Draining)
            }
        }
    }

    /// Returns why a request for `target` must not be sent to it now, although it
    /// was admitted: the target may have been closed since. A stop of this daemon
    /// does not take back an admission.
    pub(crate) fn withdrawal(&self, target: &str) -> Option<HopReason> {
        self.absence(target).or_else(|| {
            let closed = self.admission.closed();
            let closed = closed.filter(|reason| *reason != CloseReason::Stopping);
            closed.map(hop_reason)
        })
    }

    /// Sets the limit of the admission to the capacity of the target at the address.
    pub(crate) fn update_limit(&mut self) {
        let serving = self
            .records
            .iter()
            .filter(|record| !self.is_draining(record));
        let checked = |record: &&TargetRecord| self.checked_id.as_ref() == Some(&record.id);
        let record = serving
            .clone()
            .find(checked)
            .or_else(|| serving.max_by_key(|record| record.incarnation));
        if let Some(capacity) = record.map(|record| record.capacity) {
            self.admission.set_limit(capacity);
        }
    }

    /// Closes the target for new requests, or opens it, as its state requires.
    pub(crate) fn update_closed(&mut self) {
        let drained =
            !self.records.is_empty() && self.records.iter().all(|record| self.is_draining(record));
        let closed = if self.stopping {
            Some(CloseReason::Stopping)
        } else if self.domain_evacuated {
            Some(CloseReason::DomainOut)
        } else if drained {
            Some(CloseReason::Draining)
        } else if self.down {
            Some(CloseReason::Down)
        } else {
            None
        };
        self.admission.set_closed(closed);
    }
}
