//! Unit tests of the serving lease and the member list.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use decide::{
    lease::{LeaseMachine, LeaseMutation, LeaseOptions, LeaseRefusal},
    member::{ListAcks, ListRefusal, MemberList},
};
use model::MemberId;
use rstest::rstest;
use wire::{
    peer::Beat,
    state::{Member, MemberRecord},
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(100_000 + ms)
}

fn member(id: &str, incarnation: u64) -> Member {
    Member {
        id: id.to_owned(),
        incarnation,
        peer_address: id.to_owned(),
        ..Member::default()
    }
}

fn list(revision: u64, members: &[(&str, u64)]) -> MemberList {
    let members = members
        .iter()
        .map(|(id, incarnation)| member(id, *incarnation));
    MemberList::new(MemberRecord {
        revision,
        members: members.collect(),
        ..MemberRecord::default()
    })
}

/// Host `a` in a list with `b` and `c`, configuration 5.
fn machine(mutation: LeaseMutation) -> LeaseMachine {
    let options = LeaseOptions {
        mutation,
        ..LeaseOptions::default()
    };
    let mut lease = LeaseMachine::new(options, "a".into(), 1);
    lease.set_config(5, 5);
    lease.set_list(list(7, &[("a", 1), ("b", 2), ("c", 3)]));
    lease
}

/// Sends a heartbeat to `b` at `sent` and lets the response arrive at `heard`.
fn exchange_beats(lease: &mut LeaseMachine, sent: u64, heard: u64, answer: &Beat) {
    let b = MemberId::from("b");
    lease.tick(at(sent));
    let question = lease.next_beat(&b, at(sent));
    let answer = Beat {
        echo: question.beat,
        echo_incarnation: 1,
        ..answer.clone()
    };
    lease.handle_beat(&b, 2, &answer, at(heard));
}

fn beat(count: u64, members: u64, config: u64) -> Beat {
    Beat {
        beat: count,
        member_revision: members,
        config_revision: config,
        ..Beat::default()
    }
}

#[test]
fn check_majority_renews() {
    let mut lease = machine(LeaseMutation::None);
    assert_eq!(lease.check(at(0)), Err(LeaseRefusal::Lapsed));
    exchange_beats(&mut lease, 0, 100, &beat(1, 7, 5));
    assert_eq!(lease.check(at(1999)), Ok(()));
    assert_eq!(lease.check(at(2000)), Err(LeaseRefusal::Lapsed));
}

// Guards against a lease that counts from a late response. The response takes 1.5 s; the host would
// serve 1.5 s longer than the others assume, with a key that was withdrawn meanwhile.
#[rstest]
#[case::guarded(LeaseMutation::None, false)]
#[case::mutated(LeaseMutation::CountFromReceipt, true)]
fn check_late_response_counts_from_request(#[case] mutation: LeaseMutation, #[case] serves: bool) {
    let mut lease = machine(mutation);
    exchange_beats(&mut lease, 0, 1500, &beat(1, 7, 5));
    lease.tick(at(2500));
    assert_eq!(lease.check(at(2500)).is_ok(), serves);
}

// Guards against a lease renewed by a peer that knows a newer configuration: an operator may
// already have been told that every host has it.
#[rstest]
#[case::guarded(LeaseMutation::None, Err(LeaseRefusal::Behind))]
#[case::mutated(LeaseMutation::SkipRevision, Ok(()))]
fn check_newer_configuration_waits(
    #[case] mutation: LeaseMutation,
    #[case] verdict: Result<(), LeaseRefusal>,
) {
    let mut lease = machine(mutation);
    exchange_beats(&mut lease, 0, 10, &beat(1, 7, 6));
    assert_eq!(lease.check(at(20)), verdict);
    lease.set_config(6, 6);
    assert_eq!(lease.check(at(20)), Ok(()));
}

