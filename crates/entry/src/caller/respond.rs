use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    body::Bytes,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use model::RequestId;
use serde::Serialize;

use crate::{CallerProblem, caller_request::TargetAnswer};

/// Type of all responses of the caller port.
pub(crate) type CallerResponse = Response<Full<Bytes>>;

/// Passes on the complete response of a target.
pub(crate) fn respond_answer(request: &RequestId, answer: TargetAnswer) -> CallerResponse {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(text) = answer.content_type {
        set_header(&mut response, CONTENT_TYPE.as_str(), &text);
    }
    set_header(&mut response, "request-id", request);
    response
}

/// Responds with a problem as JSON.
pub(crate) fn respond_problem(
    request: Option<&RequestId>,
    problem: &CallerProblem,
) -> CallerResponse {
    let status = problem.kind.status();
    let mut response = respond_json(status, problem);
    if let Some(wait) = problem.retry_after_ms {
        let seconds = wait.div_ceil(1000).max(1);
        set_header(&mut response, RETRY_AFTER.as_str(), &seconds.to_string());
    }
    if let Some(request) = request {
        set_header(&mut response, "request-id", request);
    }
    response
}

/// Responds with `value` as JSON.
pub(crate) fn respond_json(status: u16, value: &impl Serialize) -> CallerResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set_header(&mut response, CONTENT_TYPE.as_str(), "application/json");
    response
}

/// Responds with one line of text.
pub(crate) fn respond_text(status: u16, text: &str) -> CallerResponse {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set_header(&mut response, CONTENT_TYPE.as_str(), "text/plain");
    response
}

fn set_header(response: &mut CallerResponse, name: &str, value: &str) {
    let (Ok(name), Ok(value)) = (
        hyper::header::HeaderName::try_from(name),
        HeaderValue::from_str(value),
    ) else {
        return;
    };
    response.headers_mut().insert(name, value);
}
