//! The store is down, slow, loses responses or hangs, and operators make conflicting changes.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

mod proof_common;

use std::{thread, time::Duration};

use fake::{FaultRate, StoreFaults};
use proof::{ChangeResult, FleetPlan, await_true};
use proof_common::{EVENT_TIMEOUT, ProofFixture, TeamLimits, manifest};

fn withdraw(fixture: &ProofFixture, index: usize, change_id: &str) -> ChangeResult {
    let key = &fixture.keys[1].key_id;
    fixture
        .fleet
        .operator
        .withdraw(fixture.place(index), change_id, key)
}

#[test]
fn store_down_long() {
    // The store is down for ten lease lengths; callers must still be served. The withdrawal of a
    // key must not be accepted, and the key stays valid; once the store is back, the same change
    // is accepted and the key stops working.
    let fixture = ProofFixture::start(21, &FleetPlan::default());
    let crew = fixture.crew();
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    fixture.fleet.set_store(None, &down).unwrap();
    for member in ["e1", "e2", "e3"] {
        fixture.fleet.set_store(Some(member), &down).unwrap();
    }
    for round in 0..5 {
        thread::sleep(Duration::from_secs(4));
        fixture.expect_answers(&crew, 40);
        if round == 2 {
            let outcome = withdraw(&fixture, 0, "withdraw");
            let accepted = matches!(outcome, ChangeResult::Accepted { .. });
            assert!(!accepted, "accepted without a store: {outcome:?}");
        }
    }
    for entry in &fixture.fleet.entries {
        assert!(
            fixture.fleet.operator.is_ready(&entry.place),
            "{}",
            fixture.fleet.logs()
        );
    }
    let up = StoreFaults::default();
    for member in ["e1", "e2", "e3"] {
        fixture.fleet.set_store(Some(member), &up).unwrap();
    }
    fixture.expect_withdrawn(1);
    thread::sleep(Duration::from_secs(4));
    crew.finish();
    fixture.expect_valid_history();
}

#[test]
fn store_slow() {
    // Each call of the store takes 400 ms, close to the client timeout. Requests must not wait
    // for the store, and changes must still be accepted.
    let fixture = ProofFixture::start(22, &FleetPlan::default());
    let crew = fixture.crew();
    let slow = StoreFaults {
        slow_ms: 400,
        ..StoreFaults::default()
    };
    fixture.fleet.set_store(None, &slow).unwrap();
    fixture.expect_withdrawn(2);
    thread::sleep(Duration::from_secs(4));
    fixture.expect_answers(&crew, 100);
    crew.finish();
    fixture.expect_valid_history();
}

#[test]
fn store_answers_lost() {
    // The store applies each write and loses half of the responses. The operator retries each
    // change under its id until it is accepted; each must be applied once, at one revision.
    let fixture = ProofFixture::start(23, &FleetPlan::default());
    let crew = fixture.crew();
    let lossy = StoreFaults {
        lose_writes: FaultRate::by_chance(0.5),
        seed: 23,
        ..StoreFaults::default()
    };
    fixture.fleet.set_store(None, &lossy).unwrap();
    for round in 0..6_u32 {
        let limits: TeamLimits = [("weights", 100 + round), ("coding", 100 + round)];
        let (text, id) = (manifest(3, &limits), format!("round-{round}"));
        let mut asked = 0;
        let operator = &fixture.fleet.operator;
        let accepted = await_true(EVENT_TIMEOUT, || {
            let place = fixture.place(asked % 3);
            asked += 1;
            let outcome = operator.apply(place, &id, None, &text, &limits);
            matches!(outcome, ChangeResult::Accepted { .. })
        });
        assert!(accepted, "round {round}\n{}", fixture.fleet.logs());
    }
    fixture.expect_answers(&crew, 60);
    crew.finish();
    fixture.expect_valid_history();
}

