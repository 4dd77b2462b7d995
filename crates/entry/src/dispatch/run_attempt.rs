use std::{sync::Arc, thread, time::Duration};

use hyper::body::Bytes;
use model::{BootTime, HostId, ProblemKind, event::warn};
use ports::{ClaimSource, ClaimVerdict, ConfigSource, QuotaPermit, ServingGate};
use store::Clock;
use ureq::{Body, http::Response};

use super::{
    dispatch_pool::DispatchJob,
    send_guard::{SendCheck, SendProgress, SendVeto},
    target_lane::{LaneRequest, TargetLane},
};
use crate::{
    CallerProblem, ClaimDesk,
    caller::{BodyBudget, BodyShare, key_stands},
    event,
    work::{CallerRequest, TargetAnswer},
};

/// How old the headers of a request may be when its first byte goes out.
const STALE_AFTER: Duration = Duration::from_millis(250);
/// How often memory for an answer is asked for.
const MEMORY_TICK: Duration = Duration::from_millis(2);

/// How an attempt ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The caller has its whole answer.
    Answered {
        /// True if the target said that it failed.
        failed: bool,
    },
    /// The target did not run the request; another one may.
    NotRun {
        /// What happened.
        detail: String,
        /// What it says of the target.
        blame: TargetBlame,
    },
    /// The target may have run the request, and may be running it still.
    Unknown {
        /// What happened.
        detail: String,
        /// True if the target was silent until the deadline, rather than gone or wrong.
        silent: bool,
    },
    /// The request must not run here at all.
    Refused(CallerProblem),
}

/// What an attempt that did not run says of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetBlame {
    /// Nothing: the fault is on this side.
    None,
    /// It takes no new work now.
    Refused,
    /// It can't be reached.
    Unreachable,
}

/// What the admission thread hears of an attempt.
pub(crate) struct AttemptReport {
    /// The request, unless the caller has its outcome.
    pub request: Box<CallerRequest>,
    /// The target.
    pub host: HostId,
    /// The lane, for the next request.
    pub lane: Option<TargetLane>,
    /// The unit of the team's limit, still held.
    pub permit: QuotaPermit,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// How long it took.
    pub elapsed: Duration,
}

/// Runs attempts; shared by all dispatch threads.
pub(crate) struct AttemptRunner {
    /// Claims ids.
    pub claims: Arc<ClaimDesk>,
    /// Keys in force.
    pub config: Arc<dyn ConfigSource>,
    /// Whether this host may start work.
    pub gate: Arc<dyn ServingGate>,
    /// Clocks.
    pub clock: Arc<dyn Clock>,
    /// Longest wait for the home of an id.
    pub claim_patience: Duration,
    /// Largest answer, in bytes.
    pub max_answer: usize,
    /// Memory of answers.
    pub budget: Arc<BodyBudget>,
}

impl AttemptRunner {
    /// Runs one attempt and hands the caller its answer if there is one.
    pub fn run(&self, job: DispatchJob) -> AttemptReport {
        let DispatchJob {
            mut request,
            lane,
            permit,
        } = job;
        let begun = self.clock.boot_now();
        let end = self
            .claim(&mut request)
            .unwrap_or_else(|| self.send(&mut request, &lane));
        let elapsed = self.clock.boot_now().saturating_sub(begun);
        // After a failure the connection may still carry an answer that nobody waits for.
        let clean = matches!(end, AttemptEnd::Answered { .. });
        AttemptReport {
            request,
            host: lane.host.clone(),
            lane: clean.then_some(lane),
            permit,
            end,
            elapsed,
        }
    }

    fn claim(&self, request: &mut CallerRequest) -> Option<AttemptEnd> {
        if !request.claim {
            return None;
        }
        let left = request.deadline.saturating_sub(self.clock.boot_now());
        let patience = self.claim_patience.min(left);
        let verdict = self.claims.claim(&request.request, &request.team, patience);
        let problem = match verdict {
            ClaimVerdict::First => {
                request.claim = false;
                return None;
            }
            ClaimVerdict::Taken => "the Request-Id was used before, or is too old",
            ClaimVerdict::Unknown => {
                "the entry host that minted the Request-Id can't be asked whether it was used"
            }
        };
        Some(AttemptEnd::Refused(CallerProblem::may_have_run(
            ProblemKind::Duplicate,
            problem,
        )))
    }

    fn send(&self, request: &mut CallerRequest, lane: &TargetLane) -> AttemptEnd {
        let composed = self.clock.boot_now();
        let left = request.deadline.saturating_sub(composed);
        if left.is_zero() {
            return AttemptEnd::Refused(deadline_passed());
        }
        let target_id = request.target_id();
        let sending = LaneRequest {
            request: &target_id,
            team: &request.team,
            idempotent: request.idempotent,
            content_type: request.content_type.as_deref(),
            body: &request.body,
            patience: left,
        };
        let response = match lane.send(&sending, self.check(request, composed)) {
            Ok(response) => response,
            Err(cause) => return explain(lane, &cause),
        };
        self.receive(request, &target_id, lane, response)
    }

