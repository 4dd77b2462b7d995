//! Tests of messages that no entry host of this version sends.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{connect_receiver, write_frame};
use peer::{BodyKind, PeerNode};
use proptest::prelude::*;
use prost::Message as _;
use wire::peer::{Beat, Envelope, envelope::Body};

/// Timeout of a failing test; long enough not to affect a passing one.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn beat(count: u64) -> Vec<u8> {
    let envelope = Envelope {
        from: "a".to_owned(),
        incarnation: 1,
        body: Some(Body::Beat(Beat {
            beat: count,
            ..Beat::default()
        })),
        ..Envelope::default()
    };
    envelope.encode_to_vec()
}

/// Random bytes, truncated messages and messages with one changed byte.
fn foreign_bytes() -> impl Strategy<Value = Vec<u8>> {
    let noise = prop::collection::vec(any::<u8>(), 0..400);
    let cut = (0..beat(1).len()).prop_map(|length| beat(1)[..length].to_vec());
    let changed = (0..beat(1).len(), any::<u8>()).prop_map(|(at, byte)| {
        let mut bytes = beat(1);
        bytes[at] = byte;
        bytes
    });
    prop_oneof![noise, cut, changed]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A process of another version, or a foreign one, writes to the peer port. The following
    // heartbeat must still arrive; otherwise the host would drop out of every quorum.
    #[test]
    fn receive_continues_after_foreign_bytes(
        messages in prop::collection::vec(foreign_bytes(), 1..60)
    ) {
        let node = PeerNode::start("b".into(), 1, "127.0.0.1:0", Vec::new()).unwrap();
        let mut raw = connect_receiver(node.peer_address()).unwrap();
        for message in &messages {
            write_frame(&mut raw, message).unwrap();
        }
        write_frame(&mut raw, &beat(777_777)).unwrap();
        let inbound = node.inbound(BodyKind::Beat);
        let found = (0..=messages.len()).any(|_| {
            let message = inbound.recv_timeout(WAIT_LIMIT).unwrap();
            matches!(message.body, Body::Beat(beat) if beat.beat == 777_777)
        });
        prop_assert!(found);
    }
}
