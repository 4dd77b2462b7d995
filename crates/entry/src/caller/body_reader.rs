use std::time::Duration;

use http_body_util::{BodyExt, combinators::BoxBody};
use hyper::{
    Request,
    body::{Body, Bytes, Incoming},
    header::CONTENT_LENGTH,
};
use model::ProblemKind;

use super::{body_budget::BodyReservation, caller_port::CallerPort, request_head::bad_request};
use crate::CallerProblem;

/// Reads a complete body within its limits of size, time and memory.
///
/// The timeout is for the whole body, not for each read, so that a sender can't hold its
/// connection and memory by sending single bytes now and then.
pub(super) async fn read_body(
    port: &CallerPort,
    request: Request<Incoming>,
    reservation: &mut BodyReservation,
    timeout: Duration,
) -> Result<Bytes, CallerProblem> {
    let announced = announced_length(&request)?;
    if announced > port.max_body {
        return Err(too_large(port.max_body));
    }
    let limit = port.tuning.body_timeout.min(timeout);
    let body = request.into_body().boxed();
    let reading = collect_body(body, announced, port.max_body, reservation);
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
    length.ok_or_else(|| bad_request("Content-Length is not a number"))
}

async fn collect_body(
    mut body: BoxBody<Bytes, hyper::Error>,
    announced: usize,
    max_body: usize,
    reservation: &mut BodyReservation,
) -> Result<Bytes, CallerProblem> {
    // Allocated memory that is not written to costs nothing, and growing would copy the
    // body several times.
    let mut bytes = Vec::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(bad_request("the body ended before its announced length"));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_body {
            return Err(too_large(max_body));
        }
        if !reservation.grow(data.len()) {
            return Err(CallerProblem::not_run(
                ProblemKind::QueueFull,
                "no memory left for bodies of this team",
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        bytes.extend_from_slice(&data);
    }
    if !body.is_end_stream() || bytes.len() < announced {
        return Err(bad_request("the body ended before its announced length"));
    }
    Ok(Bytes::from(bytes))
}

fn too_large(max_body: usize) -> CallerProblem {
    CallerProblem::not_run(
        ProblemKind::TooLarge,
        format!("a body may have at most {max_body} bytes"),
    )
}
