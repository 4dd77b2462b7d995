//! Queues, shares, limits and early refusals when there are more requests than slots.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use ports::TeamUse;
use rstest::rstest;
use support::{
    CallReply, Caller, EntryFixture, FixtureSetup, JumpClock, OTHER_KEY, OTHER_TEAM, RawTarget,
    StepClock, TEAM, TargetReply,
};

const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn slow_target(service: Duration) -> RawTarget {
    RawTarget::start(move |call| {
        thread::sleep(service);
        TargetReply::Answer(call.body.clone())
    })
}

/// A target that responds only after its gate is opened.
fn gated_target() -> (RawTarget, Arc<AtomicBool>) {
    let gate = Arc::new(AtomicBool::new(false));
    let opened = Arc::clone(&gate);
    let target = RawTarget::start(move |call| {
        while !opened.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(1));
        }
        TargetReply::Answer(call.body.clone())
    });
    (target, gate)
}

/// A target whose requests take `service` on the clock of the entry server.
fn stepped_target(clock: &Arc<StepClock>, service: Duration) -> RawTarget {
    let clock = Arc::clone(clock);
    RawTarget::start(move |call| {
        clock.step(service);
        TargetReply::Answer(call.body.clone())
    })
}

fn one_slot() -> FixtureSetup {
    FixtureSetup {
        slots: 1,
        ..FixtureSetup::default()
    }
}

fn one_slot_with_clock(clock: Arc<StepClock>) -> FixtureSetup {
    FixtureSetup {
        clock,
        ..one_slot()
    }
}

fn ask_in_background(caller: Caller, body: &str) -> JoinHandle<CallReply> {
    let body = body.to_owned();
    thread::spawn(move || caller.ask(body.as_bytes()))
}

fn wait_for(what: &str, mut reached: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_LIMIT;
    while !reached() {
        assert!(Instant::now() < until, "{what} was not reached");
        thread::sleep(Duration::from_millis(2));
    }
}

fn queued_count(fixture: &EntryFixture, team: &str) -> u32 {
    let reports = fixture.slots.reports.lock();
    let last = reports.last();
    last.and_then(|demand| demand.teams.iter().find(|demand| demand.team == team))
        .map_or(0, |demand| demand.queued)
}

/// Sets the number of slots, for example to zero to stop all starts.
fn set_slots(fixture: &EntryFixture, slots: u32) {
    fixture.slots.slots.lock().insert("t0".into(), slots);
    fixture.renew_slots();
}

