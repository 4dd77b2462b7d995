//! Floods of connections, slow senders and large responses use bounded memory and block
//! nobody else.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use support::{EntryFixture, FixtureSetup, KEY, OTHER_KEY, RawTarget, SERVICE, TargetReply};

const TIMEOUT: Duration = Duration::from_secs(30);

fn head(key: &str, length: usize) -> String {
    format!(
        "POST /v1/services/{SERVICE}/requests HTTP/1.1\r\nHost: e1\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {length}\r\n\r\n"
    )
}

fn answer_of(body: &[u8], length: usize) -> Vec<u8> {
    body.iter().copied().cycle().take(length).collect()
}

/// 200 callers request responses of 1 MiB each at once, and each must get its own,
/// complete. Targets respond with delays, and every 40th response is the complete one of
/// another request under its id.
#[test]
fn large_answers_to_many_callers() {
    const LENGTH: usize = 1024 * 1024;
    let calls = Arc::new(AtomicUsize::new(0));
    let answer = |calls: Arc<AtomicUsize>| {
        move |call: &support::TargetCall| {
            thread::sleep(Duration::from_millis(u64::from(call.body[9] % 7) * 3));
            if calls.fetch_add(1, Ordering::AcqRel) % 40 == 39 {
                let foreign = answer_of(b"body 99999 of its own", LENGTH);
                let other = match call.request.as_str() {
                    "e1.1.1" => "e1.1.2",
                    _ => "e1.1.1",
                };
                return TargetReply::Crossed(foreign, other.to_owned());
            }
            TargetReply::Answer(answer_of(&call.body, LENGTH))
        }
    };
    let targets = [(); 4].map(|()| RawTarget::start(answer(Arc::clone(&calls))));
    let fixture = EntryFixture::start(&targets.each_ref());
    let calling: Vec<_> = (0..200)
        .map(|number| {
            let caller = fixture
                .caller()
                .with("deadline-ms", "60000")
                .with("idempotent", "true");
            thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    let body = format!("body {number:05} of its own");
                    let reply = caller.ask(body.as_bytes());
                    assert_eq!(
                        reply.status,
                        200,
                        "{}",
                        String::from_utf8_lossy(&reply.body)
                    );
                    reply.body == answer_of(body.as_bytes(), LENGTH)
                })
                .unwrap()
        })
        .collect();
    for call in calling {
        assert!(call.join().unwrap(), "the response of another request");
    }
    assert!(
        calls.load(Ordering::Acquire) >= 205,
        "no response was swapped"
    );
}

/// 200 callers send bodies of 1 MiB each.
#[test]
fn large_bodies_of_many_callers() {
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&target]);
    let calls: Vec<_> = (0..200)
        .map(|number| {
            let caller = fixture.caller().with("deadline-ms", "60000");
            thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    let body = answer_of(format!("{number:05}").as_bytes(), 1024 * 1024);
                    let reply = caller.ask(&body);
                    (reply.status, reply.body == body)
                })
                .unwrap()
        })
        .collect();
    for call in calls {
        assert_eq!(call.join().unwrap(), (200, true));
    }
}

/// Guards against slow senders blocking others: hundreds of callers send one byte and stop.
#[test]
fn slow_senders_do_not_block_others() {
    let target = RawTarget::echo();
    let fixture = EntryFixture::start(&[&target]);
    let slow: Vec<TcpStream> = (0..400)
        .map(|_| {
            let mut stream = TcpStream::connect(fixture.server.caller_address()).unwrap();
            stream
                .write_all((head(KEY, 1000) + "x").as_bytes())
                .unwrap();
            stream
        })
        .collect();
    for _ in 0..20 {
        let reply = fixture.caller().with_key(OTHER_KEY).ask(b"quote");
        assert_eq!(reply.status, 200);
    }
    assert_eq!(target.call_count(), 20);
    drop(slow);
}

