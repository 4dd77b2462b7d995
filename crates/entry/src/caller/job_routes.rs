use std::time::Duration;

use hyper::{HeaderMap, Request, body::Incoming};
use model::{JobId, ProblemKind, ServiceId};
use ports::{ActiveConfig, JobRequest};

use super::{
    body_reader::read_body,
    caller_port::CallerPort,
    job_thread_pool::JobCall,
    key_check::{VerifiedKey, authenticate, recheck_key},
    request_head::{RequestHead, bad_request, header_text},
    respond::{CallerResponse, respond_json},
};
use crate::CallerProblem;

/// Handles the submission of a job.
pub(super) async fn handle_submit(
    port: &CallerPort,
    service: ServiceId,
    request: Request<Incoming>,
) -> Result<CallerResponse, CallerProblem> {
    let given_id = RequestHead::single_use_id(request.headers());
    let outcome = submit(port, service, request).await;
    outcome.map_err(|problem| match given_id {
        Some(given_id) => port.claims.qualify_fate(&given_id, problem),
        None => problem,
    })
}

async fn submit(
    port: &CallerPort,
    service: ServiceId,
    request: Request<Incoming>,
) -> Result<CallerResponse, CallerProblem> {
    let config = port.config.current();
    let verified = authenticate(port, &config, &request)?;
    port.check_serving()?;
    let (job, claim) = read_job(port, &config, service, &verified, request.headers())?;
    let mut reservation = port.budget.reservation(&verified.team);
    let payload = read_body(port, request, &mut reservation, port.max_deadline).await?;
    // The key may have been revoked while the body was read.
    recheck_key(
        &port.config.current(),
        &verified.team,
        &verified.fingerprint,
        port.clock.unix_now(),
    )?;
    port.check_serving()?;
    let job = JobRequest {
        payload: payload.to_vec(),
        ..job
    };
    let view = port.jobs.run(JobCall::Submit(Box::new(job), claim)).await?;
    Ok(respond_json(202, &view))
}

fn read_job(
    port: &CallerPort,
    config: &ActiveConfig,
    service: ServiceId,
    verified: &VerifiedKey,
    headers: &HeaderMap,
) -> Result<(JobRequest, bool), CallerProblem> {
    let head = RequestHead::read(headers, port.max_deadline)?;
    let Some(spec) = config.manifest.services.get(&service) else {
        return Err(CallerProblem::not_run(
            ProblemKind::NotFound,
            format!("no service {service}"),
        ));
    };
    if spec.worker_pool.is_empty() {
        return Err(bad_request(format!("service {service} runs no jobs")));
    }
    let workspace = header_text(headers, "workspace")?.unwrap_or_default();
    let owner = config.manifest.workspaces.get(workspace);
    if !workspace.is_empty() && owner.is_none_or(|spec| spec.team != verified.team) {
        return Err(bad_request(format!(
            "the team has no workspace {workspace}"
        )));
    }
    let (request, claim) = port.claims.resolve_id(head.request, head.idempotent)?;
    let job = JobRequest {
        request,
        team: verified.team.clone(),
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
    };
    Ok((job, claim))
}

fn read_number(
    headers: &HeaderMap,
    name: &'static str,
    default: u32,
    max: u32,
) -> Result<u32, CallerProblem> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(default);
    };
    match text.parse() {
        Ok(number) if number <= max => Ok(number),
        _ => Err(bad_request(format!(
            "header {name} must be a whole number from 0 to {max}"
        ))),
    }
}

/// Returns the state of a job, or cancels it if `cancel` is true.
pub(super) async fn handle_job<B>(
    port: &CallerPort,
    request: &Request<B>,
    job: JobId,
    cancel: bool,
) -> Result<CallerResponse, CallerProblem> {
    let verified = authenticate(port, &port.config.current(), request)?;
    let call = if cancel {
        JobCall::Cancel(verified.team, job)
    } else {
        JobCall::View(verified.team, job)
    };
    let view = port.jobs.run(call).await?;
    Ok(respond_json(200, &view))
}
