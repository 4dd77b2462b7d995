//! Targets that fail, send wrong responses or are unreachable: responses are complete,
//! refusals are true, and nothing runs twice.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use model::PoolSpec;
use ports::{NotServing, TargetState};
use rstest::rstest;
use support::{
    EntryFixture, FixtureSetup, JumpClock, RawTarget, SERVICE, TEAM, TargetCall, TargetReply,
};

/// A target that returns `fault` for its first request and responds correctly afterwards.
fn faulty_first_time(fault: fn(&TargetCall) -> TargetReply) -> RawTarget {
    let calls = AtomicUsize::new(0);
    RawTarget::start(move |call| {
        if calls.fetch_add(1, Ordering::AcqRel) == 0 {
            return fault(call);
        }
        TargetReply::Answer(call.body.clone())
    })
}

fn crossed(_: &TargetCall) -> TargetReply {
    TargetReply::Crossed(b"another caller's quote".to_vec(), "e1.1.999".to_owned())
}

fn truncated(call: &TargetCall) -> TargetReply {
    TargetReply::Truncated(call.body.clone(), call.body.len() + 10)
}

fn failed(_: &TargetCall) -> TargetReply {
    TargetReply::Status(500, Vec::new())
}

fn hangup(_: &TargetCall) -> TargetReply {
    TargetReply::Hangup
}

/// A target sends the response of another request, truncates a response or closes the
/// connection. The caller of a non-idempotent request is told at once that it may have run,
/// and the request is not retried.
#[rstest]
#[case::crossed(crossed)]
#[case::truncated(truncated)]
#[case::hangup(hangup)]
fn non_idempotent_not_retried(#[case] fault: fn(&TargetCall) -> TargetReply) {
    let target = faulty_first_time(fault);
    let fixture = EntryFixture::start(&[&target]);
    let started = Instant::now();
    let reply = fixture.caller().with("deadline-ms", "50000").ask(b"order");
    assert_eq!((reply.status, reply.fate().as_str()), (504, "may-have-run"));
    assert!(
        started.elapsed() < Duration::from_secs(20),
        "the refusal was delayed"
    );
    assert_eq!(target.call_count(), 1);
}

/// After the same faults an idempotent request is retried, and the caller gets the complete
/// response.
#[rstest]
#[case::crossed(crossed)]
#[case::truncated(truncated)]
#[case::hangup(hangup)]
fn idempotent_retried(#[case] fault: fn(&TargetCall) -> TargetReply) {
    let target = faulty_first_time(fault);
    let fixture = EntryFixture::start(&[&target]);
    let caller = fixture.caller().with("idempotent", "true");
    let reply = caller.with("request-id", "quote-1").ask(b"quote");
    assert_eq!((reply.status, reply.text().as_str()), (200, "quote"));
    assert_eq!(reply.request, "quote-1");
    assert_eq!(target.call_count(), 2);
    // Two teams may use the same id at the same time, so the id sent to targets contains
    // the team.
    assert_eq!(target.calls.lock()[0].request, format!("{TEAM}:quote-1"));
}

/// The response to an idempotent request is lost, and its key is revoked before the retry.
/// The first attempt may have run, so the refusal must not say "not run".
#[test]
fn refusal_after_unknown_attempt() {
    let fixture_slot: Arc<parking_lot::Mutex<Option<Arc<EntryFixture>>>> = Arc::default();
    let shared = Arc::clone(&fixture_slot);
    let target = RawTarget::start(move |_| {
        if let Some(fixture) = shared.lock().as_ref() {
            fixture.change(|config| {
                config.keys.remove("k1");
            });
        }
        TargetReply::Hangup
    });
    let fixture = Arc::new(EntryFixture::start(&[&target]));
    *fixture_slot.lock() = Some(Arc::clone(&fixture));
    let reply = fixture.caller().with("idempotent", "true").ask(b"quote");
    assert_eq!(reply.problem(), "key-refused");
    assert_eq!(reply.fate(), "may-have-run");
    assert_eq!(target.call_count(), 1);
    fixture_slot.lock().take();
}

