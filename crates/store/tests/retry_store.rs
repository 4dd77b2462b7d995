//! Tests of retries and of writes with lost responses, against a scripted store and a fake
//! HTTP store.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::{collections::VecDeque, sync::Arc, time::Duration};

use fake::{FaultRate, StoreFake, StoreFaults};
use parking_lot::Mutex;
use proptest::prelude::*;
use store::{
    BootClock, CallKind, CallRateLimiter, CircuitVerdict, HttpStore, KeyStore, RetrySettings,
    RetryStore, StoreCircuit, StoreError, StoreVersion, StoredValue,
};

/// Scripted outcome of one call of a [`ScriptStore`].
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Fine,
    Refused,
    /// It takes effect and its response is lost.
    Lost,
    /// Its response is lost and it takes effect just before the next call of any kind.
    Late,
    /// Another write takes effect just before it.
    Raced,
    /// It takes effect, its response is lost, and another writer overwrites it.
    Overwritten,
}

/// A delayed write: expected version and value.
type LateWrite = (StoreVersion, Vec<u8>);

/// A store with one key whose calls have scripted outcomes.
#[derive(Default)]
struct ScriptStore {
    state: Mutex<ScriptState>,
}

#[derive(Default)]
struct ScriptState {
    outcomes: VecDeque<CallOutcome>,
    version: StoreVersion,
    value: Vec<u8>,
    late: Vec<LateWrite>,
    /// Versions at which the value under test took effect.
    effects: Vec<StoreVersion>,
}

const OURS: &[u8] = b"ours";

impl ScriptState {
    fn apply(&mut self, expect: StoreVersion, value: &[u8]) -> Result<StoreVersion, StoreError> {
        if expect != self.version {
            return Err(StoreError::Conflict {
                current: self.version,
            });
        }
        self.version += 1;
        self.value = value.to_vec();
        if value == OURS {
            self.effects.push(self.version);
        }
        Ok(self.version)
    }

    fn begin_call(&mut self) -> CallOutcome {
        for (expect, value) in std::mem::take(&mut self.late) {
            let _ = self.apply(expect, &value);
        }
        let outcome = self.outcomes.pop_front().unwrap_or(CallOutcome::Fine);
        if matches!(outcome, CallOutcome::Raced) {
            let _ = self.apply(self.version, b"theirs");
        }
        outcome
    }
}

impl KeyStore for ScriptStore {
    fn read(&self, _key: &str) -> Result<Option<StoredValue>, StoreError> {
        let mut state = self.state.lock();
        match state.begin_call() {
            CallOutcome::Refused => Err(StoreError::Unavailable("refused".to_owned())),
            CallOutcome::Lost | CallOutcome::Late => Err(StoreError::Unknown("lost".to_owned())),
            _ if state.version == 0 => Ok(None),
            _ => Ok(Some(StoredValue {
                version: state.version,
                value: state.value.clone(),
            })),
        }
    }

