use std::collections::BTreeMap;

use decide::job::{AttemptAction, AttemptStatus, JobPhase, JobState, PhaseKind, ReportContext};
use model::{BootTime, HostId, JobId};

use crate::{
    WorkerReport, event,
    job_call::{CallKind, CallReply, ReplyKind},
    job_holder::JobHolder,
};

/// Maximum number of tasks in one renewal or poll.
const RENEWED_AT_ONCE: usize = 500;
/// Maximum number of replies processed in one iteration.
const REPLIES_AT_ONCE: usize = 512;

impl JobHolder {
    pub(crate) fn process_replies(&mut self) {
        for _ in 0..REPLIES_AT_ONCE {
            let Ok(reply) = self.replies.try_recv() else {
                return;
            };
            let CallReply {
                worker,
                asked_at,
                kind,
            } = reply;
            match kind {
                ReplyKind::Task {
                    task,
                    attempt_report,
                } => {
                    self.apply_attempt_report(&worker, &task, &attempt_report, "", asked_at);
                }
                ReplyKind::Renewed { tasks, report } => {
                    self.apply_worker_report(&worker, &tasks, report, asked_at);
                }
                ReplyKind::Usage(Some(usage)) => {
                    for worker_table in self.worker_tables.values_mut() {
                        worker_table.record_usage(&worker, usage.clone());
                    }
                }
                ReplyKind::Usage(None) => {}
            }
        }
    }

    fn apply_worker_report(
        &mut self,
        worker: &HostId,
        tasks: &[String],
        report: Option<WorkerReport>,
        asked_at: BootTime,
    ) {
        let Some(report) = report else {
            for task in tasks {
                self.apply_attempt_report(worker, task, &AttemptStatus::Unresponsive, "", asked_at);
            }
            return;
        };
        for (task, attempt_report) in &report.tasks {
            self.apply_attempt_report(worker, task, attempt_report, &report.boot, asked_at);
        }
    }

    /// Applies a worker's report to the current attempt of a job. Late reports of other
    /// attempts are dropped.
    fn apply_attempt_report(
        &mut self,
        worker: &HostId,
        task: &str,
        attempt_report: &AttemptStatus,
        boot: &str,
        asked_at: BootTime,
    ) {
        let Some((job, _)) = task.rsplit_once('.') else {
            return;
        };
        let job: JobId = job.into();
        let Some(held) = self.jobs.get_mut(&job) else {
            return;
        };
        let current = held.state.kind() == PhaseKind::Placed
            && held.state.task_id() == task
            && held.state.worker == *worker;
        // A renewal sent before the start cannot show whether the start took effect.
        if !current || asked_at < held.asked_at && *attempt_report == AttemptStatus::Unknown {
            return;
        }
        if *attempt_report == AttemptStatus::Unresponsive {
            held.unresponsive_since.get_or_insert(asked_at);
        } else {
            held.unresponsive_since = None;
        }
        let attempt_report = self.check_host_retired(worker, attempt_report);
        self.apply_to_job(&job, &attempt_report, boot);
    }

    /// Treats an unresponsive worker as gone if it is retired or no longer in the pool map.
    fn check_host_retired(&self, worker: &HostId, attempt_report: &AttemptStatus) -> AttemptStatus {
        if *attempt_report != AttemptStatus::Unresponsive {
            return attempt_report.clone();
        }
        if self.shared.is_host_gone(worker) {
            return AttemptStatus::WorkerGone;
        }
        AttemptStatus::Unresponsive
    }

    fn apply_to_job(&mut self, job: &JobId, attempt_report: &AttemptStatus, boot: &str) {
        let Some(held) = self.jobs.get(job) else {
            return;
        };
        let before = held.state.clone();
        let facts = self.report_context(job, &before, boot);
        let (next, action) = before.after_report(attempt_report, &facts, &self.policy);
        self.record_outcome(&before, &next, attempt_report);
        if next != before {
            let record = next.phase != JobPhase::Running;
            self.set_state(job, next.clone(), record);
        }
        match action {
            AttemptAction::Wait => {}
            AttemptAction::Resend => self.resend(job, &next),
            AttemptAction::Stop => {
                let kind = CallKind::Stop {
                    task: next.task_id(),
                };
                self.queue_call(&next.worker, kind);
            }
        }
    }

