//! Invalid requests are refused with a clear error, and nothing is run.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use ports::JobError;
use rstest::rstest;
use support::{EntryFixture, FixtureSetup, KEY, RawTarget, SERVICE, raw_exchange};

const TIMEOUT: Duration = Duration::from_secs(20);

fn start_small_limits(target: &RawTarget) -> EntryFixture {
    let mut setup = FixtureSetup::default();
    setup.settings.max_body = 1000;
    setup.tuning.body_timeout = Duration::from_millis(200);
    setup.tuning.head_timeout = Duration::from_millis(300);
    EntryFixture::start_with(&[target], setup)
}

fn head(extra: &str) -> String {
    format!(
        "POST /v1/services/{SERVICE}/requests HTTP/1.1\r\nHost: e1\r\n\
         Authorization: Bearer {KEY}\r\n{extra}\r\n"
    )
}

#[rstest]
#[case::unknown("k9.secret-one")]
#[case::wrong_secret("k1.secret-two")]
#[case::no_secret("k1")]
#[case::empty_secret("k1.")]
#[case::expired("old.secret-old")]
#[case::admin("root.secret-root")]
#[case::long(&format!("k1.{}", "x".repeat(400)))]
fn key_refused(#[case] key: &str) {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let reply = fixture.caller().with_key(key).ask(b"x");
    assert_eq!(reply.status, 401);
    assert_eq!(reply.problem(), "key-refused");
    assert_eq!(reply.fate(), "not-run");
    assert_eq!(target.call_count(), 0);
}

#[test]
fn key_missing() {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let reply = fixture.caller().without("authorization").ask(b"x");
    assert_eq!((reply.status, reply.fate().as_str()), (401, "not-run"));
    let reply = fixture.caller().with("authorization", "Basic k1").ask(b"x");
    assert_eq!((reply.status, reply.fate().as_str()), (401, "not-run"));
}

#[rstest]
#[case::past("deadline-ms", "0", 504)]
#[case::negative("deadline-ms", "-5", 504)]
#[case::absurd("deadline-ms", "999999999", 400)]
#[case::huge("deadline-ms", "99999999999999999999999999", 400)]
#[case::words("deadline-ms", "soon", 400)]
#[case::empty("deadline-ms", "", 400)]
#[case::fraction("deadline-ms", "1.5", 400)]
#[case::flag("idempotent", "yes", 400)]
#[case::urgent("urgent", "1", 400)]
#[case::foreign_id("request-id", "order-17", 400)]
#[case::near_minted_id("request-id", "e1.1.07", 400)]
#[case::long_id("request-id", &"x".repeat(200), 400)]
#[case::spaced_id("request-id", "a b", 400)]
fn header_refused(#[case] name: &str, #[case] value: &str, #[case] status: u16) {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let reply = fixture.caller().with(name, value).ask(b"x");
    assert_eq!(reply.status, status, "{}", reply.text());
    assert_eq!(reply.fate(), "not-run");
    assert!(!reply.json()["detail"].as_str().unwrap().is_empty());
    assert_eq!(target.call_count(), 0);
}

#[rstest]
#[case::service("/v1/services/nothing/requests")]
#[case::path("/v1/elsewhere")]
#[case::root("/")]
#[case::dots("/v1/services/../requests")]
fn path_unknown(#[case] path: &str) {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let reply = fixture.caller().post(path, b"x");
    assert_eq!((reply.status, reply.fate().as_str()), (404, "not-run"));
    assert_eq!(target.call_count(), 0);
}

#[test]
fn body_too_large() {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let reply = fixture.caller().ask(&[b'x'; 1001]);
    assert_eq!((reply.status, reply.problem().as_str()), (413, "too-large"));
    let reply = fixture.caller().ask(&[b'x'; 1000]);
    assert_eq!(reply.status, 200);
}

#[test]
fn chunked_body_too_large() {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let mut bytes = head("Transfer-Encoding: chunked\r\n").into_bytes();
    for _ in 0..3 {
        bytes.extend_from_slice(b"190\r\n");
        bytes.extend_from_slice(&[b'x'; 400]);
        bytes.extend_from_slice(b"\r\n");
    }
    let text = raw_exchange(fixture.server.caller_address(), &bytes, TIMEOUT);
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert_eq!(target.call_count(), 0);
}

/// Guards against a truncated request reaching a target: the connection closes before the
/// announced length of the body has arrived.
#[test]
fn body_truncated() {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(fixture.server.caller_address()).unwrap();
        let text = head("Content-Length: 100\r\n") + "half an order";
        stream.write_all(text.as_bytes()).unwrap();
    }
    assert_eq!(fixture.caller().ask(b"next").status, 200);
    assert_eq!(target.call_count(), 1);
}