    fn swap(
        &self,
        _key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError> {
        let mut state = self.state.lock();
        let lost = Err(StoreError::Unknown("lost".to_owned()));
        match state.begin_call() {
            CallOutcome::Refused => Err(StoreError::Unavailable("refused".to_owned())),
            CallOutcome::Late => {
                state.late.push((expect, value.to_vec()));
                lost
            }
            CallOutcome::Lost => {
                let _ = state.apply(expect, value);
                lost
            }
            CallOutcome::Overwritten => {
                let _ = state.apply(expect, value);
                let version = state.version;
                let _ = state.apply(version, b"theirs");
                lost
            }
            CallOutcome::Fine | CallOutcome::Raced => state.apply(expect, value),
        }
    }

    fn remove(&self, _key: &str, _expect: StoreVersion) -> Result<(), StoreError> {
        Ok(())
    }

    fn watch(
        &self,
        _key: &str,
        _after: StoreVersion,
        _max_wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        Ok(None)
    }

    fn list(&self, _prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        Ok(Vec::new())
    }
}

fn fast_settings() -> RetrySettings {
    RetrySettings {
        operation_timeout: Duration::from_millis(60),
        first_backoff: Duration::from_micros(50),
        longest_backoff: Duration::from_micros(200),
        first_pause: Duration::from_micros(100),
        longest_pause: Duration::from_micros(200),
        calls_per_second: 1_000_000,
    }
}

fn scripted(outcomes: &[CallOutcome]) -> (Arc<ScriptStore>, RetryStore) {
    let script = Arc::new(ScriptStore::default());
    script.state.lock().outcomes = outcomes.iter().copied().collect();
    let inner = Arc::<ScriptStore>::clone(&script);
    let store = RetryStore::with_settings(inner, Arc::new(BootClock), fast_settings());
    (script, store)
}

#[test]
fn swap_lost_after_effect() {
    // The write takes effect and its response is lost. Reading back finds the written bytes, so
    // the write must be reported as successful and must take effect only once.
    let (script, store) = scripted(&[CallOutcome::Lost, CallOutcome::Refused, CallOutcome::Lost]);
    assert_eq!(store.swap("k", 0, OURS), Ok(1));
    assert_eq!(script.state.lock().effects, [1]);
}

#[test]
fn swap_late_then_repeated() {
    // The response is lost and reading back shows the old version, because the write is still
    // in flight. The write is repeated; the version check lets only one of the two take effect.
    let (script, store) = scripted(&[CallOutcome::Late, CallOutcome::Late, CallOutcome::Fine]);
    assert_eq!(store.swap("k", 0, OURS), Ok(1));
    assert_eq!(script.state.lock().effects, [1]);
}

#[test]
fn swap_lost_then_overwritten() {
    // The write takes effect, its response is lost, and another writer overwrites it. Reporting
    // a conflict would mean "nothing was written", which is false.
    let (script, store) = scripted(&[CallOutcome::Overwritten]);
    assert!(matches!(
        store.swap("k", 0, OURS),
        Err(StoreError::Unknown(_))
    ));
    assert_eq!(script.state.lock().effects, [1]);
}

#[test]
fn swap_conflict_is_not_repeated() {
    let (script, store) = scripted(&[CallOutcome::Raced]);
    assert_eq!(
        store.swap("k", 0, OURS),
        Err(StoreError::Conflict { current: 1 })
    );
    assert!(script.state.lock().effects.is_empty());
}

#[test]
fn swap_always_refused_is_unavailable() {
    let (script, store) = scripted(&[CallOutcome::Refused; 10_000]);
    assert!(matches!(
        store.swap("k", 0, OURS),
        Err(StoreError::Unavailable(_))
    ));
    assert!(script.state.lock().effects.is_empty());
}

#[test]
fn swap_lost_then_down() {
    // The write takes effect, its response is lost, and the store goes down before the value
    // can be read back. `Unavailable` would mean "nothing was written", which is false.
    let mut outcomes = vec![CallOutcome::Lost];
    outcomes.resize(10_000, CallOutcome::Refused);
    let (script, store) = scripted(&outcomes);
    assert!(matches!(
        store.swap("k", 0, OURS),
        Err(StoreError::Unknown(_))
    ));
    assert_eq!(script.state.lock().effects, [1]);
}

fn any_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        Just(CallOutcome::Fine),
        Just(CallOutcome::Refused),
        Just(CallOutcome::Lost),
        Just(CallOutcome::Late),
        Just(CallOutcome::Raced),
        Just(CallOutcome::Overwritten),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    /// For any sequence of faults, the value takes effect at most once and the returned outcome
    /// is correct.
    #[test]
    fn swap_outcome_is_correct(outcomes in proptest::collection::vec(any_outcome(), 0..12), down_after: bool) {
        let mut outcomes = outcomes;
        if down_after {
            outcomes.resize(10_000, CallOutcome::Refused);
        }
        let (script, store) = scripted(&outcomes);
        let outcome = store.swap("k", 0, OURS);
        let state = script.state.lock();
        prop_assert!(state.effects.len() <= 1, "{:?}", state.effects);
        match outcome {
            Ok(version) => prop_assert_eq!(&state.effects, &[version]),
            Err(StoreError::Conflict { .. } | StoreError::Unavailable(_)) => {
                prop_assert!(state.effects.is_empty());
                prop_assert!(state.late.is_empty());
            }
            Err(_) => {}
        }
    }
}

