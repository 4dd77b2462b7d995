//! Tests of messages between entry hosts over real sockets.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{Read, Write},
    time::Duration,
};

use common::{connect_receiver, write_frame};

use model::{MemberId, PeerSetting};
use peer::{BodyKind, PeerNode};
use ports::{LinkError, PeerLink};
use wire::peer::{Beat, ChangeTail, envelope::Body};

/// Timeout of a failing test; long enough not to affect a passing one.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn start(name: &str, incarnation: u64) -> PeerNode {
    PeerNode::start(MemberId::from(name), incarnation, "127.0.0.1:0", Vec::new()).unwrap()
}

fn beat(count: u64) -> Body {
    Body::Beat(Beat {
        beat: count,
        ..Beat::default()
    })
}

#[test]
fn send_routes_by_kind() {
    let (a, b) = (start("a", 3), start("b", 1));
    a.set_peer(&"b".into(), b.peer_address()).unwrap();
    a.send(&"b".into(), beat(7)).unwrap();
    a.send(&"b".into(), Body::ChangeTail(ChangeTail::default()))
        .unwrap();
    let message = b.inbound(BodyKind::Beat).recv_timeout(WAIT_LIMIT).unwrap();
    assert_eq!(
        (message.from.as_str(), message.incarnation, message.body),
        ("a", 3, beat(7))
    );
    let tail = b.inbound(BodyKind::ChangeTail).recv_timeout(WAIT_LIMIT);
    assert!(tail.is_ok());
    assert!(b.inbound(BodyKind::Beat).is_empty());
}

#[test]
fn send_unknown_peer_fails() {
    let a = start("a", 1);
    assert_eq!(
        a.send(&"b".into(), beat(1)),
        Err(LinkError::NoLink("b".into()))
    );
}

// A peer is down for a long time. If all messages to it were queued, the memory of this host
// would grow with each heartbeat. The queue must be short and refuse further messages.
#[test]
fn send_queue_to_dead_peer_is_bounded() {
    let a = start("a", 1);
    let gone = start("b", 1).peer_address().to_owned();
    a.set_peer(&"b".into(), &gone).unwrap();
    let refused = (0..200).filter(|n| a.send(&"b".into(), beat(*n)).is_err());
    assert!(refused.count() >= 100);
}

#[test]
fn set_peer_settings_override_list() {
    let (relay, listed) = (start("relay", 1), start("b", 1));
    let peers = vec![PeerSetting {
        member: "b".into(),
        address: relay.peer_address().to_owned(),
    }];
    let a = PeerNode::start("a".into(), 1, "127.0.0.1:0", peers).unwrap();
    a.set_peer(&"b".into(), listed.peer_address()).unwrap();
    a.send(&"b".into(), beat(1)).unwrap();
    assert!(
        relay
            .inbound(BodyKind::Beat)
            .recv_timeout(WAIT_LIMIT)
            .is_ok()
    );
}

// During an upgrade a newer host sends a body of unknown kind, and a foreign process sends
// random bytes. Neither may prevent the delivery of later messages.
#[test]
fn receive_foreign_messages_are_dropped() {
    let b = start("b", 1);
    let mut raw = connect_receiver(b.peer_address()).unwrap();
    // from = "x", field 99 (length-delimited, empty): a body of a later schema.
    let later = [0x0a, 0x01, b'x', 0x9a, 0x06, 0x00];
    write_frame(&mut raw, &later).unwrap();
    write_frame(&mut raw, &[0xff; 40]).unwrap();
    let a = start("a", 1);
    a.set_peer(&"b".into(), b.peer_address()).unwrap();
    a.send(&"b".into(), beat(1)).unwrap();
    let message = b.inbound(BodyKind::Beat).recv_timeout(WAIT_LIMIT).unwrap();
    assert_eq!(message.from, "a");
}

// After a host restarts on the same address, peers must reconnect by themselves.
#[test]
fn send_reconnects_after_restart() {
    let a = start("a", 1);
    let first = start("b", 1);
    let address = first.peer_address().to_owned();
    a.set_peer(&"b".into(), &address).unwrap();
    a.send(&"b".into(), beat(1)).unwrap();
    first
        .inbound(BodyKind::Beat)
        .recv_timeout(WAIT_LIMIT)
        .unwrap();
    drop(first);
    let second = restart(&address);
    let inbound = second.inbound(BodyKind::Beat);
    let received = (0..200).any(|n| {
        let _ = a.send(&"b".into(), beat(n));
        inbound.recv_timeout(Duration::from_millis(100)).is_ok()
    });
    assert!(received);
}

fn restart(address: &str) -> PeerNode {
    for _ in 0..100 {
        if let Ok(node) = PeerNode::start("b".into(), 2, address, Vec::new()) {
            return node;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the address {address} is still in use");
}

// A thread of a host that was stopped still applies a member list. If that dialled its peers again,
// the host would go on sending heartbeats, and would never be removed from the list.
#[test]
fn set_peer_after_stop_dials_nothing() {
    let (a, b) = (start("a", 1), start("b", 1));
    a.set_peer(&"b".into(), b.peer_address()).unwrap();
    a.stop();
    a.set_peer(&"b".into(), b.peer_address()).unwrap();
    assert_eq!(
        a.send(&"b".into(), beat(1)),
        Err(LinkError::NoLink("b".into()))
    );
}

// A peer was down for a while. Messages queued meanwhile say what is no longer true, so they must
// not reach it when it is back.
#[test]
fn send_drops_messages_of_outage() {
    let a = start("a", 1);
    let address = start("b", 1).peer_address().to_owned();
    a.set_peer(&"b".into(), &address).unwrap();
    let _ = a.send(&"b".into(), beat(1));
    std::thread::sleep(Duration::from_millis(1200));
    let b = restart(&address);
    let inbound = b.inbound(BodyKind::Beat);
    let first = (0..200).find_map(|n| {
        let _ = a.send(&"b".into(), beat(100 + n));
        inbound.recv_timeout(Duration::from_millis(100)).ok()
    });
    assert_ne!(first.unwrap().body, beat(1));
}

// Messages are as large as a whole configuration. A larger one closes the connection instead of
// taking memory, and so does a length without end.
#[test]
fn receive_limits_size() {
    let b = start("b", 1);
    let inbound = b.inbound(BodyKind::ChangeTail);
    let a = start("a", 1);
    a.set_peer(&"b".into(), b.peer_address()).unwrap();
    let large = Body::ChangeTail(ChangeTail {
        base: vec![7; 1_500_000],
        ..ChangeTail::default()
    });
    a.send(&"b".into(), large.clone()).unwrap();
    let message = inbound.recv_timeout(WAIT_LIMIT).unwrap();
    assert_eq!(message.body, large);
    let mut raw = connect_receiver(b.peer_address()).unwrap();
    raw.write_all(&u64::MAX.to_be_bytes()).unwrap();
    assert_eq!(
        raw.read(&mut [0; 1]).unwrap(),
        0,
        "the connection is closed"
    );
}

// A process stops right after its last message, which says that it leaves.
#[test]
fn stop_sends_queued_messages() {
    let (a, b) = (start("a", 1), start("b", 1));
    a.set_peer(&"b".into(), b.peer_address()).unwrap();
    a.send(&"b".into(), beat(1)).unwrap();
    let inbound = b.inbound(BodyKind::Beat);
    inbound.recv_timeout(WAIT_LIMIT).unwrap();
    a.send(&"b".into(), beat(2)).unwrap();
    a.stop();
    assert_eq!(inbound.recv_timeout(WAIT_LIMIT).unwrap().body, beat(2));
}
