use std::time::Duration;

use decide::retry::RetryWait;
use model::{BootTime, HostId, PoolId, ProblemKind, TeamId};
use ports::QuotaPermit;

use super::{admission_loop::AdmissionLoop, held_work::HeldWork, pool_desk::desk_of};
use crate::{
    CallerProblem,
    dispatch::{AttemptEnd, AttemptReport, TargetBlame},
    work::CallerRequest,
};

/// How much longer than its deadline a request of unknown fate counts as running, at least
/// and at most; between them it is the mean service time of its pool.
const SHORTEST_GRACE: Duration = Duration::from_millis(300);
const LONGEST_GRACE: Duration = Duration::from_secs(5);

/// What follows from ended attempts.
impl AdmissionLoop {
    /// Draws the consequences of an ended attempt.
    pub(super) fn settle(&mut self, report: AttemptReport) {
        let now = self.config.clock.boot_now();
        self.dispatch.settle();
        let AttemptReport {
            mut request,
            host,
            lane,
            permit,
            end,
            elapsed,
        } = report;
        if let Some(lane) = lane {
            let part = self.pool_parts(&request.pool).connections;
            self.table.keep_lane(lane, part, now);
        }
        self.note_health(&request, &host, &end, now);
        match end {
            AttemptEnd::Answered { .. } => {
                self.release(&request.pool, &request.team, &host, now);
                let desk = desk_of(&mut self.desks, &self.config.retries, &request.pool);
                desk.note_service(elapsed);
            }
            AttemptEnd::Refused(problem) => {
                self.release(&request.pool, &request.team, &host, now);
                request.refuse(problem);
            }
            AttemptEnd::NotRun { detail, blame } => {
                self.release(&request.pool, &request.team, &host, now);
                let problem = CallerProblem::not_run(ProblemKind::NoTarget, detail)
                    .with_retry_after(Duration::from_secs(1));
                // What never left this host costs its pool nothing, so it needs no budget.
                let free = blame == TargetBlame::None;
                self.retry(request, problem, free, now);
            }
            AttemptEnd::Unknown { detail, silent } => {
                self.hold(&request, host, permit, silent, now);
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

    fn note_health(
        &mut self,
        request: &CallerRequest,
        host: &HostId,
        end: &AttemptEnd,
        now: BootTime,
    ) {
        let failed = match end {
            AttemptEnd::Answered { failed } => *failed,
            AttemptEnd::NotRun { blame, .. } => match blame {
                TargetBlame::None => return,
                TargetBlame::Refused => {
                    self.table.note_refusal(host, now);
                    return;
                }
                TargetBlame::Unreachable => true,
            },
            AttemptEnd::Unknown { .. } => true,
            AttemptEnd::Refused(_) => return,
        };
        if !failed {
            self.table.note_success(host);
            return;
        }
        let parts = self.pool_parts(&request.pool);
        let answered = matches!(end, AttemptEnd::Answered { .. });
        self.table.note_failure(&parts.view(), host, answered, now);
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
        let desk = desk_of(&mut self.desks, &self.config.retries, &request.pool);
        request.attempts += 1;
        let wait = RetryWait::default().wait(request.attempts, rand::random());
        if now + wait >= request.deadline || !(free || desk.retries.take_retry()) {
            metrics::counter!("lws_retries_refused").increment(1);
            request.refuse(problem);
            return;
        }
        metrics::counter!("lws_retries").increment(1);
        desk.queue.push_retry(request, now + wait);
        desk.meter.note_queue();
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
    fn hold(
        &mut self,
        request: &CallerRequest,
        host: HostId,
        permit: QuotaPermit,
        silent: bool,
        now: BootTime,
    ) {
        let desk = desk_of(&mut self.desks, &self.config.retries, &request.pool);
        let grace = desk.service_time().clamp(SHORTEST_GRACE, LONGEST_GRACE);
        if !silent {
            desk.meter.note_end(&request.team, now);
            self.table.linger(&host);
        }
        self.held.push(HeldWork {
            until: request.deadline.max(now) + grace,
            pool: request.pool.clone(),
            team: request.team.clone(),
            host,
            slot: silent,
            _permit: permit,
        });
    }

    fn release(&mut self, pool: &PoolId, team: &TeamId, host: &HostId, now: BootTime) {
        self.table.end(host);
        let desk = desk_of(&mut self.desks, &self.config.retries, pool);
        desk.meter.note_end(team, now);
    }

    /// Gives back what was held for requests that are surely over now.
    pub(super) fn release_held(&mut self, now: BootTime) {
        let (over, kept) = self.held.drain(..).partition(|held| now >= held.until);
        self.held = kept;
        let over: Vec<HeldWork> = over;
        for held in over {
            if held.slot {
                self.release(&held.pool, &held.team, &held.host, now);
            } else {
                self.table.end_lingering(&held.host);
            }
        }
    }
}