#[test]
fn slots_never_exceeded() {
    let (target, gate) = gated_target();
    let setup = FixtureSetup {
        slots: 3,
        clock: Arc::new(StepClock::default()),
        ..FixtureSetup::default()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    let calls: Vec<_> = (0..60)
        .map(|number| ask_in_background(fixture.caller(), &format!("{number}")))
        .collect();
    wait_for("full slots", || target.call_count() >= 3);
    gate.store(true, Ordering::Release);
    for (number, call) in calls.into_iter().enumerate() {
        assert_eq!(call.join().unwrap().text(), format!("{number}"));
    }
    assert_eq!(target.most_running.load(Ordering::Acquire), 3);
}

/// Two teams with equal shares; one queues five times as many requests. The other one's
/// requests must not wait behind them.
#[test]
fn shares_under_saturation() {
    let clock = Arc::new(StepClock::default());
    let target = stepped_target(&clock, Duration::from_millis(10));
    let fixture = EntryFixture::start_with(&[&target], one_slot_with_clock(clock));
    set_slots(&fixture, 0);
    let flooding = fixture.caller();
    let other = fixture.caller().with_key(OTHER_KEY);
    let calls: Vec<_> = (0..50)
        .map(|_| ask_in_background(flooding.clone(), "x"))
        .chain((0..10).map(|_| ask_in_background(other.clone(), "y")))
        .collect();
    wait_for("queues", || {
        queued_count(&fixture, TEAM) == 50 && queued_count(&fixture, OTHER_TEAM) == 10
    });
    set_slots(&fixture, 1);
    for call in calls {
        assert_eq!(call.join().unwrap().status, 200);
    }
    let order = target.calls.lock();
    let last = order
        .iter()
        .rposition(|call| call.team == OTHER_TEAM)
        .unwrap();
    assert!(
        last <= 22,
        "the last request of the other team ran at position {last} of 60"
    );
}

/// Many slots become free at the same moment. A team must not get all of them because its
/// virtual time is slightly lower.
#[test]
fn free_slots_divided() {
    let (target, gate) = gated_target();
    let fixture = EntryFixture::start_with(&[&target], one_slot_with_clock(Arc::default()));
    set_slots(&fixture, 0);
    let calls: Vec<_> = (0..8)
        .map(|_| ask_in_background(fixture.caller(), "x"))
        .chain((0..8).map(|_| ask_in_background(fixture.caller().with_key(OTHER_KEY), "y")))
        .collect();
    wait_for("queues", || {
        queued_count(&fixture, TEAM) == 8 && queued_count(&fixture, OTHER_TEAM) == 8
    });
    set_slots(&fixture, 8);
    // None of the first requests may finish before all of them are counted.
    wait_for("full slots", || target.call_count() >= 8);
    let first: Vec<_> = target
        .calls
        .lock()
        .iter()
        .map(|call| call.team.clone())
        .collect();
    gate.store(true, Ordering::Release);
    for call in calls {
        assert_eq!(call.join().unwrap().status, 200);
    }
    assert_eq!(first.len(), 8);
    assert_eq!(first.iter().filter(|team| *team == TEAM).count(), 4);
}

/// Usage on other hosts counts: a team with much usage elsewhere goes second here.
#[test]
fn virtual_time_includes_fleet_usage() {
    let clock = Arc::new(StepClock::default());
    let target = stepped_target(&clock, Duration::from_millis(20));
    let fixture = EntryFixture::start_with(&[&target], one_slot_with_clock(clock));
    let blocker = ask_in_background(fixture.caller(), "blocker");
    wait_for("blocker", || target.call_count() == 1);
    *fixture.slots.teams.lock() = [(TEAM, 60_000), (OTHER_TEAM, 0)]
        .into_iter()
        .map(|(team, virtual_ms)| TeamUse {
            team: team.into(),
            slots: 1,
            virtual_ms,
        })
        .collect();
    set_slots(&fixture, 0);
    let calls: Vec<_> = (0..3)
        .flat_map(|_| {
            [
                ask_in_background(fixture.caller(), "x"),
                ask_in_background(fixture.caller().with_key(OTHER_KEY), "y"),
            ]
        })
        .collect();
    wait_for("queues", || {
        queued_count(&fixture, TEAM) == 3 && queued_count(&fixture, OTHER_TEAM) == 3
    });
    set_slots(&fixture, 1);
    for call in calls {
        assert_eq!(call.join().unwrap().status, 200);
    }
    assert_eq!(blocker.join().unwrap().status, 200);
    let order: Vec<String> = target.calls.lock()[1..]
        .iter()
        .map(|call| call.team.clone())
        .collect();
    assert_eq!(order[..3], [OTHER_TEAM; 3]);
}

/// An urgent request goes before the other queued requests of its team.
#[test]
fn urgent_request_first() {
    let target = slow_target(Duration::from_millis(5));
    let fixture = EntryFixture::start_with(&[&target], one_slot());
    set_slots(&fixture, 0);
    let calls: Vec<_> = (0..5)
        .map(|_| ask_in_background(fixture.caller(), "batch"))
        .collect();
    wait_for("queue", || queued_count(&fixture, TEAM) == 5);
    let quote = ask_in_background(fixture.caller().with("urgent", "true"), "quote");
    wait_for("quote", || queued_count(&fixture, TEAM) == 6);
    set_slots(&fixture, 1);
    assert_eq!(quote.join().unwrap().status, 200);
    assert_eq!(target.calls.lock()[0].body, b"quote");
    for call in calls {
        assert_eq!(call.join().unwrap().status, 200);
    }
}

/// Requests of a team at its limit wait without delaying those of another team.
#[test]
fn quota_blocked_team_blocks_no_other() {
    let target = slow_target(Duration::from_millis(20));
    let fixture = EntryFixture::start(&[&target]);
    fixture.quotas.limits.lock().insert(TEAM.into(), 0);
    let calls: Vec<_> = (0..3)
        .map(|_| ask_in_background(fixture.caller(), "x"))
        .collect();
    wait_for("report of waiting requests", || {
        fixture.quotas.waiting.lock().get(TEAM).copied() == Some(3)
    });
    let other = fixture.caller().with_key(OTHER_KEY).ask(b"y");
    assert_eq!(other.status, 200);
    fixture.quotas.limits.lock().insert(TEAM.into(), 1);
    for call in calls {
        assert_eq!(call.join().unwrap().status, 200);
    }
    assert_eq!(fixture.quotas.most_used.lock()[TEAM], 1);
    wait_for("report that none is waiting", || {
        fixture.quotas.waiting.lock().get(TEAM).copied() == Some(0)
    });
}

/// Guards against a host drawing more units than its slots can use: it has a long queue and
/// few slots, and must not report the length of its queue as its need.
#[test]
fn quota_waiting_limited_by_slots() {
    let target = slow_target(Duration::from_millis(20));
    let fixture = EntryFixture::start(&[&target]);
    fixture.quotas.limits.lock().insert(TEAM.into(), 0);
    let calls: Vec<_> = (0..40)
        .map(|_| ask_in_background(fixture.caller(), "x"))
        .collect();
    wait_for("queue", || queued_count(&fixture, TEAM) == 40);
    wait_for("report of waiting requests", || {
        fixture.quotas.waiting.lock().get(TEAM).copied() == Some(8)
    });
    fixture.quotas.limits.lock().insert(TEAM.into(), 8);
    for call in calls {
        assert_eq!(call.join().unwrap().status, 200);
    }
}

#[test]
fn deadline_at_team_limit() {
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&target]);
    fixture.quotas.limits.lock().insert(TEAM.into(), 0);
    let reply = fixture.caller().with("deadline-ms", "200").ask(b"x");
    assert_eq!(
        (reply.status, reply.problem().as_str()),
        (429, "team-limit")
    );
    assert_eq!(reply.fate(), "not-run");
    assert!(reply.retry_after.is_some());
    assert_eq!(target.call_count(), 0);
}

