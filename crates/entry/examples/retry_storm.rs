//! Load on a pool that fails for two seconds, with and without a retry budget.
//!
//! `cargo run --release -p entry --example retry_storm` prints the table of
//! `docs/design/04-at-most-once.md`: 200 idempotent requests a second, evenly spaced; both
//! targets close every connection without a response from the first to the third second.
#![allow(clippy::print_stdout, clippy::unwrap_used)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use support::{EntryFixture, FixtureSetup, RawTarget, TargetReply};

const RATE: u32 = 200;
const SPAN: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_millis(100);

fn main() {
    println!("budget, requests, attempts, attempts while failing, peak in 100 ms, answered");
    run("10 %, burst 16", 10, 16);
    run("none", 1_000_000, 1_000_000);
}

fn run(name: &str, percent: u32, burst: u32) {
    let started = Instant::now();
    let arrivals: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let behave = |arrivals: Arc<Mutex<Vec<Duration>>>| {
        move |call: &support::TargetCall| {
            let now = started.elapsed();
            arrivals.lock().push(now);
            if fails_at(now) {
                return TargetReply::Hangup;
            }
            thread::sleep(Duration::from_millis(10));
            TargetReply::Answer(call.body.clone())
        }
    };
    let targets = [(); 2].map(|()| RawTarget::start(behave(Arc::clone(&arrivals))));
    let mut setup = FixtureSetup::default();
    setup.pool.budget = 2;
    setup.tuning.retry_percent = percent;
    setup.tuning.retry_burst = burst;
    let fixture = EntryFixture::start_with(&targets.each_ref(), setup);
    let answered = Arc::new(AtomicUsize::new(0));
    let count = RATE * u32::try_from(SPAN.as_secs()).unwrap();
    let calls: Vec<_> = (0..count)
        .map(|number| {
            let due = SPAN * number / count;
            thread::sleep(due.saturating_sub(started.elapsed()));
            let answered = Arc::clone(&answered);
            let caller = fixture
                .caller()
                .with("idempotent", "true")
                .with("deadline-ms", "2000");
            let call = move || {
                if caller.ask(b"quote").status == 200 {
                    answered.fetch_add(1, Ordering::AcqRel);
                }
            };
            let thread = thread::Builder::new().stack_size(256 * 1024);
            thread.spawn(call).unwrap()
        })
        .collect();
    for call in calls {
        call.join().unwrap();
    }
    let arrivals = arrivals.lock();
    let failing = arrivals.iter().filter(|at| fails_at(**at)).count();
    println!(
        "{name}, {count}, {}, {failing}, {}, {}",
        arrivals.len(),
        peak(&arrivals),
        answered.load(Ordering::Acquire)
    );
}

fn fails_at(time: Duration) -> bool {
    (Duration::from_secs(1)..Duration::from_secs(3)).contains(&time)
}

fn peak(arrivals: &[Duration]) -> usize {
    let window = |at: &Duration| at.as_millis() / WINDOW.as_millis();
    let windows = SPAN.as_millis() / WINDOW.as_millis() + 20;
    (0..windows)
        .map(|number| arrivals.iter().filter(|at| window(at) == number).count())
        .max()
        .unwrap_or_default()
}