/// Connections over the limit are refused at once, and those within it keep working.
#[test]
fn connection_limit_refused_at_once() {
    let target = RawTarget::echo();
    let mut setup = FixtureSetup::default();
    setup.settings.max_connections = 10;
    let fixture = EntryFixture::start_with(&[&target], setup);
    let address = fixture.server.caller_address();
    let mut first = TcpStream::connect(address).unwrap();
    exchange_livez(&mut first);
    let held: Vec<TcpStream> = (0..9)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let mut surplus = TcpStream::connect(address).unwrap();
    surplus.set_read_timeout(Some(TIMEOUT)).unwrap();
    let _ = surplus.write_all((head(KEY, 1) + "x").as_bytes());
    let mut text = String::new();
    surplus.read_to_string(&mut text).unwrap();
    let (top, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(top.starts_with("HTTP/1.1 503"), "{text}");
    assert!(top.contains("Retry-After: 1"), "{text}");
    assert!(
        top.contains(&format!("Content-Length: {}", body.len())),
        "{text}"
    );
    let problem: serde_json::Value = serde_json::from_str(body).unwrap();
    assert_eq!(problem["fate"], "not-run");
    exchange_livez(&mut first);
    drop(held);
}

/// The limit per address leaves connections for other addresses: one address floods the
/// port, and another loopback address still connects.
#[test]
fn connection_limit_per_address() {
    let target = RawTarget::echo();
    let mut setup = FixtureSetup::default();
    setup.settings.caller_address = "0.0.0.0:0".to_owned();
    setup.settings.max_connections = 10;
    setup.tuning.address_percent = 50;
    let fixture = EntryFixture::start_with(&[&target], setup);
    let port = fixture.server.caller_address().port();
    let held: Vec<TcpStream> = (0..5)
        .map(|_| TcpStream::connect(("127.0.0.1", port)).unwrap())
        .collect();
    let mut surplus = TcpStream::connect(("127.0.0.1", port)).unwrap();
    surplus.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut text = String::new();
    surplus.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    // A connection to 127.0.0.2 has the source address 127.0.0.1 by default, so bind it.
    let mut other = connect_from("127.0.0.2:0", port);
    exchange_livez(&mut other);
    drop(held);
}

/// Callers of one team announce large bodies and send most of them slowly. The memory for
/// bodies is bounded, and the other team still gets its share.
#[test]
fn body_memory_bounded_by_team() {
    let target = RawTarget::echo();
    let mut setup = FixtureSetup::default();
    setup.tuning.body_memory = 150_000;
    setup.tuning.body_timeout = TIMEOUT;
    let fixture = EntryFixture::start_with(&[&target], setup);
    let slow: Vec<TcpStream> = (0..8)
        .map(|_| {
            let mut stream = TcpStream::connect(fixture.server.caller_address()).unwrap();
            stream.write_all(head(KEY, 40_000).as_bytes()).unwrap();
            let _ = stream.write_all(&[b'x'; 30_000]);
            stream
        })
        .collect();
    // Three of them fit into the team's share of the memory; the other five are refused.
    let until = Instant::now() + TIMEOUT;
    while slow.iter().filter(|stream| has_answer(stream)).count() < 5 {
        assert!(
            Instant::now() < until,
            "fewer than five requests were refused"
        );
        thread::sleep(Duration::from_millis(5));
    }
    let reply = fixture.caller().with_key(OTHER_KEY).ask(&[b'y'; 50_000]);
    assert_eq!(reply.status, 200, "{}", reply.text());
    for mut stream in slow.into_iter().filter(has_answer) {
        let mut start = [0; 12];
        stream.set_nonblocking(false).unwrap();
        stream.read_exact(&mut start).unwrap();
        assert_eq!(&start, b"HTTP/1.1 429");
    }
}

fn has_answer(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    stream.peek(&mut [0]).is_ok_and(|count| count > 0)
}

/// More than the buffers of both sockets hold, so that a caller that doesn't read blocks
/// the write.
const LARGE: usize = 24 * 1024 * 1024;

/// A caller requests a large response and never reads it. Its connection is closed and the
/// memory of its response released.
#[test]
fn slow_reader_disconnected() {
    let target = RawTarget::start(|_| TargetReply::Answer(vec![b'x'; LARGE]));
    let mut setup = FixtureSetup::default();
    setup.settings.max_body = LARGE;
    setup.tuning.answer_memory = LARGE * 3 / 2;
    setup.tuning.write_window = Duration::from_secs(1);
    let fixture = EntryFixture::start_with(&[&target], setup);
    let mut stream = TcpStream::connect(fixture.server.caller_address()).unwrap();
    stream.write_all((head(KEY, 1) + "x").as_bytes()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(stream.peek(&mut [0]).unwrap(), 1);
    // The team's share of the memory holds only one such response, so this request waits
    // for it.
    let reply = fixture.caller().with("deadline-ms", "30000").ask(b"y");
    assert_eq!((reply.status, reply.body.len()), (200, LARGE));
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.len() < LARGE);
}

fn exchange_livez(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
        .write_all(b"GET /livez HTTP/1.1\r\nHost: e1\r\n\r\n")
        .unwrap();
    let mut start = [0; 256];
    let count = stream.read(&mut start).unwrap();
    assert!(start[..count].starts_with(b"HTTP/1.1 200"));
}

fn connect_from(source: &str, port: u16) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let source: std::net::SocketAddr = source.parse().unwrap();
    socket.bind(&source.into()).unwrap();
    let target: std::net::SocketAddr = ([127, 0, 0, 1], port).into();
    socket.connect(&target.into()).unwrap();
    socket.into()
}