// Guards against a lease counted by an old list. The list changed while this host was disconnected,
// perhaps to one without it, and it would serve beside a new quorum that does not overlap its own.
#[rstest]
#[case::guarded(LeaseMutation::None, Err(LeaseRefusal::Behind))]
#[case::mutated(LeaseMutation::SkipList, Ok(()))]
fn check_newer_list_waits(
    #[case] mutation: LeaseMutation,
    #[case] verdict: Result<(), LeaseRefusal>,
) {
    let mut lease = machine(mutation);
    exchange_beats(&mut lease, 0, 10, &beat(1, 8, 5));
    assert_eq!(lease.check(at(20)), verdict);
    lease.set_list(list(8, &[("b", 2), ("c", 3)]));
    assert_eq!(lease.check(at(20)), Err(LeaseRefusal::NotListed));
}

// Guards against a response to a heartbeat of the host's last incarnation, whose number is in use
// again. The response says nothing about the present.
#[rstest]
#[case::guarded(LeaseMutation::None, false)]
#[case::mutated(LeaseMutation::AnyLife, true)]
fn check_echo_of_last_incarnation_does_not_count(
    #[case] mutation: LeaseMutation,
    #[case] serves: bool,
) {
    let mut lease = machine(mutation);
    let b = MemberId::from("b");
    lease.tick(at(0));
    lease.next_beat(&b, at(0));
    let answer = Beat {
        echo: 1,
        echo_incarnation: 0,
        ..beat(1, 7, 5)
    };
    lease.handle_beat(&b, 2, &answer, at(10));
    assert_eq!(lease.check(at(20)).is_ok(), serves);
}

// A host is paused for longer than its lease and resumes with responses waiting in its sockets.
#[test]
fn check_pause_ends_lease() {
    let mut lease = machine(LeaseMutation::None);
    exchange_beats(&mut lease, 0, 10, &beat(1, 7, 5));
    assert_eq!(lease.check(at(9000)), Err(LeaseRefusal::Lapsed));
    let b = MemberId::from("b");
    let waiting = Beat {
        echo: 1,
        echo_incarnation: 1,
        ..beat(2, 7, 5)
    };
    lease.handle_beat(&b, 2, &waiting, at(9001));
    lease.tick(at(9001));
    assert_eq!(lease.check(at(9001)), Err(LeaseRefusal::Lapsed));
}

/// Guards against a host that resumes with an expired lease and applies a change that it missed,
/// because the next change arrived just now.
#[test]
fn check_missed_change_waits_for_newest_revision() {
    let mut lease = machine(LeaseMutation::None);
    exchange_beats(&mut lease, 0, 10, &beat(1, 7, 5));
    exchange_beats(&mut lease, 9000, 9010, &beat(2, 7, 7));
    assert_eq!(lease.check(at(9020)), Err(LeaseRefusal::Behind));
    lease.set_config(6, 6);
    assert_eq!(lease.check(at(9030)), Err(LeaseRefusal::Behind));
    lease.set_config(7, 7);
    assert_eq!(lease.check(at(9040)), Ok(()));
}

#[test]
fn check_store_read_renews() {
    let mut lease = machine(LeaseMutation::None);
    lease.record_store_read(at(0));
    assert_eq!(lease.check(at(1999)), Ok(()));
    assert_eq!(lease.check(at(2000)), Err(LeaseRefusal::Lapsed));
}

// Only one host gets no heartbeats of a member. Removing the member on its report alone would
// remove a healthy host whenever a single link is cut.
#[test]
fn lost_members_need_majority() {
    let mut lease = machine(LeaseMutation::None);
    let c = MemberId::from("c");
    lease.next_beat(&c, at(0));
    exchange_beats(&mut lease, 20_000, 20_010, &beat(1, 7, 5));
    assert_eq!(lease.unresponsive_members(at(20_020)), ["c"]);
    assert!(lease.lost_members(at(20_020)).is_empty());
    let agreeing = Beat {
        silent: vec!["c".to_owned()],
        ..beat(2, 7, 5)
    };
    exchange_beats(&mut lease, 20_100, 20_110, &agreeing);
    assert_eq!(lease.lost_members(at(20_120)), ["c"]);
}