#[test]
fn swap_lost_responses_of_http_store() {
    // Several writers append to one key while a third of all responses is lost after the write
    // took effect. Each mark must be in the store exactly once.
    let fake = StoreFake::start("127.0.0.1:0").unwrap();
    fake.set_faults(StoreFaults {
        lose_writes: FaultRate::by_chance(0.33),
        seed: 7,
        ..StoreFaults::default()
    });
    let settings = RetrySettings {
        calls_per_second: 10_000,
        operation_timeout: Duration::from_secs(20),
        ..fast_settings()
    };
    let writers = 4;
    std::thread::scope(|scope| {
        for writer in 0..writers {
            let (fake, settings) = (&fake, settings.clone());
            scope.spawn(move || {
                let inner = Arc::new(HttpStore::new(&fake.url(), Duration::from_secs(5)));
                let store = RetryStore::with_settings(inner, Arc::new(BootClock), settings);
                for number in 0..20 {
                    append_mark(&store, &format!("{writer}.{number} "));
                }
            });
        }
    });
    let inner = HttpStore::new(&fake.url(), Duration::from_secs(5));
    let text = String::from_utf8(inner.read("marks").unwrap().unwrap().value).unwrap();
    for writer in 0..writers {
        for number in 0..20 {
            let mark = format!("{writer}.{number}");
            assert_eq!(
                text.split(' ').filter(|part| *part == mark).count(),
                1,
                "{mark}"
            );
        }
    }
}

/// Appends a mark once: reads the value, checks whether it holds the mark, and swaps.
fn append_mark(store: &RetryStore, mark: &str) {
    loop {
        let stored = store.read("marks").unwrap();
        let (version, mut value) = stored.map_or((0, Vec::new()), |s| (s.version, s.value));
        let text = String::from_utf8(value.clone()).unwrap();
        if format!(" {text}").contains(&format!(" {mark}")) {
            return;
        }
        value.extend_from_slice(mark.as_bytes());
        if store.swap("marks", version, &value).is_ok() {
            return;
        }
    }
}

#[test]
fn read_circuit_limits_calls() {
    // The store is down for a long time and twenty threads keep reading. The circuit lets
    // one probe through per pause, and the first response closes it again.
    let fake = StoreFake::start("127.0.0.1:0").unwrap();
    fake.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let inner = Arc::new(HttpStore::new(&fake.url(), Duration::from_secs(5)));
    let counts = inner.counts();
    let settings = RetrySettings {
        operation_timeout: Duration::from_millis(100),
        first_pause: Duration::from_millis(400),
        longest_pause: Duration::from_millis(400),
        ..RetrySettings::default()
    };
    let store = RetryStore::with_settings(inner, Arc::new(BootClock), settings);
    let reads = 50;
    for _ in 0..reads {
        assert!(matches!(store.read("k"), Err(StoreError::Unavailable(_))));
    }
    assert!(store.is_open());
    assert!(counts.of(CallKind::Read) < reads, "{counts:?}");
    fake.set_faults(StoreFaults::default());
    while store.read("k").is_err() {}
    assert!(!store.is_open());
}

#[test]
fn circuit_probes_once_per_pause() {
    let pause = Duration::from_secs(1);
    let mut circuit = StoreCircuit::new(pause, 4 * pause);
    let mut now = Duration::from_secs(100);
    let opened = (0..4).filter(|_| circuit.record_failure(now, 1.0)).count();
    assert_eq!((opened, circuit.is_open()), (1, true));
    assert_eq!(circuit.admit(now), CircuitVerdict::Fail);
    now += pause;
    assert_eq!(circuit.admit(now), CircuitVerdict::Probe);
    assert_eq!(circuit.admit(now), CircuitVerdict::Fail);
    assert!(!circuit.record_failure(now, 1.0));
    assert_eq!(circuit.admit(now + pause), CircuitVerdict::Fail);
    assert_eq!(circuit.admit(now + 2 * pause), CircuitVerdict::Probe);
    assert!(circuit.record_answer());
    assert_eq!(circuit.admit(now), CircuitVerdict::Pass);
}

#[test]
fn try_acquire_enforces_rate() {
    let mut limiter = CallRateLimiter::new(50);
    let taken = (0..10_000)
        .filter(|tick| limiter.try_acquire(Duration::from_millis(*tick)).is_ok())
        .count();
    assert!((50 * 10..=50 * 11).contains(&taken), "{taken}");
}
