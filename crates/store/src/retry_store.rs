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

/// Settings of the retries, the circuit breaker and the rate limit of a [`RetryStore`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Timeout of one operation including its retries; the last call may exceed it by the
    /// timeout of the underlying client.
    pub operation_timeout: Duration,
    /// First back-off; later ones double. Each wait is random between zero and the back-off.
    pub first_backoff: Duration,
    /// Maximum back-off.
    pub longest_backoff: Duration,
    /// First pause of the circuit breaker, see [`StoreCircuit`].
    pub first_pause: Duration,
    /// Maximum pause of the circuit breaker.
    pub longest_pause: Duration,
    /// Maximum calls per second, retries and watches included.
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

/// A store client that retries calls and finds out whether a write with a lost response took
/// effect.
///
/// `docs/design/08-platform.md` explains how and why this is safe. In short: a repeated
/// compare-and-swap on the same version takes effect at most once, because versions are never
/// reused. A record that holds exactly the bytes of the write counts as written, even if
/// another client wrote it. Records that must identify their writer include it in their bytes.
pub struct RetryStore {
    inner: Arc<dyn KeyStore>,
    clock: Arc<dyn Clock>,
    settings: RetrySettings,
    circuit: Mutex<StoreCircuit>,
    rate_limiter: Mutex<CallRateLimiter>,
}

/// Result of reading a key after the response to a write was lost.
enum WriteResolution {
    /// The record holds the written value, at this version.
    Applied(StoreVersion),
    /// The write has not taken effect and may be repeated.
    NotApplied,
    /// The record holds another value, which may have overwritten ours.
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
        let rate_limiter = CallRateLimiter::new(settings.calls_per_second);
        Self {
            inner,
            clock,
            circuit: Mutex::new(circuit),
            rate_limiter: Mutex::new(rate_limiter),
            settings,
        }
    }

    /// True while the circuit is open: calls fail immediately because earlier ones failed.
    pub fn is_open(&self) -> bool {
        self.circuit.lock().is_open()
    }

    /// Makes one call, subject to the rate limit and the circuit breaker.
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
            let Err(wait) = self.rate_limiter.lock().try_acquire(self.clock.boot_now()) else {
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

    /// Retries an idempotent operation until it succeeds or its timeout ends.
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
            // With the circuit open, a retry would fail without reaching the store.
            if self.is_open() || !backoff.wait() {
                return result;
            }
        }
    }

    /// Retries a write until its outcome is known or its timeout ends.
    fn retry_write<T>(
        &self,
        write: impl Fn() -> Result<T, StoreError>,
        read_back: impl Fn() -> Result<WriteResolution, StoreError>,
        done: impl Fn(StoreVersion) -> T,
    ) -> Result<T, StoreError> {
        let mut backoff = RetryBackoff::new(&self.settings);
        // After a lost response, a conflict may be caused by our own write, and a refused call
        // no longer means that nothing was written.
        let mut lost_response: Option<StoreError> = None;
        loop {
            let result = self.call_once(&write);
            match (&result, &lost_response) {
                (Err(StoreError::Unknown(_)), None) => lost_response = result.err(),
                (Err(StoreError::Conflict { .. }), Some(_))
                | (Err(StoreError::Unavailable(_) | StoreError::Unknown(_)), _) => {}
                _ => return result,
            }
            if let Some(unknown) = &lost_response {
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
            let give_up = lost_response.is_none() && self.is_open();
            if give_up || !backoff.wait() {
                let never_sent = StoreError::Unavailable("it did not answer".to_owned());
                return Err(lost_response.unwrap_or(never_sent));
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

    /// Makes a single attempt, because callers watch in a loop. A watch that hangs says nothing
    /// about the store's health, so its result does not affect the circuit breaker.
    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        max_wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.wait_for_rate()?;
        if self.is_open() {
            let cause = "not watched: it is down".to_owned();
            return Err(StoreError::Unavailable(cause));
        }
        self.inner.watch(key, after, max_wait)
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        self.retry_idempotent(|| self.inner.list(prefix))
    }
}

/// Exponential back-off with full jitter: each wait is random between zero and a limit that
/// doubles, so that clients that failed at the same time do not retry at the same time.
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

    /// Sleeps before the next retry; false immediately if the sleep would pass the deadline.
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
