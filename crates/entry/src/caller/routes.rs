use std::time::Duration;

use crossbeam_channel::TrySendError;
use http_body_util::{BodyExt, combinators::BoxBody};
use hyper::{
    Method, Request,
    body::{Body, Bytes, Incoming},
    header::CONTENT_LENGTH,
};
use model::{BootTime, JobId, PoolId, ProblemKind, RequestId, ServiceId};
use ports::{ForceConfig, JobRequest, NotServing};
use serde::Serialize;

use super::{
    body_budget::BodyShare,
    caller_port::CallerPort,
    job_desk::JobCall,
    key_check::{KeyPass, check_key},
    request_head::{RequestHead, bad, header_text},
    respond::{CallerResponse, respond_answer, respond_json, respond_problem, respond_text},
};
use crate::{
    CallerProblem,
    work::{CallerOutcome, CallerRequest, ReplySlot},
};

/// How long after its deadline a request's outcome is waited for at most. The admission
/// thread ends every request by its deadline; this only bounds a fault of this process.
const OUTCOME_GRACE: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct MintedBody {
    request_id: RequestId,
}

/// Answers one HTTP request.
pub(crate) async fn answer(port: &CallerPort, request: Request<Incoming>) -> CallerResponse {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (request.method().clone(), parts.as_slice()) {
        (Method::GET, ["livez"]) => respond_text(200, "alive"),
        (Method::GET, ["readyz"]) => answer_ready(port),
        (Method::POST, ["v1", "request-ids"]) => finish(None, answer_mint(port, &request)),
        (Method::POST, ["v1", "services", service, "requests"]) => {
            answer_request(port, &(*service).into(), request).await
        }
        (Method::POST, ["v1", "services", service, "jobs"]) => {
            let outcome = answer_submit(port, (*service).into(), request).await;
            finish(None, outcome)
        }
        (Method::GET, ["v1", "jobs", job]) => {
            let outcome = answer_job(port, &request, (*job).into(), false).await;
            finish(None, outcome)
        }
        (Method::DELETE, ["v1", "jobs", job]) => {
            let outcome = answer_job(port, &request, (*job).into(), true).await;
            finish(None, outcome)
        }
        _ => respond_problem(
            None,
            &CallerProblem::not_run(ProblemKind::NotFound, "no such path or method"),
        ),
    }
}

fn finish(
    request: Option<&RequestId>,
    outcome: Result<CallerResponse, CallerProblem>,
) -> CallerResponse {
    outcome.unwrap_or_else(|problem| {
        count_problem(&problem);
        respond_problem(request, &problem)
    })
}

fn answer_ready(port: &CallerPort) -> CallerResponse {
    match port.check_serving() {
        Ok(()) => respond_text(200, "ready"),
        Err(cause) => respond_text(503, &cause.to_string()),
    }
}

fn answer_mint<B>(
    port: &CallerPort,
    request: &Request<B>,
) -> Result<CallerResponse, CallerProblem> {
    let pass = check_caller(port, &port.config.current(), request)?;
    port.check_serving()?;
    let minted = port.claims.mint_for(&pass.team);
    Ok(respond_json(200, &MintedBody { request_id: minted }))
}

async fn answer_request(
    port: &CallerPort,
    service: &ServiceId,
    request: Request<Incoming>,
) -> CallerResponse {
    let arrived = port.clock.boot_now();
    let prepared = match prepare(port, service, request, arrived).await {
        Ok(prepared) => prepared,
        Err(problem) => return finish(None, Err(problem)),
    };
    let PreparedRequest { work, outcome } = prepared;
    let id = work.request.clone();
    let patience = work.deadline.saturating_sub(arrived) + OUTCOME_GRACE;
    match port.admission.try_send(work) {
        Ok(()) => {}
        Err(TrySendError::Full(mut work)) => {
            let problem = CallerProblem::not_run(ProblemKind::QueueFull, "this entry host is full")
                .with_retry_after(Duration::from_secs(1));
            work.refuse(problem);
        }
        Err(TrySendError::Disconnected(mut work)) => work.refuse(NotServing::Leaving.into()),
    }
    match await_outcome(outcome, patience).await {
        Ok(answer) => {
            metrics::counter!("lws_requests_answered").increment(1);
            respond_answer(&id, answer)
        }
        Err(problem) => finish(Some(&id), Err(problem)),
    }
}

