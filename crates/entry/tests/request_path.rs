//! The path of a request from the caller to a target and back.
#![allow(clippy::unwrap_used)]

mod support;

use support::{EntryFixture, FixtureSetup, RawTarget, TEAM};

#[test]
fn request_whole_answer() {
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&target]);
    let reply = fixture.caller().ask(b"glue, 12 pallets");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.text(), "glue, 12 pallets");
    assert_eq!(reply.request, "e1.1.1");
    let calls = target.calls.lock();
    assert_eq!(calls[0].path, "/v1/run");
    assert_eq!(calls[0].team, TEAM);
    assert_eq!(calls[0].request, reply.request);
    assert!(calls[0].deadline_ms <= 10_000);
}

#[test]
fn request_many_in_turn() {
    let target = RawTarget::echo();
    let setup = FixtureSetup {
        slots: 1,
        ..FixtureSetup::default()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    let caller = fixture.caller();
    for number in 0..50 {
        let body = format!("request {number}");
        assert_eq!(caller.ask(body.as_bytes()).text(), body);
    }
    assert_eq!(target.call_count(), 50);
}

#[test]
fn readiness_follows_gate() {
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&target]);
    let caller = fixture.caller();
    assert_eq!(caller.get("/livez").status, 200);
    assert_eq!(caller.get("/readyz").status, 200);
    *fixture.gate.0.lock() = Some(ports::NotServing::LeaseLapsed);
    assert_eq!(caller.get("/readyz").status, 503);
    assert_eq!(caller.get("/livez").status, 200);
    let reply = caller.ask(b"x");
    assert_eq!((reply.status, reply.fate().as_str()), (503, "not-run"));
    assert!(reply.retry_after.is_some());
    assert_eq!(target.call_count(), 0);
}
