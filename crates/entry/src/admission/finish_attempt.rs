use std::time::Duration;

use decide::retry::RetryWait;
use model::{BootTime, HostId, PoolId, ProblemKind, TeamId};
use ports::QuotaPermit;

use super::{
    admission_loop::AdmissionLoop, pool_state::pool_state_mut, resource_hold::ResourceHold,
};
use crate::{
    CallerProblem,
    caller_request::CallerRequest,
    dispatch::{AttemptEnd, AttemptReport, NotRunCause},
};

/// How much longer than its deadline a request of unknown fate counts as running, at least
/// and at most; between them it is the mean service time of its pool.
const MIN_GRACE: Duration = Duration::from_millis(300);
const MAX_GRACE: Duration = Duration::from_secs(5);

/// What follows from ended attempts.
impl AdmissionLoop {
    /// Draws the consequences of an ended attempt.
    pub(super) fn handle_report(&mut self, report: AttemptReport) {
        let now = self.config.clock.boot_now();
        self.dispatch.finish_job();
        let AttemptReport {
            mut request,
            host,
            connection,
            permit,
            end,
            elapsed,
        } = report;
        if let Some(connection) = connection {
            let max_connections = self.pool_snapshot(&request.pool).max_connections;
            self.table.keep_connection(connection, max_connections, now);
        }
        self.update_health(&request, &host, &end, now);
        match end {
            AttemptEnd::Answered { .. } => {
                self.release(&request.pool, &request.team, &host, now);
                let state = pool_state_mut(&mut self.pools, &self.config.retries, &request.pool);
                state.record_service_time(elapsed);
            }
            AttemptEnd::Refused(problem) => {
                self.release(&request.pool, &request.team, &host, now);
                request.refuse(problem);
            }
            AttemptEnd::NotRun { detail, cause } => {
                self.release(&request.pool, &request.team, &host, now);
                let problem = CallerProblem::not_run(ProblemKind::NoTarget, detail)
                    .with_retry_after(Duration::from_secs(1));
                // What never left this host costs its pool nothing, so it needs no budget.
                let free = cause == NotRunCause::Local;
                self.retry(request, problem, free, now);
            }
            AttemptEnd::Unknown { detail, timed_out } => {
                self.hold_resources(&request, host, permit, timed_out, now);
                request.may_have_run = true;
                let problem = CallerProblem::may_have_run(ProblemKind::TargetFailed, detail);
                if request.idempotent {
                    self.retry(request, problem, false, now);
                } else {
                    // Its fate won't become known, so the caller is told at once.
                    request.refuse(problem);
                }
            }
        }
    }

    fn update_health(
        &mut self,
        request: &CallerRequest,
        host: &HostId,
        end: &AttemptEnd,
        now: BootTime,
    ) {
        let failed = match end {
            AttemptEnd::Answered { failed } => *failed,
            AttemptEnd::NotRun { cause, .. } => match cause {
                NotRunCause::Local => return,
                NotRunCause::Refused => {
                    self.table.on_refusal(host, now);
                    return;
                }
                NotRunCause::Unreachable => true,
            },
            AttemptEnd::Unknown { .. } => true,
            AttemptEnd::Refused(_) => return,
        };
        if !failed {
            self.table.on_success(host);
            return;
        }
        let snapshot = self.pool_snapshot(&request.pool);
        let answered = matches!(end, AttemptEnd::Answered { .. });
        self.table.on_failure(&snapshot.view(), host, answered, now);
    }

    /// Sends a request again if its pool can afford it or it is `free`, and refuses it at
    /// once otherwise.
    fn retry(
        &mut self,
        mut request: Box<CallerRequest>,
        problem: CallerProblem,
        free: bool,
        now: BootTime,
    ) {
        let state = pool_state_mut(&mut self.pools, &self.config.retries, &request.pool);
        request.attempts += 1;
        let wait = RetryWait::default().wait(request.attempts, rand::random());
        if now + wait >= request.deadline || !(free || state.retries.take_retry()) {
            metrics::counter!("lws_retries_refused").increment(1);
            request.refuse(problem);
            return;
        }
        metrics::counter!("lws_retries").increment(1);
        state.queue.push_retry(request, now + wait);
        state.meter.mark_queue_changed();
    }

    /// Keeps the permit of a request whose fate is unknown: it may run until its deadline,
    /// and giving the permit to another one could put the team above its limit. Targets
    /// know the deadline, but one that has just started the request may not look at it
    /// again, so the usual service time is waited out as well.
    ///
    /// A silent target is taken to be at work, so the slot is kept as long. One that closed
    /// the connection or answered something else has most likely ended the request; it
    /// refuses what it has no slot for, while keeping the slot would leave a target
    /// that died and came back idle until the last deadline.
    fn hold_resources(
        &mut self,
        request: &CallerRequest,
        host: HostId,
        permit: QuotaPermit,
        timed_out: bool,
        now: BootTime,
    ) {
        let state = pool_state_mut(&mut self.pools, &self.config.retries, &request.pool);
        let grace = state.service_time().clamp(MIN_GRACE, MAX_GRACE);
        if !timed_out {
            state.meter.record_end(&request.team, now);
            self.table.release_unconfirmed(&host);
        }
        self.holds.push(ResourceHold {
            until: request.deadline.max(now) + grace,
            pool: request.pool.clone(),
            team: request.team.clone(),
            host,
            slot: timed_out,
            _permit: permit,
        });
    }

    fn release(&mut self, pool: &PoolId, team: &TeamId, host: &HostId, now: BootTime) {
        self.table.release_slot(host);
        let state = pool_state_mut(&mut self.pools, &self.config.retries, pool);
        state.meter.record_end(team, now);
    }

    /// Gives back what was held for requests that are surely over now.
    pub(super) fn release_expired_holds(&mut self, now: BootTime) {
        let (over, kept) = self.holds.drain(..).partition(|hold| now >= hold.until);
        self.holds = kept;
        let over: Vec<ResourceHold> = over;
        for hold in over {
            if hold.slot {
                self.release(&hold.pool, &hold.team, &hold.host, now);
            } else {
                self.table.end_unconfirmed(&hold.host);
            }
        }
    }
}