/// One of two targets is down, and the pool's budget does not allow its ejection. Its free
/// slots must not attract requests until the retry budget is exhausted.
#[test]
fn connect_refused_uses_other_target() {
    let stopped = RawTarget::echo();
    stopped.stop();
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&stopped, &target]);
    for number in 0..100 {
        let body = format!("order {number}");
        let reply = fixture.caller().ask(body.as_bytes());
        assert_eq!((reply.status, reply.text()), (200, body));
    }
    assert_eq!(target.call_count(), 100);
}

#[test]
fn all_targets_unreachable_not_run() {
    let stopped = RawTarget::echo();
    stopped.stop();
    let fixture = EntryFixture::start(&[&stopped]);
    let reply = fixture.caller().with("deadline-ms", "30000").ask(b"order");
    assert_eq!((reply.status, reply.problem().as_str()), (503, "no-target"));
    assert_eq!(reply.fate(), "not-run");
    assert!(reply.retry_after.is_some());
}

#[test]
fn not_run_answer_uses_other_target() {
    let busy = RawTarget::start(|_| TargetReply::NotRun);
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&busy, &target]);
    for number in 0..5 {
        let reply = fixture.caller().ask(format!("order {number}").as_bytes());
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(target.call_count(), 5);
    assert!(
        busy.call_count() < 5,
        "a refusing target must get fewer requests"
    );
}

#[rstest]
#[case::missing(404)]
#[case::failed(500)]
#[case::teapot(418)]
fn service_status_passed_through(#[case] status: u16) {
    let target = RawTarget::start(move |_| TargetReply::Status(status, b"said so".to_vec()));
    let fixture = EntryFixture::start(&[&target]);
    let reply = fixture.caller().ask(b"x");
    assert_eq!((reply.status, reply.text().as_str()), (status, "said so"));
    assert_eq!(target.call_count(), 1);
}

#[rstest]
#[case::draining(TargetState::Draining)]
#[case::out(TargetState::Out)]
fn draining_target_gets_no_requests(#[case] state: TargetState) {
    let leaving = RawTarget::echo();
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&leaving, &target]);
    fixture.targets.set_state("t0", state);
    for _ in 0..10 {
        assert_eq!(fixture.caller().ask(b"x").status, 200);
    }
    assert_eq!((leaving.call_count(), target.call_count()), (0, 10));
}

/// A target accepts connections and fails every request at once, so it always has free
/// slots and would get as many requests as all others together. It is ejected if the pool's
/// budget allows it.
#[rstest]
#[case::says_so(failed)]
#[case::hangs_up(hangup)]
fn failing_target_ejected(#[case] fault: fn(&TargetCall) -> TargetReply) {
    let failing = RawTarget::start(fault);
    let target = RawTarget::echo();
    let fixture = EntryFixture::start_with(&[&failing, &target], budget_of(1));
    let caller = fixture.caller().with("deadline-ms", "300");
    let mut failed = 0;
    for _ in 0..100 {
        if caller.ask(b"x").status != 200 {
            failed += 1;
        }
    }
    assert!(
        failed <= 15,
        "{failed} of 100 requests went to the failing target"
    );
}

/// The healthy target is busy, so preferring it is not enough: queued requests would go to
/// the failing target, which always has free slots.
#[test]
fn failing_target_ejected_under_load() {
    let failing = RawTarget::start(failed);
    let target = RawTarget::start(|call| {
        thread::sleep(Duration::from_millis(10));
        TargetReply::Answer(call.body.clone())
    });
    let fixture = EntryFixture::start_with(&[&failing, &target], budget_of(1));
    fixture.slots.slots.lock().insert("t1".into(), 1);
    fixture.renew_slots();
    let calls: Vec<_> = (0..8)
        .map(|_| {
            let caller = fixture.caller();
            thread::spawn(move || (0..20).filter(|_| caller.ask(b"x").status == 500).count())
        })
        .collect();
    let failed: usize = calls.into_iter().map(|call| call.join().unwrap()).sum();
    assert!(failed <= 40, "{failed} of 160 went to the failing target");
}

/// All targets of a pool fail, as after a bad release. Ejecting them would leave the pool
/// below its budget, so they stay in use.
#[test]
fn failing_pool_not_ejected() {
    let targets = [(); 2].map(|()| RawTarget::start(failed));
    let fixture = EntryFixture::start_with(&targets.each_ref(), budget_of(2));
    for _ in 0..40 {
        assert_eq!(fixture.caller().ask(b"x").status, 500);
    }
    assert!(targets.iter().all(|target| target.call_count() >= 10));
}

