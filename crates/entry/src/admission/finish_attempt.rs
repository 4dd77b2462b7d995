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

/// Bounds for the time after its deadline during which a request with an unknown outcome
/// still counts as running. Between them, the mean service time of the pool is used.
const MIN_GRACE: Duration = Duration::from_millis(300);
const MAX_GRACE: Duration = Duration::from_secs(5);

/// Handling of finished attempts.
impl AdmissionLoop {
    /// Handles the report of a finished attempt: releases or holds its resources, updates
    /// the health of the target, and retries or refuses the request if needed.
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
                // An attempt that never left this host put no load on the pool, so its
                // retry needs no budget.
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
                    // The outcome will not become known, so the caller gets its answer now.
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

    /// Queues the request for a retry if the retry budget of its pool allows it or `free`
    /// is true; otherwise refuses it at once.
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

    /// Holds the quota permit of a request whose outcome is unknown. The request may run
    /// until its deadline, and passing the permit to another request could put the team
    /// above its limit. Targets know the deadline, but a target that has just started the
    /// request may not check it again, so the hold is extended by the usual service time.
    ///
    /// After a timeout the target is assumed to be working on the request, so its slot is
    /// held as well. A target that closed the connection or sent an invalid response has
    /// most likely ended the request, and it refuses requests for which it has no slot.
    /// Holding the slot would leave a target that crashed and restarted idle until the last
    /// deadline.
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
            holds_slot: timed_out,
            _permit: permit,
        });
    }

    fn release(&mut self, pool: &PoolId, team: &TeamId, host: &HostId, now: BootTime) {
        self.table.release_slot(host);
        let state = pool_state_mut(&mut self.pools, &self.config.retries, pool);
        state.meter.record_end(team, now);
    }

    /// Releases the resources of requests that can no longer be running.
    pub(super) fn release_expired_holds(&mut self, now: BootTime) {
        let (over, kept) = self.holds.drain(..).partition(|hold| now >= hold.until);
        self.holds = kept;
        let over: Vec<ResourceHold> = over;
        for hold in over {
            if hold.holds_slot {
                self.release(&hold.pool, &hold.team, &hold.host, now);
            } else {
                self.table.end_unconfirmed(&hold.host);
            }
        }
    }
}