#[test]
fn operators_race() {
    // Two operators apply different manifests against the same revision at the same time,
    // through different entry hosts. One must win and the other get a conflict; if
    // both were accepted, one change would silently undo the other.
    let fixture = ProofFixture::start(24, &FleetPlan::default());
    let crew = fixture.crew();
    let first = fixture
        .fleet
        .operator
        .status(fixture.place(0))
        .unwrap()
        .revision;
    for round in 0..40_u32 {
        let base = first + u64::from(round);
        let outcomes: Vec<ChangeResult> = thread::scope(|scope| {
            let fixture = &fixture;
            let racers: Vec<_> = (0..2_u32)
                .map(|racer| scope.spawn(move || race(fixture, round, racer, base)))
                .collect();
            racers
                .into_iter()
                .map(|racer| racer.join().unwrap())
                .collect()
        });
        let won = |outcome: &&ChangeResult| matches!(outcome, ChangeResult::Accepted { .. });
        assert_eq!(
            outcomes.iter().filter(won).count(),
            1,
            "{outcomes:?}\n{}",
            fixture.fleet.logs()
        );
        let lost = |outcome: &&ChangeResult| matches!(outcome, ChangeResult::Conflict { .. });
        assert_eq!(
            outcomes.iter().filter(lost).count(),
            1,
            "{outcomes:?}\n{}",
            fixture.fleet.logs()
        );
    }
    crew.finish();
    fixture.expect_valid_history();
}

fn race(fixture: &ProofFixture, round: u32, racer: u32, base: u64) -> ChangeResult {
    let units = 100 + 10 * round + racer;
    let limits: TeamLimits = [("weights", units), ("coding", units)];
    let (text, id) = (manifest(3, &limits), format!("race-{round}-{racer}"));
    let place = fixture.place(racer as usize);
    // A host that does not have the base revision yet would also answer with a conflict.
    let current = await_true(EVENT_TIMEOUT, || {
        let status = fixture.fleet.operator.status(place);
        status.is_ok_and(|status| status.revision >= base)
    });
    assert!(
        current,
        "{} lacks {base}\n{}",
        place.member,
        fixture.fleet.logs()
    );
    fixture
        .fleet
        .operator
        .apply(place, &id, Some(base), &text, &limits)
}

#[test]
fn watch_hangs() {
    // The store watches of one entry host hang, while its other calls work. A key is withdrawn
    // through another host. The first host must learn of it from its peers or by reading the
    // store before the withdrawal counts as in force.
    let fixture = ProofFixture::start(25, &FleetPlan::default());
    let crew = fixture.crew();
    let hung = StoreFaults {
        watch_hang: true,
        ..StoreFaults::default()
    };
    fixture.fleet.set_store(Some("e2"), &hung).unwrap();
    thread::sleep(Duration::from_secs(2));
    fixture.expect_withdrawn(0);
    thread::sleep(Duration::from_secs(5));
    fixture.expect_answers(&crew, 20);
    crew.finish();
    fixture.expect_valid_history();
}

#[test]
fn watch_shows_old_values() {
    // The watches of two entry hosts return the value before the newest one, as a lagging
    // replica of the store does. A host that applied it would revert a limit that the operator
    // has changed, and its configuration would alternate between the two.
    let mut fixture = ProofFixture::start(26, &FleetPlan::default());
    let crew = fixture.crew();
    let old = StoreFaults {
        watch_old: true,
        ..StoreFaults::default()
    };
    fixture.fleet.set_store(Some("e2"), &old).unwrap();
    fixture.fleet.set_store(Some("e3"), &old).unwrap();
    fixture.while_polling(|fixture| {
        for round in 0..4 {
            fixture.change_limits(round);
            thread::sleep(Duration::from_secs(1));
        }
        thread::sleep(Duration::from_secs(3));
    });
    fixture.expect_answers(&crew, 20);
    crew.finish();
    fixture.expect_valid_history();
}
