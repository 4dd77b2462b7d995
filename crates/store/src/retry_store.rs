use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use metrics::{counter, gauge};
use parking_lot::Mutex;

use crate::{
    CallRateLimiter, CircuitVerdict, Clock, KeyStore, StoreCircuit, StoreError, StoreVersion,
    StoredValue,
};

/// How a [`RetryStore`] repeats calls.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Longest that one operation may take with its repetitions; the last call may exceed
    /// it by the client's own timeout.
    pub operation_timeout: Duration,
    /// First back-off; later ones double. Each wait is random between nothing and the back-off.
    pub first_backoff: Duration,
    /// Longest back-off.
    pub longest_backoff: Duration,
    /// First pause of the circuit, see [`StoreCircuit`].
    pub first_pause: Duration,
    /// Longest pause of the circuit.
    pub longest_pause: Duration,
    /// Most calls a second, repetitions and watches included.
    pub calls_per_second: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            operation_timeout: Duration::from_millis(1500),
            first_backoff: Duration::from_millis(40),
            longest_backoff: Duration::from_millis(400),
            first_pause: Duration::from_millis(200),
            longest_pause: Duration::from_millis(1600),
            calls_per_second: 100,
        }
    }
}

/// A store that repeats what may be repeated, and settles writes whose answer was lost.
///
/// How a lost answer is settled, and when that is sound, is argued in
/// `docs/design/08-platform.md`. In short: a repeated compare-and-swap on the same version
/// takes effect at most once, since versions never come back; and a record that holds
/// exactly the bytes asked for is what the caller wanted, whoever wrote them. Records that
/// must tell *who* wrote them carry that in their bytes.
pub struct RetryStore {
    inner: Arc<dyn KeyStore>,
    clock: Arc<dyn Clock>,
    settings: RetrySettings,
    circuit: Mutex<StoreCircuit>,
    pace: Mutex<CallRateLimiter>,
}

/// What became of a write whose answer was lost.
enum WriteResolution {
    /// The record is as asked for, at this version.
    Applied(StoreVersion),
    /// It had not taken effect; it may be repeated.
    NotApplied,
    /// Another value is there: ours may have been there before it.
    Ambiguous,
}

impl RetryStore {
    /// Wraps `inner` with the default settings.
    pub fn new(inner: Arc<dyn KeyStore>, clock: Arc<dyn Clock>) -> Self {
        Self::with_settings(inner, clock, RetrySettings::default())
    }

    /// Wraps `inner`.
    pub fn with_settings(
        inner: Arc<dyn KeyStore>,
        clock: Arc<dyn Clock>,
        settings: RetrySettings,
    ) -> Self {
        let circuit = StoreCircuit::new(settings.first_pause, settings.longest_pause);
        let pace = CallRateLimiter::new(settings.calls_per_second);
        Self {
            inner,
            clock,
            circuit: Mutex::new(circuit),
            pace: Mutex::new(pace),
            settings,
        }
    }

    /// True while calls fail at once because the store has not answered.
    pub fn is_open(&self) -> bool {
        self.circuit.lock().is_open()
    }

    /// One call through circuit and ceiling.
    fn call_once<T>(&self, call: impl Fn() -> Result<T, StoreError>) -> Result<T, StoreError> {
        self.wait_for_rate()?;
        if self.circuit.lock().admit(self.clock.boot_now()) == CircuitVerdict::Fail {
            return Err(StoreError::Unavailable("not asked: it is down".to_owned()));
        }
        let result = call();
        match &result {
            Err(StoreError::Unavailable(cause) | StoreError::Unknown(cause)) => {
                self.record_failure(cause);
            }
            _ => self.record_answer(),
        }
        result
    }

    fn wait_for_rate(&self) -> Result<(), StoreError> {
        let begin = Instant::now();
        loop {
            let Err(wait) = self.pace.lock().try_acquire(self.clock.boot_now()) else {
                return Ok(());
            };
            counter!("lws_store_paced").increment(1);
            if begin.elapsed() + wait > self.settings.operation_timeout {
                let cause = "not asked: too many calls from here".to_owned();
                return Err(StoreError::Unavailable(cause));
            }
            thread::sleep(wait);
        }
    }

    fn record_answer(&self) {
        if self.circuit.lock().record_answer() {
            gauge!("lws_store_circuit_open").set(0.0);
            log::info!(target: "E0101", "store-answers-again");
        }
    }

    fn record_failure(&self, cause: &str) {
        let now = self.clock.boot_now();
        if self.circuit.lock().record_failure(now, rand::random()) {
            gauge!("lws_store_circuit_open").set(1.0);
            log::warn!(target: "E0100", "store-down cause={cause:?}");
        }
    }

