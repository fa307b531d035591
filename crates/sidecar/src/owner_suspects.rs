//! How an owner deals with requests under which targets end.
//!
//! [`radishgauge_mesh::suspect`] weighs the evidence. The owner supplies it: it finds out
//! whether a run was cut off because the target has ended, and refuses or isolates the
//! requests that are to be.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use radishgauge_events::events;
use radishgauge_mesh::RequestPrints;
use radishgauge_mesh::RunAnswer;
use radishgauge_mesh::RunEvidence;
use radishgauge_mesh::SuspectRecord;
use radishgauge_mesh::TargetSoftware;
use radishgauge_mesh::scheduling::REFUSAL_MARGIN;
use radishgauge_mesh::suspect::SuspectKey;
use radishgauge_mesh::suspect::SuspectPolicy;
use radishgauge_mesh::suspect::SuspectRun;
use radishgauge_mesh::suspect::SuspectState;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use smol_str::SmolStr;
use tokio::sync::SemaphorePermit;

use crate::answer::NotRun;
use crate::node::lock;
use crate::owner::TargetOwner;
use crate::owner_state::OwnerState;
use crate::run_ledger::TargetRun;
use crate::suspect_exchange::SuspectNews;

/// When requests under which targets end are refused. A request that its caller sends
/// again can be in flight by chance at two ends that follow on each other, hardly at
/// three. A release that mends the targets takes minutes.
pub(crate) const SUSPECT_POLICY: SuspectPolicy = SuspectPolicy {
    ends: 3,
    time: Duration::from_secs(600),
};

/// How long after the loss of a connection the other connections are looked at. Those
/// of a target that has ended are lost at the same moment.
const CUT_OFF_SETTLE: Duration = Duration::from_millis(2);

/// How long the connection attempt may take that tells whether the target has ended.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns the keys under which a request is known at targets with the given software:
/// that of the exact request, and that of its content.
fn keys(prints: &RequestPrints, software: TargetSoftware) -> [SuspectKey; 2] {
    prints.both().map(|fingerprint| SuspectKey {
        fingerprint,
        software,
    })
}

/// Counts what an owner concluded from runs that were cut off, and from answers.
#[derive(Debug, Default)]
pub struct SuspectCounters {
    /// How often the target ended while requests ran.
    pub ends: AtomicU64,
    /// How many requests were cleared of ends.
    pub cleared: AtomicU64,
}

impl SuspectCounters {
    fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

impl TargetOwner {
    /// Returns the refusal of a request under which targets with the given software end
    /// again and again.
    pub fn quarantine(&self, prints: &RequestPrints, software: TargetSoftware) -> Option<NotRun> {
        let now = self.clock.now();
        let ends = keys(prints, software).into_iter().filter_map(|key| {
            let state = self.suspects.check(key, now);
            state.quarantined_until()
        });
        let until = ends.max()?;
        Some(NotRun {
            reason: HopReason::Quarantined,
            retry_after: Some(until.saturating_sub(now)),
            reached_target: false,
        })
    }

    /// Returns whether a request is on trial at targets with the given software.
    pub fn is_on_trial(&self, prints: &RequestPrints, software: TargetSoftware) -> bool {
        let now = self.clock.now();
        let states = keys(prints, software).map(|key| self.suspects.check(key, now));
        states.contains(&SuspectState::OnTrial)
    }

    /// Waits until no other request on trial runs, if the request is on trial, and
    /// returns what it holds meanwhile. A request that has a reserved slot does not
    /// wait, because the one that runs may need that slot.
    pub(crate) async fn trial_turn(
        &self,
        prints: &RequestPrints,
        software: TargetSoftware,
        is_reserved: bool,
        deadline: Duration,
    ) -> Result<Option<SemaphorePermit<'_>>, NotRun> {
        if let Some(refusal) = self.quarantine(prints, software) {
            return Err(refusal);
        }
        if !self.is_on_trial(prints, software) {
            return Ok(None);
        }
        let now = self.clock.now();
        let wait = match is_reserved {
            true => Duration::ZERO,
            false => deadline.saturating_sub(now + REFUSAL_MARGIN),
        };
        // The semaphore is never closed.
        match tokio::time::timeout(wait, self.trial_turn.acquire()).await {
            Ok(Ok(turn)) => Ok(Some(turn)),
            Ok(Err(_)) | Err(_) => Err(NotRun::before_target(HopReason::Full)),
        }
    }

    pub(crate) fn begin_run(
        &self,
        route: &str,
        prints: &RequestPrints,
        software: TargetSoftware,
    ) -> TargetRun {
        let now = self.clock.now();
        let begin = |key| self.suspects.begin(key, now);
        TargetRun {
            route: SmolStr::from(route),
            prints: *prints,
            software,
            suspect_runs: keys(prints, software).map(begin),
            connection_losses: self.state().connection_losses,
        }
    }

