//! Repetition of calls and settling of lost answers, against scripted and real stand-ins.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::{collections::VecDeque, sync::Arc, time::Duration};

use fake::{FaultRate, StoreFake, StoreFaults};
use parking_lot::Mutex;
use proptest::prelude::*;
use store::{
    BootClock, CallKind, CallRateLimiter, CircuitVerdict, HttpStore, KeyStore, RetrySettings,
    RetryStore, StoreCircuit, StoreError, StoreVersion, StoredValue,
};

/// What happens to one call of a [`ScriptStore`].
#[derive(Clone, Copy, Debug)]
enum CallFate {
    Fine,
    Refused,
    /// It takes effect and its answer is lost.
    Lost,
    /// Its answer is lost and it takes effect with the next call, whatever that is.
    Late,
    /// Another writer comes first.
    Raced,
    /// It takes effect, its answer is lost, and another writer overwrites it.
    Overwritten,
}

/// A write that is still under way.
type LateWrite = (StoreVersion, Vec<u8>);

/// One key whose calls meet scripted fates.
#[derive(Default)]
struct ScriptStore {
    state: Mutex<ScriptState>,
}

#[derive(Default)]
struct ScriptState {
    fates: VecDeque<CallFate>,
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

    fn arrive(&mut self) -> CallFate {
        for (expect, value) in std::mem::take(&mut self.late) {
            let _ = self.apply(expect, &value);
        }
        let fate = self.fates.pop_front().unwrap_or(CallFate::Fine);
        if matches!(fate, CallFate::Raced) {
            let _ = self.apply(self.version, b"theirs");
        }
        fate
    }
}

