//! The store as the system sees it, through client and stand-in, is linearizable.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use fake::{FaultRate, StoreFake, StoreFaults};
use proof::{KeyRegisterSpec, OpSpan, OpTimer, RegisterOp, is_linearizable};
use rstest::rstest;
use store::{BootClock, HttpStore, KeyStore, RetrySettings, RetryStore, StoreError, StoredValue};

const CLIENTS: u64 = 3;
const SWAPS: u64 = 12;

type RegisterHistory = Vec<(OpSpan, RegisterOp)>;

/// Three clients increment one key by read and swap, each swap with a value of its own.
fn record(faults: StoreFaults) -> RegisterHistory {
    let fake = StoreFake::start("127.0.0.1:0").unwrap();
    fake.set_faults(faults);
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let url = fake.url();
            thread::spawn(move || one_client(&url, client))
        })
        .collect();
    threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap())
        .collect()
}

fn one_client(url: &str, client: u64) -> RegisterHistory {
    let inner = Arc::new(HttpStore::new(url, Duration::from_secs(5)));
    let settings = RetrySettings {
        first_backoff: Duration::from_millis(1),
        longest_backoff: Duration::from_millis(4),
        calls_per_second: 10_000,
        ..RetrySettings::default()
    };
    let store = RetryStore::with_settings(inner, Arc::new(BootClock), settings);
    let mut history = RegisterHistory::new();
    let mut versions = BTreeMap::new();
    for number in 0..SWAPS {
        let timer = OpTimer::begin();
        let stored = store.read("register").unwrap();
        let known = value_of(stored.as_ref());
        history.push((timer.end(), RegisterOp::Read(known)));
        let version = stored.map_or(0, |stored| stored.version);
        versions.insert(known, version);
        let value = 1 + client + CLIENTS * number;
        let timer = OpTimer::begin();
        let result = store.swap("register", version, value.to_string().as_bytes());
        let (expect, span) = (known, timer.end());
        history.push(match result {
            Ok(_) => (span, RegisterOp::Swapped { expect, value }),
            Err(StoreError::Conflict { .. }) => (span, RegisterOp::Conflicted { expect }),
            Err(_) => (timer.open_end(), RegisterOp::Lost { expect, value }),
        });
    }
    history
}

fn value_of(stored: Option<&StoredValue>) -> Option<u64> {
    let text = String::from_utf8(stored?.value.clone()).unwrap();
    Some(text.parse().unwrap())
}

#[rstest]
#[case::sound(0.0)]
#[case::answers_lost(0.3)]
fn store_register_linearizable(#[case] chance: f64) {
    for seed in 0..5 {
        println!("seed {seed}");
        let history = record(StoreFaults {
            lose_writes: FaultRate::by_chance(chance),
            seed,
            ..StoreFaults::default()
        });
        assert!(is_linearizable::<KeyRegisterSpec>(&history), "{history:#?}");
    }
}

#[test]
fn store_register_stale_reads() {
    // A store that serves reads from a lagging copy would let an entry host renew its
    // lease on an old configuration. The checker must see it, or its passes say nothing.
    let history = record(StoreFaults {
        stale_reads: FaultRate::by_chance(0.5),
        seed: 1,
        ..StoreFaults::default()
    });
    assert!(!is_linearizable::<KeyRegisterSpec>(&history));
}
