use std::time::Duration;

use hyper::Request;
use model::{KeyText, ProblemKind, TeamId};
use ports::ActiveConfig;
use subtle::ConstantTimeEq;
use wire::state::KeyRecord;

use super::{caller_port::CallerPort, request_head::header_text};
use crate::{CallerProblem, caller_request::KeyFingerprint};

/// A verified key and its team.
pub(crate) struct VerifiedKey {
    /// Team that the key belongs to.
    pub team: TeamId,
    /// Identifies the key for the second check, right before the request is sent.
    pub fingerprint: KeyFingerprint,
}

/// Verifies the key of a request and returns its team.
pub(super) fn authenticate<B>(
    port: &CallerPort,
    config: &ActiveConfig,
    request: &Request<B>,
) -> Result<VerifiedKey, CallerProblem> {
    let authorization = header_text(request.headers(), "authorization")?;
    check_key(config, authorization, port.clock.unix_now())
}

/// Checks the `Authorization` header against the active keys.
///
/// The secret is compared as a salted digest in constant time. For an unknown key a digest
/// is computed as well, so that response times do not reveal which key ids exist.
fn check_key(
    config: &ActiveConfig,
    authorization: Option<&str>,
    unix_now: Duration,
) -> Result<VerifiedKey, CallerProblem> {
    let Some(text) = authorization else {
        return Err(key_refused("header Authorization is missing"));
    };
    let Some(text) = read_bearer(text) else {
        return Err(key_refused("Authorization must be `Bearer KEYID.SECRET`"));
    };
    let unknown = KeyRecord::default();
    let record = config.keys.get(&text.key_id);
    let known = digest_matches(record.unwrap_or(&unknown), &text);
    let Some(record) = record.filter(|_| known) else {
        return Err(key_refused("the key is not known, or was withdrawn"));
    };
    if record.admin || record.team.is_empty() {
        return Err(key_refused("an administration key admits no work"));
    }
    if has_expired(record, unix_now) {
        return Err(key_refused("the key has expired"));
    }
    Ok(VerifiedKey {
        team: TeamId::from(record.team.as_str()),
        fingerprint: KeyFingerprint {
            key: text.key_id,
            digest: record.digest.clone(),
        },
    })
}

/// Checks that the key of an admitted request is still valid in the active configuration.
///
/// A request must not start if its key was revoked while it was queued.
pub(crate) fn recheck_key(
    config: &ActiveConfig,
    team: &TeamId,
    fingerprint: &KeyFingerprint,
    unix_now: Duration,
) -> Result<(), CallerProblem> {
    let is_valid = config.keys.get(&fingerprint.key).is_some_and(|record| {
        !record.admin
            && record.team == team.as_str()
            && record.digest == fingerprint.digest
            && !has_expired(record, unix_now)
    });
    if is_valid {
        Ok(())
    } else {
        Err(key_refused(
            "the key was withdrawn or expired while the request waited",
        ))
    }
}

fn read_bearer(text: &str) -> Option<KeyText> {
    let (scheme, token) = text.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return None;
    }
    KeyText::parse(token.trim())
}

fn digest_matches(record: &KeyRecord, text: &KeyText) -> bool {
    let digest = text.digest(&record.salt);
    digest.ct_eq(record.digest.as_slice()).into()
}

fn has_expired(record: &KeyRecord, unix_now: Duration) -> bool {
    record.expires_unix_ms != 0 && unix_now >= Duration::from_millis(record.expires_unix_ms)
}

fn key_refused(detail: &str) -> CallerProblem {
    CallerProblem::not_run(ProblemKind::KeyRefused, detail)
}