impl KeyStore for ScriptStore {
    fn read(&self, _key: &str) -> Result<Option<StoredValue>, StoreError> {
        let mut state = self.state.lock();
        match state.arrive() {
            CallFate::Refused => Err(StoreError::Unavailable("refused".to_owned())),
            CallFate::Lost | CallFate::Late => Err(StoreError::Unknown("lost".to_owned())),
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
        match state.arrive() {
            CallFate::Refused => Err(StoreError::Unavailable("refused".to_owned())),
            CallFate::Late => {
                state.late.push((expect, value.to_vec()));
                lost
            }
            CallFate::Lost => {
                let _ = state.apply(expect, value);
                lost
            }
            CallFate::Overwritten => {
                let _ = state.apply(expect, value);
                let version = state.version;
                let _ = state.apply(version, b"theirs");
                lost
            }
            CallFate::Fine | CallFate::Raced => state.apply(expect, value),
        }
    }

    fn remove(&self, _key: &str, _expect: StoreVersion) -> Result<(), StoreError> {
        Ok(())
    }

    fn watch(
        &self,
        _key: &str,
        _after: StoreVersion,
        _patience: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        Ok(None)
    }

    fn list(&self, _prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        Ok(Vec::new())
    }
}

fn quick() -> RetrySettings {
    RetrySettings {
        operation_timeout: Duration::from_millis(60),
        first_backoff: Duration::from_micros(50),
        longest_backoff: Duration::from_micros(200),
        first_pause: Duration::from_micros(100),
        longest_pause: Duration::from_micros(200),
        calls_per_second: 1_000_000,
    }
}

fn scripted(fates: &[CallFate]) -> (Arc<ScriptStore>, RetryStore) {
    let script = Arc::new(ScriptStore::default());
    script.state.lock().fates = fates.iter().copied().collect();
    let inner = Arc::<ScriptStore>::clone(&script);
    let store = RetryStore::with_settings(inner, Arc::new(BootClock), quick());
    (script, store)
}

#[test]
fn swap_lost_after_effect() {
    // An operator applies a manifest, the store takes it, and the answer is lost. Reading
    // back finds the operator's own bytes: the change is settled as written, once.
    let (script, store) = scripted(&[CallFate::Lost, CallFate::Refused, CallFate::Lost]);
    assert_eq!(store.swap("k", 0, OURS), Ok(1));
    assert_eq!(script.state.lock().effects, [1]);
}

#[test]
fn swap_late_then_repeated() {
    // The answer is lost and the read back shows the old version, because the write is
    // still on its way. It is repeated; the version guard lets only one of the two through.
    let (script, store) = scripted(&[CallFate::Late, CallFate::Late, CallFate::Fine]);
    assert_eq!(store.swap("k", 0, OURS), Ok(1));
    assert_eq!(script.state.lock().effects, [1]);
}

#[test]
fn swap_lost_then_overwritten() {
    // The write takes effect, its answer is lost, and another writer builds on it. Calling
    // that a conflict would tell the operator "nothing was written", which is false.
    let (script, store) = scripted(&[CallFate::Overwritten]);
    assert!(matches!(
        store.swap("k", 0, OURS),
        Err(StoreError::Unknown(_))
    ));
    assert_eq!(script.state.lock().effects, [1]);
}

#[test]
fn swap_conflict_is_not_repeated() {
    let (script, store) = scripted(&[CallFate::Raced]);
    assert_eq!(
        store.swap("k", 0, OURS),
        Err(StoreError::Conflict { current: 1 })
    );
    assert!(script.state.lock().effects.is_empty());
}

#[test]
fn swap_refused_for_good() {
    let (script, store) = scripted(&[CallFate::Refused; 10_000]);
    assert!(matches!(
        store.swap("k", 0, OURS),
        Err(StoreError::Unavailable(_))
    ));
    assert!(script.state.lock().effects.is_empty());
}

#[test]
fn swap_lost_then_down() {
    // The write takes effect, its answer is lost, and the store goes down before it can be
    // asked. "Unavailable, nothing was recorded" would be false; the outcome is unknown.
    let mut fates = vec![CallFate::Lost];
    fates.resize(10_000, CallFate::Refused);
    let (script, store) = scripted(&fates);
    assert!(matches!(
        store.swap("k", 0, OURS),
        Err(StoreError::Unknown(_))
    ));
    assert_eq!(script.state.lock().effects, [1]);
}

fn any_fate() -> impl Strategy<Value = CallFate> {
    prop_oneof![
        Just(CallFate::Fine),
        Just(CallFate::Refused),
        Just(CallFate::Lost),
        Just(CallFate::Late),
        Just(CallFate::Raced),
        Just(CallFate::Overwritten),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    /// Whatever happens to the calls: the value takes effect at most once, and each outcome
    /// is true when it is told.
    #[test]
    fn swap_outcome_true(fates in proptest::collection::vec(any_fate(), 0..12), down_after: bool) {
        let mut fates = fates;
        if down_after {
            fates.resize(10_000, CallFate::Refused);
        }
        let (script, store) = scripted(&fates);
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
fn swap_lost_by_real_store() {
    // As in production: many writers on one key, a third of all answers lost after the
    // write took effect. Every counted increment is in the store, and none twice.
    let fake = StoreFake::start("127.0.0.1:0").unwrap();
    fake.set_faults(StoreFaults {
        lose_writes: FaultRate::by_chance(0.33),
        seed: 7,
        ..StoreFaults::default()
    });
    let settings = RetrySettings {
        calls_per_second: 10_000,
        operation_timeout: Duration::from_secs(20),
        ..quick()
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

/// Adds a mark once, as writers of records do: read, check for the own mark, swap.
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
fn reads_stop_hammering() {
    // The store is down for long and twenty duties keep reading. The circuit lets through
    // one probe a pause, and the first answer opens the way again.
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
    let asked = 50;
    for _ in 0..asked {
        assert!(matches!(store.read("k"), Err(StoreError::Unavailable(_))));
    }
    assert!(store.is_open());
    assert!(counts.of(CallKind::Read) < asked, "{counts:?}");
    fake.set_faults(StoreFaults::default());
    while store.read("k").is_err() {}
    assert!(!store.is_open());
}

#[test]
fn circuit_probes_once_a_pause() {
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
fn pace_holds_ceiling() {
    let mut pace = CallRateLimiter::new(50);
    let taken = (0..10_000)
        .filter(|tick| pace.try_acquire(Duration::from_millis(*tick)).is_ok())
        .count();
    assert!((50 * 10..=50 * 11).contains(&taken), "{taken}");
}
