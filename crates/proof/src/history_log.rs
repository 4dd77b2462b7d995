use std::{fs, io, path::PathBuf, sync::Arc};

use fake::boot_nanos;
use parking_lot::Mutex;
use serde::Serialize;

use crate::{BootNanos, ChangeOp, ForceOp, History, HistoryCheck, OpSpan, RequestOp, Violation};

/// Records what callers and operators see, from many threads, on the machine's boot clock.
#[derive(Clone, Debug, Default)]
pub struct HistoryLog {
    history: Arc<Mutex<History>>,
}

/// Measures the span of one operation.
#[derive(Clone, Copy, Debug)]
pub struct OpTimer {
    invoke_ns: BootNanos,
}

impl OpTimer {
    /// To be called before the first byte goes out.
    pub fn begin() -> Self {
        Self {
            invoke_ns: boot_nanos(),
        }
    }

    /// To be called after the last byte came in.
    pub fn end(self) -> OpSpan {
        OpSpan {
            invoke_ns: self.invoke_ns,
            response_ns: boot_nanos(),
        }
    }

    /// The span of an operation whose outcome is not known: it may take effect at any time.
    pub fn open_end(self) -> OpSpan {
        OpSpan {
            invoke_ns: self.invoke_ns,
            response_ns: BootNanos::MAX,
        }
    }
}

impl HistoryLog {
    /// An empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an attempt of a caller.
    pub fn note_request(&self, op: RequestOp) {
        self.history.lock().requests.push(op);
    }

    /// Records a change of an operator.
    pub fn note_change(&self, op: ChangeOp) {
        self.history.lock().changes.push(op);
    }

    /// Records the configuration in force on an entry host.
    pub fn note_force(&self, op: ForceOp) {
        self.history.lock().forces.push(op);
    }

    /// Lets `fill` add the records that targets and store kept themselves.
    pub fn fill(&self, fill: impl FnOnce(&mut History)) {
        fill(&mut self.history.lock());
    }

    /// What was recorded so far.
    pub fn history(&self) -> History {
        self.history.lock().clone()
    }

    /// What the checks find. If they find anything, the history is kept as JSON lines in a
    /// file that is named together with the seed.
    pub fn violations(&self, seed: u64, checks: &[&dyn HistoryCheck]) -> Vec<Violation> {
        let history = self.history();
        let violations: Vec<Violation> = checks
            .iter()
            .flat_map(|check| check.violations(&history))
            .collect();
        if !violations.is_empty() {
            match write_lines(&history, seed) {
                Ok(path) => println!("seed {seed}: history kept in {}", path.display()),
                Err(error) => println!("seed {seed}: history not kept: {error}"),
            }
        }
        violations
    }
}

/// One line of the file.
#[derive(Serialize)]
enum HistoryLine<'a, T: Serialize> {
    Request(&'a T),
    Change(&'a T),
    Force(&'a T),
    Run(&'a T),
    Drain(&'a T),
    Write(&'a T),
}

fn write_lines(history: &History, seed: u64) -> io::Result<PathBuf> {
    let mut text = String::new();
    append(&mut text, history.requests.iter().map(HistoryLine::Request))?;
    append(&mut text, history.changes.iter().map(HistoryLine::Change))?;
    append(&mut text, history.forces.iter().map(HistoryLine::Force))?;
    append(&mut text, history.runs.iter().map(HistoryLine::Run))?;
    append(&mut text, history.drains.iter().map(HistoryLine::Drain))?;
    append(&mut text, history.writes.iter().map(HistoryLine::Write))?;
    let name = format!("lacewingshore-history-{seed}-{}.jsonl", boot_nanos());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text)?;
    Ok(path)
}

fn append<'a, T: Serialize + 'a>(
    text: &mut String,
    lines: impl Iterator<Item = HistoryLine<'a, T>>,
) -> io::Result<()> {
    for line in lines {
        text.push_str(&serde_json::to_string(&line)?);
        text.push('\n');
    }
    Ok(())
}
