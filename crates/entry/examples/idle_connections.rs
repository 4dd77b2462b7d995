//! Threads and memory used by idle callers, with `tiny_http` and with the caller port.
//!
//! `cargo run --release -p entry --example idle_connections` prints the table of
//! `docs/design/03-callers.md`.
#![allow(clippy::print_stdout, clippy::unwrap_used)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use support::{EntryFixture, FixtureSetup, RawTarget};

const SIZES: [usize; 4] = [0, 250, 1000, 2000];

fn main() {
    println!("server, idle connections, threads, resident KB, one request ms");
    let target = RawTarget::echo();
    let mut setup = FixtureSetup::default();
    setup.settings.max_connections = 4096;
    setup.tuning.address_percent = 100;
    let fixture = EntryFixture::start_with(&[&target], setup);
    measure("caller port", fixture.server.caller_address());
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let _ = request.respond(tiny_http::Response::from_string("alive\n"));
        }
    });
    measure("tiny_http", address);
}

fn measure(name: &str, address: SocketAddr) {
    let (threads_before, memory_before) = read_status();
    for size in SIZES {
        let idle: Vec<TcpStream> = (0..size)
            .map(|_| {
                let mut stream = TcpStream::connect(address).unwrap();
                stream.write_all(b"GET /livez HTTP/1.1\r\nHost:").unwrap();
                stream
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        let started = Instant::now();
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .write_all(b"GET /livez HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n\r\n")
            .unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let elapsed = started.elapsed();
        let (threads, memory) = read_status();
        println!(
            "{name}, {size}, {}, {}, {:.2}",
            threads - threads_before,
            memory - memory_before,
            elapsed.as_secs_f64() * 1000.0
        );
        drop(idle);
        thread::sleep(Duration::from_secs(1));
    }
}

/// Threads and resident memory in KB of this process.
fn read_status() -> (i64, i64) {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let field = |name: &str| -> i64 {
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    };
    (field("Threads:"), field("VmRSS:"))
}
