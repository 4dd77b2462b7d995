use std::{sync::Arc, thread, time::Duration};

use hyper::body::Bytes;
use model::{BootTime, HostId, ProblemKind, event::warn};
use ports::{ClaimSource, ClaimVerdict, ConfigSource, QuotaPermit, ServingGate};
use store::Clock;
use ureq::{Body, http::Response};

use super::{
    dispatch_pool::DispatchJob,
    send_guard::{SendCheck, SendProgress, SendVeto},
    target_connection::{TargetConnection, TargetRequest},
};
use crate::{
    CallerProblem, ClaimService,
    caller::{BodyBudget, BodyReservation, recheck_key},
    caller_request::{CallerRequest, TargetAnswer},
    event,
};

/// Maximum age of the headers of a request when its first byte is sent.
const MAX_HEADER_AGE: Duration = Duration::from_millis(250);
/// Interval for retrying a reservation of memory for a response.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Outcome of an attempt.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The caller has the complete response.
    Answered {
        /// True if the target responded with a server error.
        failed: bool,
    },
    /// The target did not run the request; another target may run it.
    NotRun {
        /// Details for the caller.
        detail: String,
        /// Why the request did not run.
        cause: NotRunCause,
    },
    /// The target may have run the request or may still be running it.
    Unknown {
        /// Details for the caller.
        detail: String,
        /// True if the target did not respond before the deadline; false if it closed the
        /// connection or sent an invalid response.
        timed_out: bool,
    },
    /// The request must not run at all.
    Refused(CallerProblem),
}

/// Why an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRunCause {
    /// A problem on this host, not of the target.
    Local,
    /// The target accepts no new requests at the moment.
    Refused,
    /// The target can't be reached.
    Unreachable,
}

/// The report of an attempt to the admission thread.
pub(crate) struct AttemptReport {
    /// The request. Its reply slot is empty if the caller already has the outcome.
    pub request: Box<CallerRequest>,
    /// The target.
    pub host: HostId,
    /// The connection, if it can be reused for the next request.
    pub connection: Option<TargetConnection>,
    /// The unit of the team's limit, still held.
    pub permit: QuotaPermit,
    /// Outcome of the attempt.
    pub end: AttemptEnd,
    /// Duration of the attempt.
    pub elapsed: Duration,
}

/// Runs attempts; shared by all dispatch threads.
pub(crate) struct AttemptRunner {
    /// Claims request ids.
    pub claims: Arc<ClaimService>,
    /// The active configuration, for the keys.
    pub config: Arc<dyn ConfigSource>,
    /// Whether this host may start requests.
    pub gate: Arc<dyn ServingGate>,
    /// Clocks.
    pub clock: Arc<dyn Clock>,
    /// Maximum wait for the home of a request id to answer a claim.
    pub claim_timeout: Duration,
    /// Maximum size of a response body, in bytes.
    pub max_answer: usize,
    /// Memory budget of response bodies.
    pub budget: Arc<BodyBudget>,
}

impl AttemptRunner {
    /// Runs one attempt and, on success, passes the response to the caller.
    pub fn run(&self, job: DispatchJob) -> AttemptReport {
        let DispatchJob {
            mut request,
            connection,
            permit,
        } = job;
        let started = self.clock.boot_now();
        let end = self
            .claim(&mut request)
            .unwrap_or_else(|| self.send(&mut request, &connection));
        let elapsed = self.clock.boot_now().saturating_sub(started);
        // After a failure the connection may still receive the response to the failed
        // request.
        let clean = matches!(end, AttemptEnd::Answered { .. });
        AttemptReport {
            request,
            host: connection.host.clone(),
            connection: clean.then_some(connection),
            permit,
            end,
            elapsed,
        }
    }

