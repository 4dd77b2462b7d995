//! Latency that an entry server adds to calling a target directly.
//!
//! `cargo run --release -p entry --example added_latency` prints the table of
//! `docs/design/03-callers.md`: closed-loop callers on open connections, with the fake
//! executor in the same process.
#![allow(clippy::print_stdout, clippy::unwrap_used)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use fake::{ExecutorFake, ExecutorSettings};
use hdrhistogram::Histogram;
use support::{EntryFixture, FixtureSetup, KEY, SERVICE};
use ureq::{Agent, config::Config};

const SPAN: Duration = Duration::from_secs(3);

fn main() {
    println!("path, callers, requests/s, p50 us, p99 us");
    let fakes: Vec<ExecutorFake> = (0..8)
        .map(|_| ExecutorFake::start("127.0.0.1:0", settings()).unwrap())
        .collect();
    let addresses: Vec<String> = fakes.iter().map(ExecutorFake::address).collect();
    let fixture = EntryFixture::start_at(&addresses, FixtureSetup::default());
    let entry = format!(
        "http://{}/v1/services/{SERVICE}/requests",
        fixture.server.caller_address()
    );
    for callers in [1, 8, 32] {
        let direct: Vec<String> = addresses
            .iter()
            .map(|address| format!("http://{address}/v1/run"))
            .collect();
        run("direct", callers, &direct);
        run(
            "through an entry host",
            callers,
            std::slice::from_ref(&entry),
        );
    }
}

fn settings() -> ExecutorSettings {
    ExecutorSettings {
        service: Duration::from_micros(200),
        ..ExecutorSettings::default()
    }
}

fn run(path: &str, callers: usize, urls: &[String]) {
    let threads: Vec<_> = (0..callers)
        .map(|number| {
            let url = urls[number % urls.len()].clone();
            thread::spawn(move || call(&url))
        })
        .collect();
    let mut times = Histogram::<u64>::new(3).unwrap();
    for thread in threads {
        times.add(thread.join().unwrap()).unwrap();
    }
    println!(
        "{path}, {callers}, {:.0}, {}, {}",
        times.len() as f64 / SPAN.as_secs_f64(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99)
    );
}

fn call(url: &str) -> Histogram<u64> {
    let agent: Agent = Config::builder().proxy(None).build().new_agent();
    let mut times = Histogram::new(3).unwrap();
    let started = Instant::now();
    while started.elapsed() < SPAN {
        let sent = Instant::now();
        let reply = agent
            .post(url)
            .header("authorization", &format!("Bearer {KEY}"))
            .header("request-id", "latency")
            .header("idempotent", "true")
            .header("deadline-ms", "5000")
            .send(&b"work of a hundred bytes or so"[..]);
        reply.unwrap().body_mut().read_to_vec().unwrap();
        times
            .record(u64::try_from(sent.elapsed().as_micros()).unwrap())
            .unwrap();
    }
    times
}
