use std::{cell::RefCell, sync::Once};

use log::{LevelFilter, Log, Metadata, Record};

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines of each thread, so that tests in parallel see only their own.
struct ThreadLines;

impl Log for ThreadLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("event={} name={}", record.target(), record.args());
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

/// The log lines of the processes that run on this thread.
pub struct LogCapture;

impl LogCapture {
    /// Keeps the lines from now on.
    pub fn start() -> Self {
        static INSTALLED: Once = Once::new();
        INSTALLED.call_once(|| {
            log::set_logger(&ThreadLines).unwrap_or_else(|error| panic!("{error}"));
            log::set_max_level(LevelFilter::Info);
        });
        LINES.with_borrow_mut(Vec::clear);
        Self
    }

    /// The lines of an event with all of these parts.
    pub fn lines(&self, name: &str, parts: &[&str]) -> Vec<String> {
        let name = format!("name={name} ");
        let is_wanted =
            |line: &&String| line.contains(&name) && parts.iter().all(|part| line.contains(part));
        LINES.with_borrow(|lines| lines.iter().filter(is_wanted).cloned().collect())
    }

    /// All lines.
    pub fn all(&self) -> Vec<String> {
        LINES.with_borrow(Clone::clone)
    }
}