    fn claim(&self, request: &mut CallerRequest) -> Option<AttemptEnd> {
        if !request.needs_claim {
            return None;
        }
        let left = request.deadline.saturating_sub(self.clock.boot_now());
        let timeout = self.claim_timeout.min(left);
        let verdict = self.claims.claim(&request.id, &request.team, timeout);
        let problem = match verdict {
            ClaimVerdict::First => {
                request.needs_claim = false;
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

    fn send(&self, request: &mut CallerRequest, connection: &TargetConnection) -> AttemptEnd {
        let composed_at = self.clock.boot_now();
        let left = request.deadline.saturating_sub(composed_at);
        if left.is_zero() {
            return AttemptEnd::Refused(deadline_passed());
        }
        let target_id = request.target_id();
        let sending = TargetRequest {
            request: &target_id,
            team: &request.team,
            idempotent: request.idempotent,
            content_type: request.content_type.as_deref(),
            body: &request.body,
            timeout: left,
        };
        let response = match connection.send(&sending, self.send_check(request, composed_at)) {
            Ok(response) => response,
            Err(cause) => return classify_failure(connection, &cause),
        };
        self.read_response(request, &target_id, connection, response)
    }

    /// Builds the check that runs immediately before the first byte is sent.
    ///
    /// The headers tell the target the time left as of `composed_at`. If the connect was
    /// slow or this process was paused after that, the target would assume more time than
    /// is left. It might then run the request after its deadline, when its quota unit
    /// already belongs to another request.
    fn send_check(&self, request: &CallerRequest, composed_at: BootTime) -> SendCheck {
        let gate = Arc::clone(&self.gate);
        let config = Arc::clone(&self.config);
        let clock = Arc::clone(&self.clock);
        let team = request.team.clone();
        let fingerprint = request.fingerprint.clone();
        let deadline = request.deadline;
        Box::new(move || {
            recheck_key(&config.current(), &team, &fingerprint, clock.unix_now())?;
            if clock.boot_now() >= deadline {
                return Err(deadline_passed().into());
            }
            gate.check()?;
            if clock.boot_now().saturating_sub(composed_at) > MAX_HEADER_AGE {
                return Err(SendVeto::Stale);
            }
            Ok(())
        })
    }

    fn read_response(
        &self,
        request: &mut CallerRequest,
        target_id: &str,
        connection: &TargetConnection,
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
                format_args!("request={target_id} host={} echo={echo}", connection.host),
            );
            return AttemptEnd::Unknown {
                detail: "the target sent the answer of another request".to_owned(),
                timed_out: false,
            };
        }
        if status == 503 && header(&response, "not-run").is_some_and(|text| text == "true") {
            return AttemptEnd::NotRun {
                detail: "the target takes no new work".to_owned(),
                cause: NotRunCause::Refused,
            };
        }
        self.read_answer(request, connection, response)
    }

    fn read_answer(
        &self,
        request: &mut CallerRequest,
        connection: &TargetConnection,
        mut response: Response<Body>,
    ) -> AttemptEnd {
        let status = response.status().as_u16();
        let content_type = header(&response, "content-type");
        let content_length: Option<usize> =
            header(&response, "content-length").and_then(|text| text.parse().ok());
        let Some(mut reservation) = self.reserve(request, content_length) else {
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
            // A body shorter than its content length or an unfinished chunk is an error
            // here too.
            Err(cause) => return truncated_answer(connection, &cause.to_string()),
        };
        reservation.shrink_to(body.len());
        request.reply.send(Ok(TargetAnswer {
            status,
            content_type,
            body: reservation.attach(Bytes::from(body)),
        }));
        AttemptEnd::Answered {
            failed: status >= 500,
        }
    }

    /// Reserves memory for the complete response before reading any of it, so that two
    /// responses can't deadlock by holding half of what they need each. Waits while callers
    /// are still reading their responses.
    fn reserve(
        &self,
        request: &CallerRequest,
        content_length: Option<usize>,
    ) -> Option<BodyReservation> {
        let size = content_length
            .unwrap_or(self.max_answer)
            .min(self.max_answer);
        let mut reservation = self.budget.reservation(&request.team);
        while !reservation.grow(size) {
            if self.clock.boot_now() >= request.deadline {
                return None;
            }
            thread::sleep(MEMORY_POLL_INTERVAL);
        }
        Some(reservation)
    }
}

/// Derives the outcome of an attempt from a failed exchange.
fn classify_failure(connection: &TargetConnection, cause: &ureq::Error) -> AttemptEnd {
    match connection.progress() {
        SendProgress::Vetoed(SendVeto::Final(problem)) => AttemptEnd::Refused(problem),
        SendProgress::Vetoed(SendVeto::Stale) => AttemptEnd::NotRun {
            detail: "the request was held up on this entry host".to_owned(),
            cause: NotRunCause::Local,
        },
        SendProgress::Unsent => AttemptEnd::NotRun {
            detail: format!("no connection to {}: {cause}", connection.host),
            cause: NotRunCause::Unreachable,
        },
        SendProgress::Sent => AttemptEnd::Unknown {
            detail: format!(
                "{} had the request and did not answer: {cause}",
                connection.host
            ),
            timed_out: matches!(cause, ureq::Error::Timeout(_)),
        },
    }
}

/// A truncated response must not be passed on as a complete one.
fn truncated_answer(connection: &TargetConnection, cause: &str) -> AttemptEnd {
    metrics::counter!("lws_answers_truncated").increment(1);
    warn(
        &event::ANSWER_TRUNCATED,
        format_args!("host={} cause=\"{cause}\"", connection.host),
    );
    AttemptEnd::Unknown {
        detail: format!("the answer of {} broke off: {cause}", connection.host),
        timed_out: false,
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