#[test]
fn has_quorum_needs_settled_members_too() {
    let first = list(1, &[("a", 1), ("b", 2), ("c", 3)]);
    let grown = first.join(member("d", 4), 0).unwrap();
    let grown = grown.join(member("e", 5), 0).unwrap();
    let grown = grown.join(member("f", 6), 0).unwrap();
    let agree = |names: &'static [&str]| move |m: &Member| names.contains(&m.id.as_str());
    assert!(!grown.has_quorum(agree(&["c", "d", "e", "f"])));
    assert!(grown.has_quorum(agree(&["b", "c", "d", "e"])));
}

#[test]
fn without_ended_excludes_members_from_quorum() {
    let full = list(1, &[("a", 1), ("b", 2), ("c", 3), ("d", 4), ("e", 5)]);
    let mut acks = ListAcks::default();
    for (id, incarnation) in [("a", 1), ("b", 2), ("c", 3)] {
        acks.record_ended(&id.into(), incarnation);
    }
    let living = full.without_ended(&acks);
    assert!(living.has_quorum(|m| m.id == "d" || m.id == "e"));
    assert!(!full.has_quorum(|m| m.id == "d" || m.id == "e"));
}

#[test]
fn settle_waits_for_quorum() {
    let first = list(1, &[("a", 1)]);
    let grown = first.join(member("b", 2), 9).unwrap();
    assert_eq!((grown.config_floor(), grown.is_settled()), (9, false));
    let mut acks = ListAcks::default();
    acks.record_held(&"a".into(), 1, grown.revision());
    assert_eq!(
        grown.settle(&acks, 9),
        Err(ListRefusal::NoQuorum(grown.revision()))
    );
    acks.record_held(&"b".into(), 2, grown.revision());
    assert!(grown.settle(&acks, 9).unwrap().is_settled());
}

#[test]
fn join_older_incarnation_is_refused() {
    let first = list(1, &[("a", 4)]);
    assert_eq!(
        first.join(member("a", 3), 0),
        Err(ListRefusal::NewerIncarnation(4))
    );
}

// The only settled member restarts, and two others join. If its vote had ended with its old
// incarnation, the two would be a quorum without it. Disconnected, it would keep serving alone with
// a key that the two withdrew.
#[test]
fn join_inherits_vote_of_old_incarnation() {
    let first = list(1, &[("a", 1)]);
    let again = first.join(member("a", 2), 0).unwrap();
    let grown = again.join(member("b", 3), 0).unwrap();
    let grown = grown.join(member("c", 4), 0).unwrap();
    assert!(!grown.has_quorum(|m| m.id == "b" || m.id == "c"));
    assert!(grown.has_quorum(|m| m.id == "a" || m.id == "c"));
    let mut acks = ListAcks::default();
    acks.record_ended(&"a".into(), 1);
    let living = grown.without_ended(&acks);
    assert!(!living.has_quorum(|m| m.id == "b" || m.id == "c"));
}

// Guards against a change that is recorded on an old state, because the quorum that held a newer
// one was asked too early or not at all.
#[rstest]
#[case::asked_before(at(1), 5, false)]
#[case::answers_with_newer(at(0), 6, false)]
#[case::confirms(at(0), 5, true)]
fn is_newest_since_needs_quorum(
    #[case] since: Duration,
    #[case] peer_config: u64,
    #[case] newest: bool,
) {
    let mut lease = machine(LeaseMutation::None);
    let acks = ListAcks::default();
    assert!(!lease.is_newest_since(&acks, since));
    exchange_beats(&mut lease, 0, 10, &beat(1, 7, peer_config));
    assert_eq!(lease.is_newest_since(&acks, since), newest);
    assert_eq!(lease.newest_peer_config(), peer_config);
}

// Guards against a change that counts as accepted because peers hold another configuration of the
// same revision, which a store that lost changes can bring about.
#[rstest]
#[case::same(5, true)]
#[case::other(4, false)]
fn quorum_holds_config_compares_content(#[case] hash: u64, #[case] holds: bool) {
    let mut lease = machine(LeaseMutation::None);
    let answer = Beat {
        config_hash: hash,
        ..beat(1, 7, 5)
    };
    exchange_beats(&mut lease, 0, 10, &answer);
    let list = lease.list().clone();
    assert_eq!(lease.quorum_holds_config(&list, 5), holds);
}
