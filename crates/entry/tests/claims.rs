//! Requests run at most once across entry hosts, also when a caller repeats them on another
//! host.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use ports::InboundMessage;
use support::{EntryFixture, FixtureSetup, LinkMesh, RawTarget};
use wire::peer::{ClaimReply, ClaimVerdict, envelope::Body};

const MEMBERS: [(&str, u64); 3] = [("e1", 1), ("e2", 1), ("e3", 1)];

fn entry_host(target: &RawTarget, mesh: &Arc<LinkMesh>, own: usize) -> EntryFixture {
    entry_host_with_members(target, mesh, own, MEMBERS.to_vec())
}

fn entry_host_with_members(
    target: &RawTarget,
    mesh: &Arc<LinkMesh>,
    own: usize,
    members: Vec<(&'static str, u64)>,
) -> EntryFixture {
    let setup = FixtureSetup {
        members,
        own,
        mesh: Arc::clone(mesh),
        ..FixtureSetup::default()
    };
    EntryFixture::start_with(&[target], setup)
}

/// Guards against a second run when a caller times out and repeats a request on another
/// entry host.
#[test]
fn claim_repeated_through_another_host() {
    let target = RawTarget::echo();
    let mesh = Arc::default();
    let hosts: Vec<EntryFixture> = (0..3).map(|own| entry_host(&target, &mesh, own)).collect();
    let id = hosts[0].caller().mint();
    let first = hosts[1].caller().with("request-id", &id).ask(b"order");
    assert_eq!((first.status, first.request.as_str()), (200, id.as_str()));
    for fixture in &hosts {
        let again = fixture.caller().with("request-id", &id).ask(b"order");
        assert_eq!((again.status, again.problem().as_str()), (409, "duplicate"));
        assert_eq!(again.fate(), "may-have-run");
    }
    assert_eq!(target.call_count(), 1);
}

/// Guards against a second run when the same request arrives at all hosts at the same time.
#[test]
fn claim_concurrent_repeats() {
    let target = RawTarget::echo();
    let mesh = Arc::default();
    let hosts: Vec<EntryFixture> = (0..3).map(|own| entry_host(&target, &mesh, own)).collect();
    for round in 0..20 {
        let id = hosts[round % 3].caller().mint();
        let calls: Vec<_> = hosts
            .iter()
            .flat_map(|fixture| [fixture.caller(), fixture.caller()])
            .map(|caller| {
                let caller = caller.with("request-id", &id);
                thread::spawn(move || caller.ask(b"order").status)
            })
            .collect();
        let statuses: Vec<u16> = calls.into_iter().map(|call| call.join().unwrap()).collect();
        let run = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(run, 1, "{statuses:?}");
        assert_eq!(target.call_count(), round + 1);
    }
}

/// An id that was minted for a request on arrival can't be used for a second run.
#[test]
fn claim_of_id_minted_on_arrival() {
    let target = RawTarget::echo();
    let mesh = Arc::default();
    let fixture = entry_host(&target, &mesh, 0);
    let other = entry_host(&target, &mesh, 1);
    let first = fixture.caller().ask(b"order");
    for fixture in [&fixture, &other] {
        let again = fixture
            .caller()
            .with("request-id", &first.request)
            .ask(b"order");
        assert_eq!((again.status, again.fate().as_str()), (409, "may-have-run"));
    }
    assert_eq!(target.call_count(), 1);
}

/// The home of an id has left or was restarted, so it is unknown whether the id was used.
/// The request must not run.
#[test]
fn claim_home_gone() {
    let target = RawTarget::echo();
    let mesh = Arc::default();
    let old_home = entry_host(&target, &mesh, 0);
    let id = old_home.caller().mint();
    let unknown_home = entry_host_with_members(&target, &mesh, 0, vec![("e2", 1), ("e3", 1)]);
    let restarted_home = entry_host_with_members(&target, &mesh, 1, vec![("e1", 2), ("e3", 1)]);
    for fixture in [&unknown_home, &restarted_home] {
        let reply = fixture.caller().with("request-id", &id).ask(b"order");
        assert_eq!((reply.status, reply.fate().as_str()), (409, "may-have-run"));
    }
    // The same request sent directly to the restarted home.
    let restarted = entry_host_with_members(&target, &mesh, 0, vec![("e1", 2), ("e3", 1)]);
    let reply = restarted.caller().with("request-id", &id).ask(b"order");
    assert_eq!((reply.status, reply.fate().as_str()), (409, "may-have-run"));
    assert_eq!(target.call_count(), 0);
}

/// A link loses one message, first a claim and then a reply. The claim is sent again and
/// the request runs once.
#[test]
fn claim_message_lost() {
    let target = RawTarget::echo();
    let mesh: Arc<LinkMesh> = Arc::default();
    let home = entry_host(&target, &mesh, 0);
    let other = entry_host(&target, &mesh, 1);
    let id = home.caller().mint();
    mesh.messages_to_drop.store(1, Ordering::Release);
    let reply = other.caller().with("request-id", &id).ask(b"order");
    assert_eq!(reply.status, 200, "{}", reply.text());
    let id = home.caller().mint();
    mesh.replies_to_drop.store(1, Ordering::Release);
    let reply = other.caller().with("request-id", &id).ask(b"order");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(target.call_count(), 2);
}

/// The home of an id is unreachable. The caller gets its final response well before the
/// deadline, and nothing runs.
#[test]
fn claim_home_unresponsive() {
    let target = RawTarget::echo();
    let mesh: Arc<LinkMesh> = Arc::default();
    let home = entry_host(&target, &mesh, 0);
    let other = entry_host(&target, &mesh, 1);
    let id = home.caller().mint();
    mesh.messages_to_drop.store(u32::MAX, Ordering::Release);
    let started = std::time::Instant::now();
    let caller = other.caller().with("request-id", &id);
    let reply = caller.with("deadline-ms", "60000").ask(b"order");
    assert_eq!((reply.status, reply.fate().as_str()), (409, "may-have-run"));
    assert!(started.elapsed() < Duration::from_secs(30));
    assert_eq!(target.call_count(), 0);
}

/// Another team uses an id before its owner does. It is refused, and the owner's request
/// still runs.
#[test]
fn claim_by_another_team() {
    let target = RawTarget::echo();
    let mesh = Arc::default();
    let home = entry_host(&target, &mesh, 0);
    let id = home.caller().mint();
    let other_team = home.caller().with_key(support::OTHER_KEY);
    assert_eq!(other_team.with("request-id", &id).ask(b"x").status, 409);
    let owner = home.caller().with("request-id", &id).ask(b"order");
    assert_eq!(owner.status, 200);
    assert_eq!(target.call_count(), 1);
}

/// Replies to a claim from another host or from another incarnation of the home must not
/// let the request run.
#[test]
fn claim_reply_from_wrong_member() {
    let target = RawTarget::echo();
    let mesh: Arc<LinkMesh> = Arc::default();
    let home = entry_host(&target, &mesh, 0);
    let other = entry_host(&target, &mesh, 1);
    let id = home.caller().mint();
    let (inbox, requests) = crossbeam_channel::bounded(16);
    mesh.inboxes.lock().insert("e1".into(), inbox);
    let answers = mesh.inboxes.lock()["e2"].clone();
    let forging = thread::spawn(move || {
        let mut forged = 0;
        while let Ok(message) = requests.recv_timeout(Duration::from_secs(5)) {
            let Body::ClaimRequest(request) = message.body else {
                continue;
            };
            for (from, incarnation) in [("e3", 1), ("e1", 0), ("e1", 2)] {
                let reply = ClaimReply {
                    call: request.call,
                    verdict: ClaimVerdict::First.into(),
                };
                let message = InboundMessage {
                    from: from.into(),
                    incarnation,
                    body: Body::ClaimReply(reply),
                };
                answers.send(message).unwrap();
                forged += 1;
            }
        }
        forged
    });
    let reply = other.caller().with("request-id", &id).ask(b"order");
    assert_eq!((reply.status, reply.fate().as_str()), (409, "may-have-run"));
    mesh.inboxes.lock().remove("e1");
    assert!(forging.join().unwrap() >= 3);
    assert_eq!(target.call_count(), 0);
}

/// Guards against a false "not run". The response to a request was lost, and the repetition
/// is refused before its claim. That refusal must not claim that the request was not run,
/// neither at the home of the id nor for a refused key.
#[test]
fn refusal_of_repeat_is_uncertain() {
    let target = RawTarget::echo();
    let mesh = Arc::default();
    let hosts: Vec<EntryFixture> = (0..2).map(|own| entry_host(&target, &mesh, own)).collect();
    let id = hosts[0].caller().mint();
    assert_eq!(
        hosts[1]
            .caller()
            .with("request-id", &id)
            .ask(b"order")
            .status,
        200
    );
    for fixture in &hosts {
        fixture.slots.slots.lock().insert("t0".into(), 0);
        fixture.renew_slots();
        let again = fixture
            .caller()
            .with("request-id", &id)
            .with("deadline-ms", "300");
        assert_eq!(again.ask(b"order").fate(), "may-have-run");
        let refused = fixture
            .caller()
            .with_key("k1.wrong")
            .with("request-id", &id);
        assert_eq!(refused.ask(b"order").fate(), "may-have-run");
    }
    assert_eq!(target.call_count(), 1);
}

/// The first use of an id is refused at its home. The id was not claimed, so "not run" is
/// true.
#[test]
fn refusal_of_first_use_is_not_run() {
    let target = RawTarget::echo();
    let fixture = entry_host(&target, &Arc::default(), 0);
    let id = fixture.caller().mint();
    fixture.slots.slots.lock().insert("t0".into(), 0);
    fixture.renew_slots();
    let refused = fixture
        .caller()
        .with("request-id", &id)
        .with("deadline-ms", "300");
    assert_eq!(refused.ask(b"order").fate(), "not-run");
}

/// Guards against recording a job twice: the response was lost, and the caller submits the
/// job again through another entry host.
#[test]
fn job_repeated_through_another_host() {
    let target = RawTarget::echo();
    let mesh = Arc::default();
    let hosts: Vec<EntryFixture> = (0..3).map(|own| entry_host(&target, &mesh, own)).collect();
    let path = format!("/v1/services/{}/jobs", support::SERVICE);
    let id = hosts[0].caller().mint();
    let submit = |own: usize| {
        let caller = hosts[own].caller().with("request-id", &id);
        caller.post(&path, b"batch")
    };
    assert_eq!(submit(1).status, 202);
    for own in [0, 2, 1, 2] {
        let again = submit(own);
        assert_eq!((again.status, again.fate().as_str()), (409, "may-have-run"));
    }
    let recorded: usize = hosts
        .iter()
        .map(|fixture| fixture.jobs.jobs.lock().len())
        .sum();
    assert_eq!(recorded, 1);
    *hosts[2].jobs.fail.lock() = Some(ports::JobError::QueueFull);
    let refused = hosts[2]
        .caller()
        .with_key("k1.wrong")
        .with("request-id", &id);
    assert_eq!(refused.post(&path, b"batch").fate(), "may-have-run");
    let foreign = hosts[0].caller().with("request-id", "batch-7");
    assert_eq!(foreign.post(&path, b"batch").status, 400);
}