    /// Sends a recorded start again if this holder has a quota permit for the job. After a
    /// takeover, the permit of the former holder may be in use elsewhere.
    fn resend(&self, job: &JobId, state: &JobState) {
        let held = self.jobs.get(job);
        if held.is_some_and(|held| held.permit.is_some()) {
            self.send_start(state, false);
        }
    }

    fn report_context(&mut self, job: &JobId, state: &JobState, boot: &str) -> ReportContext {
        self.jitter = self
            .jitter
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let now = self.shared.clock.boot_now();
        let unresponsive_since = self.jobs.get(job).and_then(|held| held.unresponsive_since);
        let worker_table = self.worker_tables.get(&state.spec.pool);
        ReportContext {
            now: self.shared.clock.unix_now(),
            boot: boot.to_owned(),
            unresponsive_for: unresponsive_since
                .map_or_else(Default::default, |at| now.saturating_sub(at)),
            worker_suspect: worker_table
                .is_some_and(|worker_table| worker_table.is_suspect(&state.worker)),
            jitter: self.jitter >> 33,
        }
    }

    /// Updates the worker's success and failure records and logs suspect workers and parked
    /// jobs.
    fn record_outcome(
        &mut self,
        before: &JobState,
        next: &JobState,
        attempt_report: &AttemptStatus,
    ) {
        let now = self.shared.clock.boot_now();
        let Some(worker_table) = self.worker_tables.get_mut(&before.spec.pool) else {
            return;
        };
        match attempt_report {
            AttemptStatus::Done => worker_table.record_success(&before.worker),
            AttemptStatus::Failed(_) => {
                let was_suspect = worker_table.is_suspect(&before.worker);
                let job = &before.spec.job;
                worker_table.record_failure(&before.worker, job, &before.failed_on, now);
                if !was_suspect && worker_table.is_suspect(&before.worker) {
                    model::event::warn(
                        &event::WORKER_SUSPECT,
                        format_args!("worker={}", before.worker),
                    );
                }
            }
            _ => {}
        }
        if next.phase == JobPhase::Parked {
            model::event::warn(
                &event::JOB_PARKED,
                format_args!("job={} reason={}", next.spec.job, next.reason),
            );
        }
    }

    /// Renews the leases of all tasks, batched by worker, and polls those that must not be
    /// renewed.
    pub(crate) fn renew_leases(&mut self) {
        let now = self.shared.clock.boot_now();
        if now.saturating_sub(self.renewed_at) < self.timing.renew_interval {
            return;
        }
        self.renewed_at = now;
        let mut by_worker: BTreeMap<(HostId, bool), Vec<String>> = BTreeMap::new();
        for job in self.placed.clone() {
            let renewed = self.may_renew(&job);
            let Some(held) = self.jobs.get(&job) else {
                continue;
            };
            if held.sent_attempt == held.state.attempt {
                let key = (held.state.worker.clone(), renewed);
                by_worker.entry(key).or_default().push(held.state.task_id());
            }
        }
        for ((worker, renewed), tasks) in by_worker {
            for part in tasks.chunks(RENEWED_AT_ONCE) {
                let tasks = part.to_vec();
                let kind = if renewed {
                    CallKind::Renew { tasks }
                } else {
                    CallKind::Poll { tasks }
                };
                self.queue_call(&worker, kind);
            }
        }
    }

    /// True if a task's lease may be renewed: it was sent, and this holder has a quota permit
    /// for it.
    ///
    /// A task that was taken over uses the permit of the former holder, which is released
    /// once the lease of the task has expired. Renewing the lease without a new permit would
    /// let the team run more tasks than its limit.
    fn may_renew(&mut self, job: &JobId) -> bool {
        let Some(held) = self.jobs.get_mut(job) else {
            return false;
        };
        if held.sent_attempt != held.state.attempt {
            return false;
        }
        if held.permit.is_none() {
            let team = held.state.spec.team.clone();
            held.permit = self.shared.quota.try_take(&team);
            if held.permit.is_none() {
                self.shared.quota.report_waiting(&team, 1);
            }
        }
        held.permit.is_some()
    }
}
