//! A graceful shutdown does not abort any request.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use support::{EntryFixture, FixtureSetup, RawTarget, TargetReply};

fn slow_target(service: Duration) -> RawTarget {
    RawTarget::start(move |call| {
        thread::sleep(service);
        TargetReply::Answer(call.body.clone())
    })
}

/// A shutdown under load: running and queued requests get complete responses, new ones are
/// refused as "not run", and the readiness check fails.
#[test]
fn shutdown_answers_all() {
    let target = slow_target(Duration::from_millis(100));
    let setup = FixtureSetup {
        slots: 2,
        ..FixtureSetup::default()
    };
    let fixture = Arc::new(EntryFixture::start_with(&[&target], setup));
    let calls: Vec<_> = (0..10)
        .map(|number| {
            let caller = fixture.caller();
            thread::spawn(move || caller.ask(format!("{number}").as_bytes()))
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(20);
    while fixture.server.running(&"t0".into()) < 2 && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_millis(50));
    let stopping = Arc::clone(&fixture);
    let shutdown = thread::spawn(move || stopping.server.shutdown(Duration::from_secs(20)));
    thread::sleep(Duration::from_millis(50));
    assert_eq!(fixture.caller().get("/readyz").status, 503);
    let late = fixture.caller().ask(b"late");
    assert_eq!((late.status, late.fate().as_str()), (503, "not-run"));
    for (number, call) in calls.into_iter().enumerate() {
        let reply = call.join().unwrap();
        assert_eq!((reply.status, reply.text()), (200, format!("{number}")));
    }
    shutdown.join().unwrap();
    assert_eq!(target.call_count(), 10);
    assert!(TcpStream::connect(fixture.server.caller_address()).is_err());
}

/// The timeout of the shutdown ends while requests are queued: they are refused as "not
/// run" instead of being disconnected.
#[test]
fn shutdown_refuses_queued() {
    let target = slow_target(Duration::from_millis(400));
    let setup = FixtureSetup {
        slots: 1,
        ..FixtureSetup::default()
    };
    let fixture = EntryFixture::start_with(&[&target], setup);
    let calls: Vec<_> = (0..6)
        .map(|_| {
            let caller = fixture.caller();
            thread::spawn(move || caller.ask(b"x"))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    fixture.server.shutdown(Duration::from_secs(2));
    let replies: Vec<_> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    let answered = replies.iter().filter(|reply| reply.status == 200).count();
    for reply in replies.iter().filter(|reply| reply.status != 200) {
        assert_eq!((reply.status, reply.fate().as_str()), (503, "not-run"));
    }
    assert_eq!(answered, target.call_count());
    assert!((1..6).contains(&answered), "{answered}");
}

/// The body of a request is still being sent when the shutdown starts. The request was not
/// admitted yet, but its caller must get a response.
#[test]
fn shutdown_while_body_arrives() {
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&target]);
    let mut stream = TcpStream::connect(fixture.server.caller_address()).unwrap();
    let head = format!(
        "POST /v1/services/{}/requests HTTP/1.1\r\nHost: e1\r\n\
         Authorization: Bearer {}\r\nContent-Length: 4\r\n\r\nab",
        support::SERVICE,
        support::KEY
    );
    stream.write_all(head.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(100));
    thread::scope(|scope| {
        let shutdown = scope.spawn(|| fixture.server.shutdown(Duration::from_secs(10)));
        thread::sleep(Duration::from_millis(100));
        stream.write_all(b"cd").unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let refused = text.starts_with("HTTP/1.1 503") && text.contains("not-run");
        let answered = text.starts_with("HTTP/1.1 200") && text.ends_with("abcd");
        assert!(refused || answered, "{text}");
        shutdown.join().unwrap();
    });
}

#[test]
fn drop_without_shutdown() {
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&target]);
    let address = fixture.server.caller_address();
    assert_eq!(fixture.caller().ask(b"x").status, 200);
    drop(fixture);
    assert!(TcpStream::connect(address).is_err());
}

/// Callers send requests on open connections during the shutdown. No connection may close
/// after a request was sent on it, because the caller would not know its fate.
#[test]
fn shutdown_closes_kept_connections() {
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&target]);
    let address = fixture.server.caller_address();
    let callers: Vec<_> = (0..8)
        .map(|_| thread::spawn(move || send_until_closed(address)))
        .collect();
    thread::sleep(Duration::from_millis(200));
    fixture.server.shutdown(Duration::from_secs(10));
    for caller in callers {
        let (answered, refused) = caller.join().unwrap();
        assert!(answered > 0 && refused > 0, "{answered} {refused}");
    }
}

/// Sends requests on an open connection until the port refuses new ones.
fn send_until_closed(address: std::net::SocketAddr) -> (u32, u32) {
    let (mut answered, mut refused) = (0, 0);
    let head = format!(
        "POST /v1/services/{}/requests HTTP/1.1\r\nHost: e1\r\n\
         Authorization: Bearer {}\r\nContent-Length: 5\r\n\r\norder",
        support::SERVICE,
        support::KEY
    );
    'connect: while let Ok(mut stream) = TcpStream::connect(address) {
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        for request in 0.. {
            let sent = stream.write_all(head.as_bytes());
            let mut answer = [0; 4096];
            let count = sent
                .and_then(|()| stream.read(&mut answer))
                .unwrap_or_default();
            if count == 0 && request == 0 {
                // The connection was accepted just as the port closed.
                continue 'connect;
            }
            assert!(count > 0, "the connection closed after a request was sent");
            let text = String::from_utf8_lossy(&answer[..count]).into_owned();
            if text.starts_with("HTTP/1.1 200") {
                answered += 1;
            } else {
                assert!(
                    text.starts_with("HTTP/1.1 503") && text.contains("not-run"),
                    "{text}"
                );
                refused += 1;
            }
            if text.to_ascii_lowercase().contains("connection: close") {
                thread::sleep(Duration::from_millis(20));
                continue 'connect;
            }
        }
    }
    (answered, refused)
}