    /// What must hold at the moment the first byte goes out.
    ///
    /// The target is told the time left as of `composed`. If a slow connect or a pause of
    /// this process came after that, the target would take the request for fresher than it
    /// is and might run it after its deadline, when its unit is given to another one.
    fn check(&self, request: &CallerRequest, composed: BootTime) -> SendCheck {
        let gate = Arc::clone(&self.gate);
        let config = Arc::clone(&self.config);
        let clock = Arc::clone(&self.clock);
        let team = request.team.clone();
        let stamp = request.stamp.clone();
        let deadline = request.deadline;
        Box::new(move || {
            key_stands(&config.current(), &team, &stamp, clock.unix_now())?;
            if clock.boot_now() >= deadline {
                return Err(deadline_passed().into());
            }
            gate.check()?;
            if clock.boot_now().saturating_sub(composed) > STALE_AFTER {
                return Err(SendVeto::Stale);
            }
            Ok(())
        })
    }

    fn receive(
        &self,
        request: &mut CallerRequest,
        target_id: &str,
        lane: &TargetLane,
        response: Response<Body>,
    ) -> AttemptEnd {
        let status = response.status().as_u16();
        let echo = header(&response, "request-id");
        let crossed = echo.as_deref().is_some_and(|echo| echo != target_id);
        if crossed || (echo.is_none() && status == 200) {
            metrics::counter!("lws_answers_mismatched").increment(1);
            let echo = echo.unwrap_or_default();
            warn(
                &event::ANSWER_MISMATCHED,
                format_args!("request={target_id} host={} echo={echo}", lane.host),
            );
            return AttemptEnd::Unknown {
                detail: "the target sent the answer of another request".to_owned(),
                silent: false,
            };
        }
        if status == 503 && header(&response, "not-run").is_some_and(|text| text == "true") {
            return AttemptEnd::NotRun {
                detail: "the target takes no new work".to_owned(),
                blame: TargetBlame::Refused,
            };
        }
        self.read_answer(request, lane, response)
    }

    fn read_answer(
        &self,
        request: &mut CallerRequest,
        lane: &TargetLane,
        mut response: Response<Body>,
    ) -> AttemptEnd {
        let status = response.status().as_u16();
        let content_type = header(&response, "content-type");
        let announced: Option<usize> =
            header(&response, "content-length").and_then(|text| text.parse().ok());
        let Some(mut share) = self.reserve(request, announced) else {
            return AttemptEnd::Refused(CallerProblem::ran(
                ProblemKind::TargetFailed,
                "no memory became free for the answer",
            ));
        };
        let limit = u64::try_from(self.max_answer).unwrap_or(u64::MAX);
        let read = response.body_mut().with_config().limit(limit).read_to_vec();
        let body = match read {
            Ok(body) => body,
            Err(ureq::Error::BodyExceedsLimit(_)) => {
                let detail = format!("the answer has more than {} bytes", self.max_answer);
                let problem = CallerProblem::ran(ProblemKind::TargetFailed, detail);
                return AttemptEnd::Refused(problem);
            }
            // Fewer bytes than announced, or an unfinished chunk, is an error here too.
            Err(cause) => return cut_answer(lane, &cause.to_string()),
        };
        share.shrink_to(body.len());
        request.reply.send(Ok(TargetAnswer {
            status,
            content_type,
            body: share.attach(Bytes::from(body)),
        }));
        AttemptEnd::Answered {
            failed: status >= 500,
        }
    }

    /// Takes memory for a whole answer before reading any of it, so that two answers can't
    /// each hold half of what they need. While callers take theirs, this one waits.
    fn reserve(&self, request: &CallerRequest, announced: Option<usize>) -> Option<BodyShare> {
        let size = announced.unwrap_or(self.max_answer).min(self.max_answer);
        let mut share = self.budget.share(&request.team);
        while !share.grow(size) {
            if self.clock.boot_now() >= request.deadline {
                return None;
            }
            thread::sleep(MEMORY_TICK);
        }
        Some(share)
    }
}

/// What a failed exchange says about the fate of its request.
fn explain(lane: &TargetLane, cause: &ureq::Error) -> AttemptEnd {
    match lane.progress() {
        SendProgress::Vetoed(SendVeto::Final(problem)) => AttemptEnd::Refused(problem),
        SendProgress::Vetoed(SendVeto::Stale) => AttemptEnd::NotRun {
            detail: "the request was held up on this entry host".to_owned(),
            blame: TargetBlame::None,
        },
        SendProgress::Unsent => AttemptEnd::NotRun {
            detail: format!("no connection to {}: {cause}", lane.host),
            blame: TargetBlame::Unreachable,
        },
        SendProgress::Sent => AttemptEnd::Unknown {
            detail: format!("{} had the request and did not answer: {cause}", lane.host),
            silent: matches!(cause, ureq::Error::Timeout(_)),
        },
    }
}

/// An answer that ended early must not pass for a whole one.
fn cut_answer(lane: &TargetLane, cause: &str) -> AttemptEnd {
    metrics::counter!("lws_answers_truncated").increment(1);
    warn(
        &event::ANSWER_TRUNCATED,
        format_args!("host={} cause=\"{cause}\"", lane.host),
    );
    AttemptEnd::Unknown {
        detail: format!("the answer of {} broke off: {cause}", lane.host),
        silent: false,
    }
}

fn deadline_passed() -> CallerProblem {
    CallerProblem::not_run(
        ProblemKind::Deadline,
        "the deadline passed before a target had the request",
    )
}

fn header(response: &Response<Body>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(|text| text.trim().to_owned())
}
