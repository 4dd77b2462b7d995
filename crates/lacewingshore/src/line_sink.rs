use std::{
    io::Write,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, Sender, bounded};
use log::Level;
use parking_lot::Mutex;

/// Lines queued for a slow reader of standard output; further lines are dropped. At 200 bytes a
/// line this takes 800 KB.
const QUEUE_CAPACITY: usize = 4096;
/// Sustained rate limit. A busy owner schedules about 300 tasks a second and logs one line for
/// the start and one for the end of each.
const LINES_PER_SECOND: f64 = 800.0;
/// Burst size of the rate limit, in lines.
const BURST: f64 = 3000.0;
/// The same two limits for warnings and errors. They say why other lines are many, so those must not
/// take their place.
const WARNINGS_PER_SECOND: f64 = 200.0;
const WARNINGS_BURST: f64 = 1000.0;
/// Delay before queued lines are written, so that one call writes many of them.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Shortest interval between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for writing the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Stack size of the writer thread.
const STACK_BYTES: usize = 64 * 1024;

/// Writes log lines to standard output in a separate thread.
///
/// Logging never blocks, even if the reader of standard output has stopped. Lines beyond the
/// rate limit or the queue capacity are dropped and counted.
pub struct LineSink {
    sender: Sender<String>,
    lines: Mutex<LineRateLimiter>,
    warnings: Mutex<LineRateLimiter>,
    last_report: Mutex<Instant>,
    dropped: AtomicU64,
}

struct LineRateLimiter {
    lines_per_second: f64,
    burst: f64,
    tokens: f64,
    last_refill: Instant,
}

impl LineSink {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start() -> std::io::Result<Self> {
        let (sender, receiver) = bounded(QUEUE_CAPACITY);
        thread::Builder::new()
            .name("log-lines".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&receiver))?;
        Ok(Self {
            sender,
            lines: Mutex::new(LineRateLimiter::new(LINES_PER_SECOND, BURST)),
            warnings: Mutex::new(LineRateLimiter::new(WARNINGS_PER_SECOND, WARNINGS_BURST)),
            last_report: Mutex::new(Instant::now()),
            dropped: AtomicU64::new(0),
        })
    }

    /// Whether a line of this level is within the rate limit; counts it as dropped otherwise. Asked before
    /// the line is formatted, which costs more than all else about it.
    pub fn admits(&self, level: Level) -> bool {
        let rate_limiter = match level <= Level::Warn {
            true => &self.warnings,
            false => &self.lines,
        };
        let admitted = rate_limiter.lock().try_acquire();
        if !admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    /// Queues a line without its line break, or drops and counts it if the reader is slow.
    pub fn push(&self, line: String) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many lines were dropped since the last report, and resets the count; `None`
    /// if there were none, or within `REPORT_INTERVAL` of the last report.
    pub fn take_dropped(&self) -> Option<u64> {
        let mut last_report = self.last_report.lock();
        if last_report.elapsed() < REPORT_INTERVAL {
            return None;
        }
        *last_report = Instant::now();
        Some(self.dropped.swap(0, Ordering::Relaxed)).filter(|&dropped| dropped > 0)
    }

    /// Waits up to `FLUSH_TIMEOUT` for the queue to drain, then for the last write.
    pub fn flush(&self) {
        let started = Instant::now();
        while !self.sender.is_empty() && started.elapsed() < FLUSH_TIMEOUT {
            thread::sleep(BATCH_DELAY / 4);
        }
        thread::sleep(BATCH_DELAY * 2);
    }
}

impl LineRateLimiter {
    fn new(lines_per_second: f64, burst: f64) -> Self {
        Self {
            lines_per_second,
            burst,
            tokens: burst,
            last_refill: Instant::now(),
        }
    }

    fn try_acquire(&mut self) -> bool {
        let elapsed = self.last_refill.elapsed().as_secs_f64();
        self.last_refill = Instant::now();
        self.tokens = (self.tokens + elapsed * self.lines_per_second).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn write_lines(lines: &Receiver<String>) {
    let mut output = std::io::stdout();
    let mut text = String::new();
    while let Ok(first) = lines.recv() {
        thread::sleep(BATCH_DELAY);
        text.clear();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            text.push_str(&line);
            text.push('\n');
        }
        // A closed standard output leaves no place to report the error.
        let _ = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
    }
}