async fn await_outcome(
    outcome: tokio::sync::oneshot::Receiver<CallerOutcome>,
    patience: Duration,
) -> CallerOutcome {
    let lost = || {
        CallerProblem::may_have_run(
            ProblemKind::TargetFailed,
            "the outcome was lost in this entry host",
        )
    };
    match tokio::time::timeout(patience, outcome).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => Err(lost()),
    }
}

struct PreparedRequest {
    work: Box<CallerRequest>,
    outcome: tokio::sync::oneshot::Receiver<CallerOutcome>,
}

async fn prepare(
    port: &CallerPort,
    service: &ServiceId,
    request: Request<Incoming>,
    arrived: BootTime,
) -> Result<PreparedRequest, CallerProblem> {
    let config = port.config.current();
    let pass = check_caller(port, &config, &request)?;
    port.check_serving()?;
    let pool = find_pool(port, &config, service)?;
    let head = RequestHead::read(request.headers(), port.max_deadline)?;
    let patience = head.patience.unwrap_or(port.tuning.default_deadline);
    let (id, claim) = port.claims.admit_id(head.request, head.idempotent)?;
    let mut share = port.budget.share(&pass.team);
    let body = read_body(port, request, &mut share, patience).await?;
    let (reply, outcome) = ReplySlot::channel();
    let work = Box::new(CallerRequest {
        request: id,
        team: pass.team,
        stamp: pass.stamp,
        pool,
        arrived,
        deadline: arrived + patience,
        idempotent: head.idempotent,
        urgent: head.urgent,
        claim,
        attempts: 0,
        may_have_run: false,
        content_type: head.content_type,
        body: share.attach(body),
        reply,
    });
    Ok(PreparedRequest { work, outcome })
}

fn check_caller<B>(
    port: &CallerPort,
    config: &ForceConfig,
    request: &Request<B>,
) -> Result<KeyPass, CallerProblem> {
    let authorization = header_text(request.headers(), "authorization")?;
    check_key(config, authorization, port.clock.unix_now())
}