#[test]
fn deadline_without_slots() {
    let target = RawTarget::echo();
    let setup = FixtureSetup {
        slots: 0,
        ..FixtureSetup::default()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    let reply = fixture.caller().with("deadline-ms", "200").ask(b"x");
    assert_eq!((reply.status, reply.problem().as_str()), (504, "deadline"));
    assert_eq!(reply.fate(), "not-run");
}

/// A request that can't be started before its deadline is refused at once, so that its
/// caller can try elsewhere.
#[test]
fn deadline_unreachable_refused_at_once() {
    let target = slow_target(Duration::from_millis(50));
    let fixture = EntryFixture::start_with(&[&target], one_slot());
    for _ in 0..10 {
        assert_eq!(fixture.caller().ask(b"warm").status, 200);
    }
    set_slots(&fixture, 0);
    let calls: Vec<_> = (0..80)
        .map(|_| ask_in_background(fixture.caller(), "x"))
        .collect();
    wait_for("queue", || queued_count(&fixture, TEAM) == 80);
    set_slots(&fixture, 1);
    let before = target.call_count();
    let reply = fixture.caller().with("deadline-ms", "1000").ask(b"late");
    assert_eq!((reply.status, reply.problem().as_str()), (504, "deadline"));
    assert_eq!(reply.fate(), "not-run");
    assert!(reply.json()["retry_after_ms"].as_u64().unwrap() > 500);
    assert!(
        target.call_count() - before < 20,
        "the request was not refused before its deadline"
    );
    for call in calls {
        call.join().unwrap();
    }
}

/// Guards against wasted slots under overload: each request gets a slot just before its
/// deadline, and the response comes too late. Requests that waited too long must be refused
/// as "not run", so that the slots go to requests that can still finish in time.
#[test]
fn overload_refuses_late_requests() {
    let clock = Arc::new(JumpClock::default());
    let target = slow_target(Duration::from_millis(50));
    let setup = FixtureSetup {
        clock: clock.clone(),
        ..one_slot()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    for _ in 0..10 {
        assert_eq!(fixture.caller().ask(b"warm").status, 200);
    }
    set_slots(&fixture, 0);
    let started = Instant::now();
    let mut calls = Vec::new();
    for number in 0..60 {
        let deadline = format!("{}", 8000 + 20 * number);
        calls.push(ask_in_background(
            fixture.caller().with("deadline-ms", &deadline),
            "x",
        ));
        thread::sleep(Duration::from_millis(5));
    }
    wait_for("queue", || queued_count(&fixture, TEAM) == 60);
    // Independent of the time spent so far, the first request has half a second left.
    *clock.0.lock() = Duration::from_millis(7500).saturating_sub(started.elapsed());
    set_slots(&fixture, 1);
    let replies: Vec<CallReply> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    let answered = replies.iter().filter(|reply| reply.status == 200).count();
    let late = replies
        .iter()
        .filter(|reply| reply.status != 200 && reply.fate() == "may-have-run");
    let late = late.count();
    assert!(
        late * 8 < answered,
        "{answered} answered, {late} may have run"
    );
}

/// A team floods a pool with a bounded queue. Its own requests are refused, and a request
/// of another team is still queued.
#[test]
fn queue_full_refuses_longest_team() {
    let target = slow_target(Duration::from_millis(20));
    let mut setup = one_slot();
    setup.settings.max_queue = 20;
    let fixture = EntryFixture::start_with(&[&target], setup);
    set_slots(&fixture, 0);
    let calls: Vec<_> = (0..60)
        .map(|_| ask_in_background(fixture.caller(), "x"))
        .collect();
    wait_for("full queue", || {
        queued_count(&fixture, TEAM) == 20
            && calls.iter().filter(|call| call.is_finished()).count() == 40
    });
    let other = ask_in_background(fixture.caller().with_key(OTHER_KEY), "y");
    wait_for("other team", || queued_count(&fixture, OTHER_TEAM) == 1);
    set_slots(&fixture, 1);
    let other = other.join().unwrap();
    assert_eq!(other.status, 200, "{}", other.text());
    let mut counts: HashMap<u16, usize> = HashMap::new();
    for call in calls {
        let reply = call.join().unwrap();
        *counts.entry(reply.status).or_default() += 1;
        if reply.status != 200 {
            assert_eq!(reply.problem(), "queue-full");
            assert_eq!(reply.fate(), "not-run");
            assert!(reply.retry_after.is_some());
        }
    }
    assert_eq!((counts[&200], counts[&429]), (19, 41));
}

/// The caller of a queued request disconnects. The request must not use a slot.
#[test]
fn abandoned_request_not_started() {
    let target = slow_target(Duration::from_millis(300));
    let fixture = EntryFixture::start_with(&[&target], one_slot());
    let first = ask_in_background(fixture.caller(), "first");
    wait_for("first", || target.call_count() == 1);
    set_slots(&fixture, 0);
    {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(fixture.server.caller_address()).unwrap();
        let text = format!(
            "POST /v1/services/{}/requests HTTP/1.1\r\nHost: e1\r\n\
             Authorization: Bearer {}\r\nContent-Length: 1\r\n\r\nx",
            support::SERVICE,
            support::KEY
        );
        stream.write_all(text.as_bytes()).unwrap();
        wait_for("queued", || queued_count(&fixture, TEAM) == 1);
    }
    wait_for("removed from the queue", || {
        queued_count(&fixture, TEAM) == 0
    });
    set_slots(&fixture, 1);
    assert_eq!(first.join().unwrap().status, 200);
    assert_eq!(target.call_count(), 1);
}

#[rstest]
#[case::one_host(vec![("e1", 1)], 8)]
#[case::seven_hosts(vec![("e1", 1), ("e2", 1), ("e3", 1), ("e4", 1), ("e5", 1), ("e6", 1), ("e7", 1)], 2)]
fn connections_within_share(#[case] members: Vec<(&'static str, u64)>, #[case] share: usize) {
    let target = slow_target(Duration::from_millis(5));
    let mut setup = FixtureSetup {
        members,
        clock: Arc::new(StepClock::default()),
        ..FixtureSetup::default()
    };
    setup.pool.connections = 14;
    let fixture = EntryFixture::start_with(&[&target], setup);
    let calls: Vec<_> = (0..50)
        .map(|_| ask_in_background(fixture.caller(), "x"))
        .collect();
    for call in calls {
        assert_eq!(call.join().unwrap().status, 200);
    }
    let most = target.most_connections.load(Ordering::Acquire);
    assert!(most <= share, "{most} connections");
}

#[test]
fn demand_reported() {
    let target = slow_target(Duration::from_millis(50));
    let fixture = EntryFixture::start_with(&[&target], one_slot());
    let calls: Vec<_> = (0..6)
        .map(|_| ask_in_background(fixture.caller(), "x"))
        .collect();
    for call in calls {
        call.join().unwrap();
    }
    wait_for("last report", || {
        let reports = fixture.slots.reports.lock();
        let last = reports.last();
        last.is_some_and(|demand| {
            let idle = |team: &ports::TeamDemand| team.running + team.queued == 0;
            demand.teams.iter().all(idle) && demand.in_flight.is_empty()
        })
    });
    let reports = fixture.slots.reports.lock();
    let used: u64 = reports
        .iter()
        .flat_map(|demand| &demand.teams)
        .map(|team| team.used_ms)
        .sum();
    assert!(used >= 290, "{used} ms of about 300 were reported");
    assert!(reports.iter().any(|demand| !demand.in_flight.is_empty()));
}