    /// Repeats an operation that does no harm when repeated.
    fn retry_idempotent<T>(
        &self,
        call: impl Fn() -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut backoff = RetryBackoff::new(&self.settings);
        loop {
            let result = self.call_once(&call);
            let Err(StoreError::Unavailable(_) | StoreError::Unknown(_)) = &result else {
                return result;
            };
            // With the circuit open a repetition would only be refused here again.
            if self.is_open() || !backoff.wait() {
                return result;
            }
        }
    }

    /// Repeats a write until its fate is clear or patience ends.
    fn retry_write<T>(
        &self,
        write: impl Fn() -> Result<T, StoreError>,
        read_back: impl Fn() -> Result<WriteResolution, StoreError>,
        done: impl Fn(StoreVersion) -> T,
    ) -> Result<T, StoreError> {
        let mut backoff = RetryBackoff::new(&self.settings);
        // From the first lost answer on, a conflict may be our own doing, and a refused
        // call no longer means that nothing was recorded.
        let mut lost: Option<StoreError> = None;
        loop {
            let result = self.call_once(&write);
            match (&result, &lost) {
                (Err(StoreError::Unknown(_)), None) => lost = result.err(),
                (Err(StoreError::Conflict { .. }), Some(_))
                | (Err(StoreError::Unavailable(_) | StoreError::Unknown(_)), _) => {}
                _ => return result,
            }
            if let Some(unknown) = &lost {
                match read_back() {
                    Ok(WriteResolution::Applied(version)) => {
                        counter!("lws_store_settled").increment(1);
                        log::info!(target: "E0102", "store-write-settled version={version}");
                        return Ok(done(version));
                    }
                    Ok(WriteResolution::Ambiguous) => return Err(unknown.clone()),
                    Ok(WriteResolution::NotApplied) | Err(_) => {}
                }
            }
            let hopeless = lost.is_none() && self.is_open();
            if hopeless || !backoff.wait() {
                let never_sent = StoreError::Unavailable("it did not answer".to_owned());
                return Err(lost.unwrap_or(never_sent));
            }
        }
    }
}

impl KeyStore for RetryStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.retry_idempotent(|| self.inner.read(key))
    }

    fn swap(
        &self,
        key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError> {
        self.retry_write(
            || self.inner.swap(key, expect, value),
            || {
                Ok(match self.call_once(|| self.inner.read(key))? {
                    Some(stored) if stored.version == expect => WriteResolution::NotApplied,
                    None if expect == 0 => WriteResolution::NotApplied,
                    Some(stored) if stored.value == value => {
                        WriteResolution::Applied(stored.version)
                    }
                    _ => WriteResolution::Ambiguous,
                })
            },
            |version| version,
        )
    }

    fn remove(&self, key: &str, expect: StoreVersion) -> Result<(), StoreError> {
        self.retry_write(
            || self.inner.remove(key, expect),
            || {
                Ok(match self.call_once(|| self.inner.read(key))? {
                    Some(stored) if stored.version == expect => WriteResolution::NotApplied,
                    Some(_) => WriteResolution::Ambiguous,
                    None => WriteResolution::Applied(0),
                })
            },
            |_| (),
        )
    }

    /// Waits once: whoever watches asks again anyway. A watch that hangs says nothing of
    /// the store's health, so that the circuit does not hear of it.
    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        patience: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.wait_for_rate()?;
        if self.is_open() {
            let cause = "not watched: it is down".to_owned();
            return Err(StoreError::Unavailable(cause));
        }
        self.inner.watch(key, after, patience)
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        self.retry_idempotent(|| self.inner.list(prefix))
    }
}

/// Exponential back-off with full jitter: each wait is random between nothing and a limit
/// that doubles, so that clients that failed together do not come back together.
struct RetryBackoff {
    deadline: Instant,
    limit: Duration,
    longest: Duration,
}

impl RetryBackoff {
    fn new(settings: &RetrySettings) -> Self {
        Self {
            deadline: Instant::now() + settings.operation_timeout,
            limit: settings.first_backoff,
            longest: settings.longest_backoff,
        }
    }

    /// Waits; false at once if the wait would outlast the patience.
    fn wait(&mut self) -> bool {
        let wait = self.limit.mul_f64(rand::random());
        if Instant::now() + wait >= self.deadline {
            return false;
        }
        thread::sleep(wait);
        counter!("lws_store_retries").increment(1);
        self.limit = (self.limit * 2).min(self.longest);
        true
    }
}