    /// Finds out whether a run was cut off because the target has ended. The sender is
    /// answered after that, so that it knows of the end before it sends the request to
    /// another target.
    pub(crate) async fn explain_cut_off(self: &Arc<Self>, run: &TargetRun) {
        let connection_losses = run.connection_losses;
        let now = self.clock.now();
        let known_end = self.state().ledger.record_cut_off(run.clone(), now);
        if let Some(end) = known_end {
            return self.suspect(end, std::slice::from_ref(run));
        }
        tokio::time::sleep(CUT_OFF_SETTLE).await;
        let _check = self.end_check.lock().await;
        let client = self.client();
        let lost_all = client.connection_losses() != connection_losses;
        if !lost_all || !self.state().ledger.is_unexplained() {
            return;
        }
        let attempt = tokio::time::timeout(END_CHECK_TIMEOUT, client.open_idle()).await;
        if let Ok(Err(error)) = attempt {
            self.record_down(&error.to_string());
        }
    }

    /// Records that the target has ended, and suspects the requests that were cut off.
    pub(crate) fn record_end(&self, state: &mut OwnerState, connection: &str) {
        let now = self.clock.now();
        let end = rand::random();
        let (cut_off, runs) = state.ledger.record_end(end, now);
        if cut_off == 0 {
            return;
        }
        SuspectCounters::count(&self.suspect_counters.ends);
        events::TARGET_ENDED.emit(format_args!(
            "end={end:016x} cut_off={cut_off} suspected={} connection={connection}",
            runs.len()
        ));
        self.suspect(end, &runs);
    }

    /// Counts an end of the target against the requests that ran there.
    fn suspect(&self, end: u64, runs: &[TargetRun]) {
        let Some(first) = runs.first() else {
            return;
        };
        let now = self.clock.now();
        let suspect_runs: Vec<SuspectRun> = runs.iter().flat_map(|run| run.suspect_runs).collect();
        let records = self.suspects.record_end(end, &suspect_runs, now);
        for record in records.iter().filter(|record| record.uncleared() > 1) {
            let key = SuspectKey {
                fingerprint: record.fingerprint,
                software: first.software,
            };
            let state = self.suspects.check(key, now);
            events::REQUEST_SUSPECTED.emit(format_args!(
                "fingerprint={:016x} ends={} quarantined={}",
                record.fingerprint.0,
                record.uncleared(),
                state.quarantined_until().is_some()
            ));
        }
        self.tell(runs.iter().map(|run| run.route.clone()), records);
    }

    /// Records the answer to a run that took the given time. It clears the request of
    /// ends if it is sufficient evidence.
    pub(crate) fn record_answer(
        &self,
        head: &HopHead,
        run: &TargetRun,
        status: StatusCode,
        took: Duration,
    ) {
        let evidence = RunEvidence::of_status(status.as_u16());
        self.state().ledger.record_answer(&run.prints, evidence);
        let now = self.clock.now();
        let answer = RunAnswer {
            id: rand::random(),
            evidence,
        };
        let [exact, content] = run.suspect_runs;
        let records = self
            .suspects
            .record_request_answer(exact, content, answer, now);
        if records.is_empty() {
            return;
        }
        let is_cleared = |record: &&SuspectRecord| record.is_cleared_at(run.software);
        if let Some(record) = records.iter().find(is_cleared) {
            SuspectCounters::count(&self.suspect_counters.cleared);
            events::REQUEST_CLEARED.emit(format_args!(
                "fingerprint={:016x} ends={} target={} status={} run_ms={}",
                record.fingerprint.0,
                record.ends.len(),
                head.target,
                status.as_u16(),
                took.as_millis()
            ));
        }
        self.tell([SmolStr::from(head.route.as_str())], records);
    }

    fn tell<I>(&self, routes: I, records: Vec<SuspectRecord>)
    where
        I: IntoIterator<Item = SmolStr>,
    {
        let mut news = lock(&self.news);
        news.routes.extend(routes);
        news.records.extend(records);
        drop(news);
        self.news_added.notify_one();
    }

    /// Returns how many runs were cut off although the target did not end.
    pub fn unexplained_cut_offs(&self) -> u64 {
        let now = self.clock.now();
        let mut state = self.state();
        state.ledger.drop_unexplained(now);
        state.ledger.unexplained()
    }

    /// Waits until other owners must be told of requests, and returns what.
    pub async fn next_news(&self) -> SuspectNews {
        self.news_added.notified().await;
        std::mem::take(&mut *lock(&self.news))
    }
}
