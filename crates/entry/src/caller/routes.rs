use std::{sync::atomic::Ordering, time::Duration};

use crossbeam_channel::TrySendError;
use hyper::{
    Method, Request,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use model::{BootTime, PoolId, ProblemKind, RequestId, ServiceId};
use ports::{ActiveConfig, NotServing};
use serde::Serialize;

use super::{
    body_reader::read_body,
    caller_port::CallerPort,
    job_routes::{handle_job, handle_submit},
    key_check::authenticate,
    request_head::RequestHead,
    respond::{CallerResponse, respond_answer, respond_json, respond_problem, respond_text},
};
use crate::{
    CallerProblem,
    caller_request::{CallerOutcome, CallerRequest, ReplySlot},
};

/// Maximum wait for the outcome of a request after its deadline. The admission thread ends
/// every request by its deadline; this only bounds the effect of a bug in this process.
const OUTCOME_GRACE: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct MintedBody {
    request_id: RequestId,
}

/// Handles one HTTP request.
///
/// During a graceful shutdown each response closes its connection. A caller that kept the
/// connection open could send its next request just as it is closed, and would not know the
/// fate of that request.
pub(crate) async fn handle_request(
    port: &CallerPort,
    request: Request<Incoming>,
) -> CallerResponse {
    let mut response = route(port, request).await;
    if port.leaving.load(Ordering::Acquire) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn route(port: &CallerPort, request: Request<Incoming>) -> CallerResponse {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (request.method().clone(), parts.as_slice()) {
        (Method::GET, ["livez"]) => respond_text(200, "alive"),
        (Method::GET, ["readyz"]) => handle_readyz(port),
        (Method::POST, ["v1", "request-ids"]) => into_response(None, handle_mint(port, &request)),
        (Method::POST, ["v1", "services", service, "requests"]) => {
            handle_service_request(port, &(*service).into(), request).await
        }
        (Method::POST, ["v1", "services", service, "jobs"]) => {
            let outcome = handle_submit(port, (*service).into(), request).await;
            into_response(None, outcome)
        }
        (Method::GET, ["v1", "jobs", job]) => {
            let outcome = handle_job(port, &request, (*job).into(), false).await;
            into_response(None, outcome)
        }
        (Method::DELETE, ["v1", "jobs", job]) => {
            let outcome = handle_job(port, &request, (*job).into(), true).await;
            into_response(None, outcome)
        }
        _ => respond_problem(
            None,
            &CallerProblem::not_run(ProblemKind::NotFound, "no such path or method"),
        ),
    }
}

fn into_response(
    request: Option<&RequestId>,
    outcome: Result<CallerResponse, CallerProblem>,
) -> CallerResponse {
    outcome.unwrap_or_else(|problem| {
        count_problem(&problem);
        respond_problem(request, &problem)
    })
}

fn handle_readyz(port: &CallerPort) -> CallerResponse {
    match port.check_serving() {
        Ok(()) => respond_text(200, "ready"),
        Err(cause) => respond_text(503, &cause.to_string()),
    }
}

fn handle_mint<B>(
    port: &CallerPort,
    request: &Request<B>,
) -> Result<CallerResponse, CallerProblem> {
    let verified = authenticate(port, &port.config.current(), request)?;
    port.check_serving()?;
    let minted = port.claims.mint_for(&verified.team);
    Ok(respond_json(200, &MintedBody { request_id: minted }))
}

async fn handle_service_request(
    port: &CallerPort,
    service: &ServiceId,
    request: Request<Incoming>,
) -> CallerResponse {
    let arrived = port.clock.boot_now();
    let given_id = RequestHead::single_use_id(request.headers());
    let qualify_fate = |problem| match &given_id {
        Some(given_id) => port.claims.qualify_fate(given_id, problem),
        None => problem,
    };
    let prepared = match prepare_request(port, service, request, arrived).await {
        Ok(prepared) => prepared,
        Err(problem) => return into_response(None, Err(qualify_fate(problem))),
    };
    let PreparedRequest { request, outcome } = prepared;
    let id = request.id.clone();
    let timeout = request.deadline.saturating_sub(arrived) + OUTCOME_GRACE;
    match port.admission.try_send(request) {
        Ok(()) => {}
        Err(TrySendError::Full(mut request)) => {
            let problem = CallerProblem::not_run(ProblemKind::QueueFull, "this entry host is full")
                .with_retry_after(Duration::from_secs(1));
            request.refuse(problem);
        }
        Err(TrySendError::Disconnected(mut request)) => request.refuse(NotServing::Leaving.into()),
    }
    match await_outcome(outcome, timeout).await {
        Ok(answer) => {
            metrics::counter!("lws_requests_answered").increment(1);
            respond_answer(&id, answer)
        }
        Err(problem) => into_response(Some(&id), Err(qualify_fate(problem))),
    }
}

async fn await_outcome(
    outcome: tokio::sync::oneshot::Receiver<CallerOutcome>,
    timeout: Duration,
) -> CallerOutcome {
    let lost = || {
        CallerProblem::may_have_run(
            ProblemKind::TargetFailed,
            "the outcome was lost in this entry host",
        )
    };
    match tokio::time::timeout(timeout, outcome).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => Err(lost()),
    }
}

struct PreparedRequest {
    request: Box<CallerRequest>,
    outcome: tokio::sync::oneshot::Receiver<CallerOutcome>,
}

async fn prepare_request(
    port: &CallerPort,
    service: &ServiceId,
    request: Request<Incoming>,
    arrived: BootTime,
) -> Result<PreparedRequest, CallerProblem> {
    let config = port.config.current();
    let verified = authenticate(port, &config, &request)?;
    port.check_serving()?;
    let pool = find_pool(port, &config, service)?;
    let head = RequestHead::read(request.headers(), port.max_deadline)?;
    let timeout = head.timeout.unwrap_or(port.tuning.default_deadline);
    let (id, needs_claim) = port.claims.resolve_id(head.request, head.idempotent)?;
    let mut reservation = port.budget.reservation(&verified.team);
    let body = read_body(port, request, &mut reservation, timeout).await?;
    let (reply, outcome) = ReplySlot::channel();
    let request = Box::new(CallerRequest {
        id,
        team: verified.team,
        fingerprint: verified.fingerprint,
        pool,
        arrived,
        deadline: arrived + timeout,
        idempotent: head.idempotent,
        urgent: head.urgent,
        needs_claim,
        attempts: 0,
        may_have_run: false,
        content_type: head.content_type,
        body: reservation.attach(body),
        reply,
    });
    Ok(PreparedRequest { request, outcome })
}

fn find_pool(
    port: &CallerPort,
    config: &ActiveConfig,
    service: &ServiceId,
) -> Result<PoolId, CallerProblem> {
    let Some(spec) = config.manifest.services.get(service) else {
        return Err(CallerProblem::not_run(
            ProblemKind::NotFound,
            format!("no service {service}"),
        ));
    };
    if port.targets.service_targets(service).is_empty() {
        return Err(CallerProblem::not_run(
            ProblemKind::NoTarget,
            format!("service {service} has no target now"),
        )
        .with_retry_after(Duration::from_secs(1)));
    }
    Ok(spec.pool.clone())
}

fn count_problem(problem: &CallerProblem) {
    let kind = serde_json::to_value(problem.kind)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned))
        .unwrap_or_default();
    metrics::counter!("lws_requests_refused", "problem" => kind).increment(1);
}