fn budget_of(budget: u32) -> FixtureSetup {
    FixtureSetup {
        pool: PoolSpec {
            budget,
            ..PoolSpec::default()
        },
        ..FixtureSetup::default()
    }
}

/// All targets of a pool fail. Without a retry budget each request would be sent again and
/// again and add load to the failing pool.
#[test]
fn retries_within_budget() {
    let target = RawTarget::start(|_| TargetReply::Hangup);
    let fixture = EntryFixture::start(&[&target]);
    let caller = fixture
        .caller()
        .with("idempotent", "true")
        .with("deadline-ms", "200");
    for _ in 0..100 {
        caller.ask(b"x");
    }
    let extra = target.call_count().saturating_sub(100);
    assert!(extra <= 16 + 10, "{extra} retries for 100 requests");
}

/// The serving lease expires while a request is queued. The host may be cut off and its
/// teams' units granted to others, so the request must not be sent.
#[test]
fn gate_checked_before_first_byte() {
    let target = RawTarget::start(|call| {
        thread::sleep(Duration::from_millis(300));
        TargetReply::Answer(call.body.clone())
    });
    let setup = FixtureSetup {
        slots: 1,
        ..FixtureSetup::default()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    let caller = fixture.caller();
    let first = thread::spawn(move || caller.ask(b"first"));
    while target.call_count() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    let caller = fixture.caller();
    let second = thread::spawn(move || caller.ask(b"second"));
    thread::sleep(Duration::from_millis(50));
    *fixture.gate.0.lock() = Some(NotServing::LeaseLapsed);
    assert_eq!(first.join().unwrap().status, 200);
    let second = second.join().unwrap();
    assert_eq!((second.status, second.fate().as_str()), (503, "not-run"));
    assert_eq!(target.call_count(), 1);
}

/// A key is revoked while a request that it admitted is queued, or another secret is
/// granted under the same id.
#[rstest]
#[case::withdrawn(None)]
#[case::granted_anew(Some("secret-new"))]
fn key_withdrawn_while_queued(#[case] new_secret: Option<&str>) {
    let target = RawTarget::start(|call| {
        thread::sleep(Duration::from_millis(300));
        TargetReply::Answer(call.body.clone())
    });
    let setup = FixtureSetup {
        slots: 1,
        ..FixtureSetup::default()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    let caller = fixture.caller().with_key(support::OTHER_KEY);
    let first = thread::spawn(move || caller.ask(b"first"));
    while target.call_count() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    let caller = fixture.caller();
    let second = thread::spawn(move || caller.ask(b"second"));
    thread::sleep(Duration::from_millis(50));
    fixture.change(|config| {
        config.keys.remove("k1");
        if let Some(secret) = new_secret {
            let record = support::key_record("k1", secret, TEAM, Duration::ZERO);
            config.keys.insert("k1".into(), record);
        }
    });
    assert_eq!(first.join().unwrap().status, 200);
    let second = second.join().unwrap();
    assert_eq!((second.status, second.fate().as_str()), (401, "not-run"));
    assert_eq!(target.call_count(), 1);
}

/// The process is paused for two seconds while it connects to a target. The target must not
/// get the time left as of before the pause: it would run the request after its deadline,
/// when the team's unit belongs to another request.
#[test]
fn stale_headers_not_sent() {
    let target = RawTarget::echo();
    let clock = Arc::new(JumpClock::default());
    let setup = FixtureSetup {
        clock: clock.clone(),
        ..FixtureSetup::default()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    let mut checks = 0;
    *fixture.gate.1.lock() = Some(Box::new(move || {
        checks += 1;
        // The first check is at admission, the second one right before the first byte.
        if checks == 2 {
            *clock.0.lock() += Duration::from_secs(2);
        }
    }));
    let reply = fixture.caller().with("deadline-ms", "30000").ask(b"order");
    assert_eq!(reply.status, 200, "{}", reply.text());
    let calls = target.calls.lock();
    assert_eq!(calls.len(), 1);
    assert!(calls[0].deadline_ms <= 28_000, "{}", calls[0].deadline_ms);
}

/// A target closes the connection after receiving a request. The caller is told that the
/// request may have run, and the team's unit stays taken as long as it may be running.
#[test]
fn unknown_fate_holds_quota() {
    let target = RawTarget::start(|_| TargetReply::Hangup);
    let fixture = EntryFixture::start(&[&target]);
    let reply = fixture.caller().with("deadline-ms", "1500").ask(b"order");
    assert_eq!(reply.fate(), "may-have-run");
    assert_eq!(fixture.quotas.used_by(TEAM), 1);
    assert_eq!(fixture.server.running(&"t0".into()), 1);
    let until = Instant::now() + Duration::from_secs(20);
    while fixture.quotas.used_by(TEAM) > 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(fixture.quotas.used_by(TEAM), 0);
    assert_eq!(fixture.server.running(&"t0".into()), 0);
}

/// A target crashes with a request that had a minute left, and is back at once. Its only
/// slot must not stay idle for that minute.
#[test]
fn slot_released_after_hangup() {
    let target = faulty_first_time(hangup);
    let setup = FixtureSetup {
        slots: 1,
        ..FixtureSetup::default()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    let first = fixture.caller().with("deadline-ms", "60000").ask(b"order");
    assert_eq!(first.fate(), "may-have-run");
    let second = fixture.caller().with("deadline-ms", "20000").ask(b"next");
    assert_eq!(second.status, 200);
    // The second request's unit is released just after its response. The first one's stays
    // taken, and the target still counts as running a request.
    let until = Instant::now() + Duration::from_secs(20);
    while fixture.quotas.used_by(TEAM) > 1 && Instant::now() < until {
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(fixture.quotas.used_by(TEAM), 1);
    assert_eq!(fixture.server.running(&"t0".into()), 1);
}

/// A target may work on a request shortly beyond its deadline. Until then no other request
/// is sent to the same slot.
#[test]
fn slot_held_after_timeout() {
    let second_at = Arc::new(parking_lot::Mutex::new(None));
    let recorded = Arc::clone(&second_at);
    let calls = AtomicUsize::new(0);
    let target = RawTarget::start(move |call| {
        if calls.fetch_add(1, Ordering::AcqRel) == 0 {
            return TargetReply::Silence(Duration::from_secs(2));
        }
        *recorded.lock() = Some(Instant::now());
        TargetReply::Answer(call.body.clone())
    });
    let setup = FixtureSetup {
        slots: 1,
        ..FixtureSetup::default()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    let started = Instant::now();
    let first = fixture.caller().with("deadline-ms", "500").ask(b"order");
    assert_eq!(first.fate(), "may-have-run");
    assert_eq!(fixture.caller().ask(b"next").status, 200);
    let second_at = second_at.lock().unwrap();
    // The deadline and the minimum grace period, both counted from after `started`.
    assert!(second_at - started >= Duration::from_millis(800));
}

#[test]
fn unresponsive_target_times_out() {
    let target = RawTarget::start(|_| TargetReply::Silence(Duration::from_secs(30)));
    let fixture = EntryFixture::start(&[&target]);
    let started = Instant::now();
    let reply = fixture.caller().with("deadline-ms", "300").ask(b"order");
    assert_eq!((reply.status, reply.fate().as_str()), (504, "may-have-run"));
    assert!(started.elapsed() < Duration::from_secs(20));
}

#[test]
fn answer_too_large_refused() {
    let target = RawTarget::start(|_| TargetReply::Answer(vec![b'x'; 5000]));
    let mut setup = FixtureSetup::default();
    setup.settings.max_body = 1000;
    let fixture = EntryFixture::start_with(&[&target], setup);
    let reply = fixture.caller().ask(b"x");
    assert_eq!((reply.status, reply.fate().as_str()), (504, "ran"));
}

#[test]
fn pool_without_targets_refused() {
    let fixture = EntryFixture::start(&[]);
    let reply = fixture
        .caller()
        .post(&format!("/v1/services/{SERVICE}/requests"), b"x");
    assert_eq!((reply.status, reply.problem().as_str()), (503, "no-target"));
}
