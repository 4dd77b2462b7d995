//! Unit tests of the quota state machine.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use decide::{
    member::MemberList,
    quota::{
        QuotaAction, QuotaMachine, QuotaMutation, QuotaOptions, QuotaWrite, TeamLimit, WriteOutcome,
    },
};
use model::TeamId;
use rstest::rstest;
use wire::{
    peer::QuotaAsk,
    state::{Member, MemberRecord, QuotaGrant, QuotaRecord},
};

const TEAM: &str = "panels";

fn at(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

fn list(revision: u64, members: &[(&str, u64)]) -> MemberList {
    let members = members.iter().map(|(id, incarnation)| Member {
        id: (*id).to_owned(),
        incarnation: *incarnation,
        peer_address: (*id).to_owned(),
        ..Member::default()
    });
    MemberList::new(MemberRecord {
        revision,
        members: members.collect(),
        ..MemberRecord::default()
    })
}

fn record(limit: u32, config: u64, grants: &[(&str, u64, u32, u64)]) -> QuotaRecord {
    let grants = grants
        .iter()
        .map(|(id, incarnation, units, revision)| QuotaGrant {
            member: (*id).to_owned(),
            incarnation: *incarnation,
            units: *units,
            member_revision: *revision,
            ..QuotaGrant::default()
        });
    QuotaRecord {
        team: TEAM.to_owned(),
        limit,
        config_revision: config,
        grants: grants.collect(),
    }
}

/// Host `a` in a list with `b`; the team's limit is 10.
fn machine(mutation: QuotaMutation) -> QuotaMachine {
    let options = QuotaOptions {
        mutation,
        ..QuotaOptions::default()
    };
    let mut machine = QuotaMachine::new(options, "a".into(), 1);
    machine.set_members(&list(1, &[("a", 1), ("b", 2)]), at(0));
    set_limit(&mut machine, 10, 1);
    machine
}

fn set_limit(machine: &mut QuotaMachine, limit: u32, since: u64) {
    let limits = BTreeMap::from([(TeamId::from(TEAM), TeamLimit { limit, since })]);
    machine.set_limits(since, &limits);
}

fn take(machine: &mut QuotaMachine, count: usize) -> usize {
    (0..count)
        .filter(|_| machine.try_take(&TEAM.into()))
        .count()
}

fn written(actions: Vec<QuotaAction>) -> Option<QuotaWrite> {
    actions.into_iter().find_map(|action| match action {
        QuotaAction::Write(write) => Some(write),
        _ => None,
    })
}

#[test]
fn try_take_stays_within_grant() {
    let mut machine = machine(QuotaMutation::None);
    assert_eq!(take(&mut machine, 5), 0);
    let held = record(10, 1, &[("a", 1, 4, 1), ("b", 2, 6, 1)]);
    machine.apply_read(&TEAM.into(), 1, held, at(0));
    assert_eq!(take(&mut machine, 9), 4);
    machine.give_back(&TEAM.into());
    assert_eq!(take(&mut machine, 9), 1);
}

#[test]
fn tick_first_use_writes_equal_parts() {
    let mut machine = machine(QuotaMutation::None);
    machine.set_waiting(&TEAM.into(), 1);
    assert_eq!(machine.tick(at(0)), vec![QuotaAction::Read(TEAM.into())],);
    machine.apply_read(&TEAM.into(), 0, QuotaRecord::default(), at(1));
    let write = written(machine.tick(at(2))).unwrap();
    let equal = record(10, 1, &[("a", 1, 5, 1), ("b", 2, 5, 1)]);
    assert_eq!((write.expect, write.record), (0, equal));
    assert_eq!(take(&mut machine, 9), 0);
    machine.handle_write_outcome(&TEAM.into(), WriteOutcome::Done(1), at(3));
    assert_eq!(take(&mut machine, 9), 5);
}

// Guards against units used twice: a host that is asked for units must not start work on them,
// because the asking host may write them into its own grant.
#[test]
fn handle_ask_reserves_units_first() {
    let mut machine = machine(QuotaMutation::None);
    let held = record(10, 1, &[("a", 1, 10, 1)]);
    machine.apply_read(&TEAM.into(), 1, held, at(0));
    assert_eq!(take(&mut machine, 4), 4);
    let ask = QuotaAsk {
        team: TEAM.to_owned(),
        version: 1,
        units: 8,
        need: 8,
        ceiling: 0,
    };
    let actions = machine.handle_ask(&"b".into(), &ask, at(10));
    let [QuotaAction::Release(to, release)] = actions.as_slice() else {
        panic!("no release: {actions:?}");
    };
    assert_eq!((to.as_str(), release.version, release.units), ("b", 1, 6));
    assert_eq!(take(&mut machine, 9), 0);
    machine.give_back(&TEAM.into());
    assert_eq!(take(&mut machine, 9), 1);
}

// Guards against work above the limit after it rose and fell while this host missed the rise. The
// old grant fits the limit in force, but other hosts still run work of the higher limit.
#[rstest]
#[case::guarded(QuotaMutation::None, 0)]
#[case::mutated(QuotaMutation::IgnoreLowered, 4)]
fn try_take_waits_after_missed_limit_change(
    #[case] mutation: QuotaMutation,
    #[case] started: usize,
) {
    let mut machine = machine(mutation);
    let held = record(10, 1, &[("a", 1, 4, 1), ("b", 2, 6, 1)]);
    machine.apply_read(&TEAM.into(), 1, held, at(0));
    set_limit(&mut machine, 10, 3);
    assert_eq!(take(&mut machine, 9), started);
}

// Guards against units that are reclaimed while their work runs: host `c` joined and started work
// unseen by this host, whose member list is older than the grant.
#[rstest]
#[case::guarded(QuotaMutation::None, None)]
#[case::mutated(QuotaMutation::TrustOldList, Some(10))]
fn tick_keeps_units_of_holder_missing_from_old_list(
    #[case] mutation: QuotaMutation,
    #[case] raised: Option<u32>,
) {
    let mut machine = machine(mutation);
    let held = record(10, 1, &[("a", 1, 5, 1), ("c", 3, 5, 2)]);
    machine.apply_read(&TEAM.into(), 1, held, at(0));
    machine.set_members(&list(3, &[("a", 1), ("b", 2)]), at(70_000));
    assert_eq!(take(&mut machine, 5), 5);
    machine.set_waiting(&TEAM.into(), 5);
    let write = written(machine.tick(at(70_001)));
    let units = write.map(|write| write.record.grants[0].units);
    assert_eq!(units, raised);
    if raised.is_none() {
        let write = written(machine.tick(at(140_000))).unwrap();
        assert_eq!(write.record.grants[0].units, 10);
    }
}

/// Returns the record with another longest run time for one grant.
fn with_max_run_time(mut record: QuotaRecord, member: &str, longest_ms: u64) -> QuotaRecord {
    let mut grants = record.grants.iter_mut();
    let grant = grants.find(|grant| grant.member == member).unwrap();
    grant.longest_ms = longest_ms;
    record
}

/// Guards against a team that is locked out for a minute after losing a host whose work ended
/// within seconds.
#[rstest]
#[case::short(10_000, 12_500)]
#[case::any(0, 62_500)]
fn tick_frees_units_of_lost_holder_after_longest_work(
    #[case] longest_ms: u64,
    #[case] free_ms: u64,
) {
    let mut machine = machine(QuotaMutation::None);
    let held = record(10, 1, &[("a", 1, 5, 1), ("b", 2, 5, 1)]);
    machine.apply_read(
        &TEAM.into(),
        1,
        with_max_run_time(held, "b", longest_ms),
        at(0),
    );
    machine.set_members(&list(2, &[("a", 1)]), at(1000));
    assert_eq!(take(&mut machine, 5), 5);
    machine.set_waiting(&TEAM.into(), 5);
    assert_eq!(written(machine.tick(at(999 + free_ms))), None);
    let write = written(machine.tick(at(1000 + free_ms))).unwrap();
    assert_eq!(write.record.grants[0].units, 10);
}

/// Guards against long work under a grant for short work: its units would be free before it ends.
#[test]
fn try_take_for_long_work_waits_for_its_grant() {
    let (mut machine, team) = (machine(QuotaMutation::None), TeamId::from(TEAM));
    let (short, long) = (Duration::from_secs(5), Duration::from_secs(30));
    let held = record(10, 1, &[("a", 1, 5, 1), ("b", 2, 5, 1)]);
    machine.apply_read(&team, 1, held.clone(), at(0));
    assert!(machine.try_take_for(&team, short));
    let write = written(machine.tick(at(1000))).unwrap();
    assert_eq!(write.record, with_max_run_time(held.clone(), "a", 10_000));
    assert!(
        !machine.try_take_for(&team, long),
        "the pending write allows only short work"
    );
    machine.handle_write_outcome(&team, WriteOutcome::Done(2), at(1010));
    assert!(!machine.try_take_for(&team, long));
    let write = written(machine.tick(at(2000))).unwrap();
    assert_eq!(write.record, held);
    assert!(
        !machine.try_take_for(&team, long),
        "the grant for long work is not stored yet"
    );
    machine.handle_write_outcome(&team, WriteOutcome::Done(3), at(2010));
    assert!(machine.try_take_for(&team, long));
    assert_eq!(written(machine.tick(at(3000))), None);
    machine.give_back_long(&team);
    assert_eq!(
        written(machine.tick(at(4000))),
        None,
        "long work ended too recently"
    );
    assert!(written(machine.tick(at(63_000))).is_some());
}

#[test]
fn tick_idle_does_nothing() {
    let mut machine = machine(QuotaMutation::None);
    let held = record(10, 1, &[("a", 1, 4, 1), ("b", 2, 6, 1)]);
    machine.apply_read(&TEAM.into(), 1, held, at(0));
    for round in 0..1000 {
        assert_eq!(machine.tick(at(round * 25)), Vec::new());
    }
}