#[test]
fn body_slow() {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let text = head("Content-Length: 100\r\n") + "x";
    let reply = raw_exchange(fixture.server.caller_address(), text.as_bytes(), TIMEOUT);
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
    assert!(reply.contains("slow-sender") && reply.contains("not-run"));
    assert_eq!(target.call_count(), 0);
}

#[rstest]
#[case::silent("")]
#[case::half_a_head("POST /v1/services/quotes/requests HTTP/1.1\r\nHost:")]
#[case::idle_after_request("GET /livez HTTP/1.1\r\nHost: e1\r\n\r\n")]
fn head_slow(#[case] bytes: &str) {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let started = std::time::Instant::now();
    raw_exchange(fixture.server.caller_address(), bytes.as_bytes(), TIMEOUT);
    assert!(started.elapsed() < TIMEOUT, "the connection was left open");
}

#[rstest]
#[case::garbage("\u{1}\u{2}\u{3} nonsense\r\n\r\n", "400")]
#[case::two_lengths(&head("Content-Length: 1\r\nContent-Length: 2\r\n"), "400")]
#[case::length_words(&head("Content-Length: many\r\n"), "400")]
#[case::length_huge(&head("Content-Length: 99999999999999999999999\r\n"), "400")]
#[case::two_deadlines(&head("Deadline-Ms: 5\r\nDeadline-Ms: 6\r\nContent-Length: 0\r\n"), "400")]
#[case::two_keys(&head("Authorization: Bearer k2.x\r\nContent-Length: 0\r\n"), "400")]
fn request_malformed(#[case] bytes: &str, #[case] status: &str) {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let text = raw_exchange(fixture.server.caller_address(), bytes.as_bytes(), TIMEOUT);
    assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
    assert_eq!(target.call_count(), 0);
}

#[test]
fn head_too_large() {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let bytes = head(&format!("X-Filler: {}\r\n", "x".repeat(100_000)));
    let text = raw_exchange(fixture.server.caller_address(), bytes.as_bytes(), TIMEOUT);
    assert!(
        text.starts_with("HTTP/1.1 431") || text.is_empty(),
        "{text}"
    );
    let bytes = head(&"X-Filler: x\r\n".repeat(200));
    let text = raw_exchange(fixture.server.caller_address(), bytes.as_bytes(), TIMEOUT);
    assert!(text.starts_with("HTTP/1.1 431"), "{text}");
}

#[test]
fn job_round_trip() {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let caller = fixture
        .caller()
        .with("cores", "4")
        .with("run-time-ms", "90000");
    let reply = caller.post(&format!("/v1/services/{SERVICE}/jobs"), b"weights");
    assert_eq!(reply.status, 202, "{}", reply.text());
    let job = reply.json()["job"].as_str().unwrap().to_owned();
    assert_eq!(caller.get(&format!("/v1/jobs/{job}")).status, 200);
    let cancelled = caller.delete(&format!("/v1/jobs/{job}"));
    assert_eq!(cancelled.json()["phase"], "cancelled");
    let other = caller.clone().with_key(support::OTHER_KEY);
    assert_eq!(other.get(&format!("/v1/jobs/{job}")).status, 404);
    let jobs = fixture.jobs.jobs.lock();
    assert_eq!(
        (jobs[0].cores, jobs[0].payload.as_slice()),
        (4, &b"weights"[..])
    );
}

#[rstest]
#[case::store_down(JobError::StoreDown("no answer".into()), 503, "not-run", true)]
#[case::answer_lost(JobError::Unknown("cut".into()), 503, "may-have-run", true)]
#[case::invalid(JobError::Invalid("no such pool".into()), 400, "not-run", false)]
#[case::queue_full(JobError::QueueFull, 429, "not-run", true)]
fn job_refused(
    #[case] cause: JobError,
    #[case] status: u16,
    #[case] fate: &str,
    #[case] again: bool,
) {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    *fixture.jobs.fail.lock() = Some(cause);
    let reply = fixture
        .caller()
        .post(&format!("/v1/services/{SERVICE}/jobs"), b"weights");
    assert_eq!((reply.status, reply.fate().as_str()), (status, fate));
    assert_eq!(reply.retry_after.is_some(), again);
}

#[rstest]
#[case::cores("cores", "5000")]
#[case::memory("memory-mb", "-1")]
#[case::workspace("workspace", "of-another-team")]
fn job_header_refused(#[case] name: &str, #[case] value: &str) {
    let target = RawTarget::echo();
    let fixture = start_small_limits(&target);
    let reply = fixture
        .caller()
        .with(name, value)
        .post(&format!("/v1/services/{SERVICE}/jobs"), b"weights");
    assert_eq!((reply.status, reply.fate().as_str()), (400, "not-run"));
    assert!(fixture.jobs.jobs.lock().is_empty());
}
