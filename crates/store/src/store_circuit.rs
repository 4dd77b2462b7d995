use std::time::Duration;

/// Failures in a row that open the circuit.
const OPEN_AFTER: u32 = 4;

/// Keeps a client from hammering a store that is down.
///
/// After some failures in a row the circuit opens, and calls fail at once without reaching
/// the store. After a pause one call probes; its success closes the circuit, its failure
/// doubles the pause up to a limit. Without this, every duty of every entry host would
/// repeat its calls against a store that tries to come back. Time comes in as a value.
#[derive(Clone, Debug)]
pub struct StoreCircuit {
    failures: u32,
    first_pause: Duration,
    longest_pause: Duration,
    pause: Duration,
    probe_at: Option<Duration>,
}

/// What the circuit says of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitVerdict {
    /// Go ahead.
    Pass,
    /// Go ahead alone: this call finds out whether the store is back.
    Probe,
    /// Fail at once.
    Fail,
}

impl StoreCircuit {
    /// A closed circuit whose pauses grow from `first_pause` to `longest_pause`.
    pub fn new(first_pause: Duration, longest_pause: Duration) -> Self {
        Self {
            failures: 0,
            first_pause,
            longest_pause,
            pause: first_pause,
            probe_at: None,
        }
    }

    /// True while calls fail at once.
    pub fn is_open(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Asks whether a call may go out at `now`. A probe moves the time of the next one, so
    /// that only one call goes out in each pause.
    pub fn admit(&mut self, now: Duration) -> CircuitVerdict {
        let Some(probe_at) = self.probe_at else {
            return CircuitVerdict::Pass;
        };
        if now < probe_at {
            return CircuitVerdict::Fail;
        }
        self.probe_at = Some(now + self.pause);
        CircuitVerdict::Probe
    }

    /// Takes in that the store answered; true if this closed the circuit.
    pub fn record_answer(&mut self) -> bool {
        self.failures = 0;
        self.pause = self.first_pause;
        self.probe_at.take().is_some()
    }

    /// Takes in that no answer came; true if this opened the circuit. `jitter` from 0 to 1
    /// spreads the probes of many clients.
    pub fn record_failure(&mut self, now: Duration, jitter: f64) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures < OPEN_AFTER {
            return false;
        }
        let opened = self.probe_at.is_none();
        let wait = self.pause.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
        self.probe_at = Some(now + wait);
        self.pause = (self.pause * 2).min(self.longest_pause);
        opened
    }
}
