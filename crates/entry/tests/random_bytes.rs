//! The caller port responds to or closes any connection, whatever bytes it receives, and
//! keeps working.
#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::OnceLock, time::Duration};

use proptest::prelude::*;
use support::{EntryFixture, FixtureSetup, KEY, RawTarget, SERVICE, raw_exchange};

struct Port {
    fixture: EntryFixture,
    _target: RawTarget,
}

fn port() -> &'static Port {
    static PORT: OnceLock<Port> = OnceLock::new();
    PORT.get_or_init(|| {
        let target = RawTarget::echo();
        let mut setup = FixtureSetup::default();
        setup.settings.max_body = 10_000;
        setup.tuning.head_timeout = Duration::from_millis(100);
        setup.tuning.body_timeout = Duration::from_millis(100);
        Port {
            fixture: EntryFixture::start_with(&[&target], setup),
            _target: target,
        }
    })
}

/// Sends the bytes, and checks that the port still answers a valid request.
fn send(bytes: &[u8]) -> String {
    let fixture = &port().fixture;
    let timeout = Duration::from_secs(30);
    let text = raw_exchange(fixture.server.caller_address(), bytes, timeout);
    assert_eq!(fixture.caller().ask(b"still here").text(), "still here");
    text
}

fn good_request() -> Vec<u8> {
    format!(
        "POST /v1/services/{SERVICE}/requests HTTP/1.1\r\nHost: e1\r\n\
         Authorization: Bearer {KEY}\r\nDeadline-Ms: 1000\r\nIdempotent: true\r\n\
         Content-Length: 5\r\nConnection: close\r\n\r\nquote"
    )
    .into_bytes()
}

/// Checks every response on a connection: it is complete, and a refusal contains a problem
/// with its fate. Damaged bytes may form more than one request.
fn check_answers(text: &str) -> Result<(), TestCaseError> {
    let mut rest = text;
    while let Some((head, after)) = rest.split_once("\r\n\r\n") {
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(after.len(), |length| length.parse().unwrap());
        let body = after.get(..length);
        prop_assert!(body.is_some(), "incomplete response: {}", text);
        let body = body.unwrap_or_default();
        if head.contains("content-type: application/json") {
            let problem: serde_json::Value = serde_json::from_str(body).unwrap();
            prop_assert!(problem["fate"].is_string(), "{}", text);
        }
        rest = &after[length..];
    }
    prop_assert!(rest.is_empty(), "not a response: {}", rest);
    Ok(())
}

/// Guards against reading two responses as one: if the names of `Content-Length` and
/// `Connection` are damaged, the request ends after its head and the remaining three bytes
/// form a second request.
#[test]
fn damaged_length_makes_two_requests() {
    let bytes = format!(
        "POST /v1/services/{SERVICE}/requests HTTP/1.1\r\nHost: e1\r\n\
         uthorization: Bearer {KEY}\r\nDeadline-Ms: 1000\r\nIdempotent: true\r\n\
         ontent-Length: 5\r\nConnction: close\r\n\r\n\x7fuo"
    );
    let text = send(bytes.as_bytes());
    assert_eq!(text.matches("HTTP/1.1 ").count(), 2, "{text}");
    check_answers(&text).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        send(&bytes);
    }

    /// A valid request with a few bytes changed, inserted or removed. Every response is
    /// complete, and a refusal contains a problem with its fate.
    #[test]
    fn damaged_request(
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = good_request();
        for (place, byte, edit) in edits {
            let place = place.index(bytes.len());
            match edit {
                0 => bytes[place] = byte,
                1 => bytes.insert(place, byte),
                _ => drop(bytes.remove(place)),
            }
        }
        let keep = bytes.len() - cut.index(bytes.len()) / 8;
        bytes.truncate(keep);
        check_answers(&send(&bytes))?;
    }
}
