use std::time::Duration;

/// Number of consecutive failures that open the circuit.
const OPEN_AFTER: u32 = 4;

/// Circuit breaker that keeps a client from overloading a store that is down.
///
/// After four failures in a row the circuit opens, and calls fail immediately without reaching
/// the store. After a pause one call is let through as a probe: success closes the circuit,
/// failure doubles the pause up to a limit. Without this, every thread of every entry host would
/// retry its calls against a store that is recovering. The caller passes the time.
#[derive(Clone, Debug)]
pub struct StoreCircuit {
    failures: u32,
    first_pause: Duration,
    longest_pause: Duration,
    pause: Duration,
    probe_at: Option<Duration>,
}

/// Whether a call may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitVerdict {
    /// The circuit is closed; make the call.
    Pass,
    /// The circuit is open; make this one call to find out whether the store is back.
    Probe,
    /// The circuit is open; fail the call immediately.
    Fail,
}

impl StoreCircuit {
    /// Creates a closed circuit whose pauses grow from `first_pause` to `longest_pause`.
    pub fn new(first_pause: Duration, longest_pause: Duration) -> Self {
        Self {
            failures: 0,
            first_pause,
            longest_pause,
            pause: first_pause,
            probe_at: None,
        }
    }

    /// True while the circuit is open.
    pub fn is_open(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Decides whether a call may be made at `now`. A probe postpones the next one, so only one
    /// call is made in each pause.
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

    /// Records a response of the store; true if this closed the circuit.
    pub fn record_answer(&mut self) -> bool {
        self.failures = 0;
        self.pause = self.first_pause;
        self.probe_at.take().is_some()
    }

    /// Records a call without a response; true if this opened the circuit. `jitter`, from 0 to
    /// 1, spreads the probes of many clients.
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