fn find_pool(
    port: &CallerPort,
    config: &ForceConfig,
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

async fn read_body(
    port: &CallerPort,
    request: Request<Incoming>,
    share: &mut BodyShare,
    patience: Duration,
) -> Result<Bytes, CallerProblem> {
    let announced = announced_length(&request)?;
    if announced > port.max_body {
        return Err(too_large(port.max_body));
    }
    let limit = port.tuning.body_timeout.min(patience);
    let body = request.into_body().boxed();
    let reading = collect_body(body, announced, port.max_body, share);
    match tokio::time::timeout(limit, reading).await {
        Ok(outcome) => outcome,
        Err(_) => Err(CallerProblem::not_run(
            ProblemKind::SlowSender,
            format!("the body did not arrive within {} ms", limit.as_millis()),
        )),
    }
}

fn announced_length<B>(request: &Request<B>) -> Result<usize, CallerProblem> {
    let Some(value) = request.headers().get(CONTENT_LENGTH) else {
        return Ok(0);
    };
    let length = value.to_str().ok().and_then(|text| text.parse().ok());
    length.ok_or_else(|| bad("Content-Length is not a number"))
}

async fn collect_body(
    mut body: BoxBody<Bytes, hyper::Error>,
    announced: usize,
    max_body: usize,
    share: &mut BodyShare,
) -> Result<Bytes, CallerProblem> {
    // Untouched memory costs nothing, and growing would copy the body a few times.
    let mut bytes = Vec::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(bad("the body ended before its announced length"));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_body {
            return Err(too_large(max_body));
        }
        if !share.grow(data.len()) {
            return Err(CallerProblem::not_run(
                ProblemKind::QueueFull,
                "no memory left for bodies of this team",
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        bytes.extend_from_slice(&data);
    }
    if !body.is_end_stream() || bytes.len() < announced {
        return Err(bad("the body ended before its announced length"));
    }
    Ok(Bytes::from(bytes))
}

fn too_large(max_body: usize) -> CallerProblem {
    CallerProblem::not_run(
        ProblemKind::TooLarge,
        format!("a body may have at most {max_body} bytes"),
    )
}

async fn answer_submit(
    port: &CallerPort,
    service: ServiceId,
    request: Request<Incoming>,
) -> Result<CallerResponse, CallerProblem> {
    let config = port.config.current();
    let pass = check_caller(port, &config, &request)?;
    port.check_serving()?;
    let job = read_job(port, &config, service, &pass, request.headers())?;
    let mut share = port.budget.share(&pass.team);
    let payload = read_body(port, request, &mut share, port.max_deadline).await?;
    // The key may have been withdrawn while the body arrived.
    super::key_stands(
        &port.config.current(),
        &pass.team,
        &pass.stamp,
        port.clock.unix_now(),
    )?;
    port.check_serving()?;
    let job = JobRequest {
        payload: payload.to_vec(),
        ..job
    };
    let view = port.jobs.run(JobCall::Submit(Box::new(job))).await?;
    Ok(respond_json(202, &view))
}

fn read_job(
    port: &CallerPort,
    config: &ForceConfig,
    service: ServiceId,
    pass: &KeyPass,
    headers: &hyper::HeaderMap,
) -> Result<JobRequest, CallerProblem> {
    let head = RequestHead::read(headers, port.max_deadline)?;
    let Some(spec) = config.manifest.services.get(&service) else {
        return Err(CallerProblem::not_run(
            ProblemKind::NotFound,
            format!("no service {service}"),
        ));
    };
    if spec.worker_pool.is_empty() {
        return Err(bad(format!("service {service} runs no jobs")));
    }
    let workspace = header_text(headers, "workspace")?.unwrap_or_default();
    let owner = config.manifest.workspaces.get(workspace);
    if !workspace.is_empty() && owner.is_none_or(|spec| spec.team != pass.team) {
        return Err(bad(format!("the team has no workspace {workspace}")));
    }
    let request = head.request.unwrap_or_else(|| port.claims.mint_spent());
    Ok(JobRequest {
        request,
        team: pass.team.clone(),
        service,
        workspace: workspace.into(),
        payload: Vec::new(),
        cores: read_number(headers, "cores", 1, 1024)?,
        memory_mb: u64::from(read_number(headers, "memory-mb", 256, 16 * 1024 * 1024)?),
        accelerators: read_number(headers, "accelerators", 0, 64)?,
        run_time: Duration::from_millis(u64::from(read_number(
            headers,
            "run-time-ms",
            60_000,
            u32::MAX,
        )?)),
        idempotent: head.idempotent,
    })
}

fn read_number(
    headers: &hyper::HeaderMap,
    name: &'static str,
    default: u32,
    max: u32,
) -> Result<u32, CallerProblem> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(default);
    };
    match text.parse() {
        Ok(number) if number <= max => Ok(number),
        _ => Err(bad(format!(
            "header {name} must be a whole number from 0 to {max}"
        ))),
    }
}

async fn answer_job<B>(
    port: &CallerPort,
    request: &Request<B>,
    job: JobId,
    cancel: bool,
) -> Result<CallerResponse, CallerProblem> {
    let pass = check_caller(port, &port.config.current(), request)?;
    let call = if cancel {
        JobCall::Cancel(pass.team, job)
    } else {
        JobCall::View(pass.team, job)
    };
    let view = port.jobs.run(call).await?;
    Ok(respond_json(200, &view))
}

fn count_problem(problem: &CallerProblem) {
    let kind = serde_json::to_value(problem.kind)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned))
        .unwrap_or_default();
    metrics::counter!("lws_requests_refused", "problem" => kind).increment(1);
}
