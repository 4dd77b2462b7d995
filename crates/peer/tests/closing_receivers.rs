//! Senders whose peers close their connections.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    net::TcpListener,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use common::{accept_sender, read_frame};
use peer::PeerNode;
use ports::PeerLink;
use wire::peer::{Beat, envelope::Body};

const PAIRS: usize = 32;
const SPAN: Duration = Duration::from_secs(4);
/// Pause between two messages, in which the previous one is sent completely.
const SEND_PAUSE: Duration = Duration::from_micros(300);

// A peer closes its connection while a message to it is being sent, as each process that is
// restarted does. This must not end the process of the sender, which has to connect again.
#[test]
fn send_to_closing_receivers_goes_on() {
    let stop = AtomicBool::new(false);
    let closed = AtomicUsize::new(0);
    let listeners: Vec<_> = (0..PAIRS)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    thread::scope(|scope| {
        for listener in &listeners {
            scope.spawn(|| send_until(&stop, listener));
            scope.spawn(|| close_until(&stop, listener, &closed));
        }
        let end = Instant::now() + SPAN;
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
        stop.store(true, Ordering::Relaxed);
    });
    let closed = closed.into_inner();
    assert!(closed >= PAIRS * 3, "{closed} connections were closed");
}

fn send_until(stop: &AtomicBool, receiver: &TcpListener) {
    let address = receiver.local_addr().unwrap().to_string();
    let sender = PeerNode::start("a".into(), 1, "127.0.0.1:0", Vec::new()).unwrap();
    sender.set_peer(&"b".into(), &address).unwrap();
    while !stop.load(Ordering::Relaxed) {
        // A message that meets a closed connection is lost.
        let _ = sender.send(&"b".into(), Body::Beat(Beat::default()));
        thread::sleep(SEND_PAUSE);
    }
}

/// Closes each connection after its first message.
fn close_until(stop: &AtomicBool, listener: &TcpListener, closed: &AtomicUsize) {
    listener.set_nonblocking(true).unwrap();
    while !stop.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((mut stream, _)) => {
                let got = accept_sender(&mut stream).and_then(|()| read_frame(&mut stream));
                closed.fetch_add(usize::from(got.is_ok()), Ordering::Relaxed);
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
}
