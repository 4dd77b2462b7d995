use std::time::Duration;

use decide::claim::MintedId;
use hyper::{
    HeaderMap,
    header::{CONTENT_TYPE, HeaderName},
};
use model::{ProblemKind, RequestId};

use crate::CallerProblem;

/// Maximum length of a request id.
const MAX_ID: usize = 128;

/// The parsed headers of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestHead {
    /// Header `Request-Id`.
    pub request: Option<RequestId>,
    /// Header `Deadline-Ms`: the time until the deadline.
    pub timeout: Option<Duration>,
    /// Header `Idempotent`.
    pub idempotent: bool,
    /// Header `Urgent`.
    pub urgent: bool,
    /// Header `Content-Type`.
    pub content_type: Option<String>,
}

impl RequestHead {
    /// Parses the headers.
    ///
    /// # Errors
    /// The first invalid header, with the values that are allowed.
    pub fn read(headers: &HeaderMap, max_deadline: Duration) -> Result<Self, CallerProblem> {
        Ok(Self {
            request: read_id(headers)?,
            timeout: read_deadline(headers, max_deadline)?,
            idempotent: read_flag(headers, "idempotent")?,
            urgent: read_flag(headers, "urgent")?,
            content_type: headers
                .get(CONTENT_TYPE)
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
        })
    }

    /// The id of a non-idempotent request, if it was minted by an entry host. Such a
    /// request must run at most once and may be a repetition.
    pub fn single_use_id(headers: &HeaderMap) -> Option<RequestId> {
        let request = read_id(headers).ok()??;
        let idempotent = read_flag(headers, "idempotent").unwrap_or_default();
        (!idempotent && MintedId::parse(&request).is_some()).then_some(request)
    }
}

/// Returns a header as text; `None` if it is absent.
pub(crate) fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, CallerProblem> {
    let name = HeaderName::from_static(name);
    let mut values = headers.get_all(&name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    // With two values, two hosts could interpret the same request differently.
    if values.next().is_some() {
        return Err(bad_request(format!("header {name} is given twice")));
    }
    let Ok(text) = value.to_str() else {
        return Err(bad_request(format!(
            "header {name} is not plain ASCII text"
        )));
    };
    Ok(Some(text.trim()))
}

fn read_id(headers: &HeaderMap) -> Result<Option<RequestId>, CallerProblem> {
    let Some(text) = header_text(headers, "request-id")? else {
        return Ok(None);
    };
    let fits = (1..=MAX_ID).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte));
    if !fits {
        return Err(bad_request(format!(
            "Request-Id must have 1 to {MAX_ID} characters out of letters, digits and ._:-"
        )));
    }
    Ok(Some(RequestId::from(text)))
}

fn read_deadline(
    headers: &HeaderMap,
    max_deadline: Duration,
) -> Result<Option<Duration>, CallerProblem> {
    let Some(text) = header_text(headers, "deadline-ms")? else {
        return Ok(None);
    };
    let range = format!("from 1 to {}", max_deadline.as_millis());
    let digits = text.strip_prefix('-').unwrap_or(text);
    let whole = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    let past = digits != text || digits.bytes().all(|byte| byte == b'0');
    if whole && past {
        return Err(CallerProblem::not_run(
            ProblemKind::Deadline,
            format!("the deadline has passed; Deadline-Ms may be {range}"),
        ));
    }
    let timeout = text.parse().ok().map(Duration::from_millis);
    match timeout {
        Some(timeout) if whole && timeout <= max_deadline => Ok(Some(timeout)),
        _ => Err(bad_request(format!(
            "Deadline-Ms must be a whole number {range}"
        ))),
    }
}

fn read_flag(headers: &HeaderMap, name: &'static str) -> Result<bool, CallerProblem> {
    match header_text(headers, name)? {
        None => Ok(false),
        Some(text) if text.eq_ignore_ascii_case("true") => Ok(true),
        Some(text) if text.eq_ignore_ascii_case("false") => Ok(false),
        Some(_) => Err(bad_request(format!("header {name} must be true or false"))),
    }
}

/// The problem returned for a malformed request.
pub(crate) fn bad_request(detail: impl Into<String>) -> CallerProblem {
    CallerProblem::not_run(ProblemKind::BadRequest, detail)
}
