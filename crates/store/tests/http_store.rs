//! Tests of the HTTP store client against a fake store with injected faults.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::{
    net::TcpListener,
    thread,
    time::{Duration, Instant},
};

use fake::{FaultRate, StoreFake, StoreFaults};
use store::{CallKind, HttpStore, KeyStore, StoreError};

const TIMEOUT: Duration = Duration::from_millis(300);

fn start() -> (StoreFake, HttpStore) {
    let fake = StoreFake::start("127.0.0.1:0").unwrap();
    let store = HttpStore::new(&fake.url(), TIMEOUT);
    (fake, store)
}

#[test]
fn swap_compares_versions() {
    let (_fake, store) = start();
    assert_eq!(store.read("config").unwrap(), None);
    let first = store.swap("config", 0, b"one").unwrap();
    let conflict = StoreError::Conflict { current: first };
    assert_eq!(store.swap("config", 0, b"two"), Err(conflict.clone()));
    assert_eq!(store.remove("config", first + 7), Err(conflict));
    let second = store.swap("config", first, b"two").unwrap();
    assert!(second > first);
    let stored = store.read("config").unwrap().unwrap();
    assert_eq!(
        (stored.version, stored.value.as_slice()),
        (second, &b"two"[..])
    );
    store.remove("config", second).unwrap();
    assert_eq!(store.read("config").unwrap(), None);
    let third = store.swap("config", 0, b"").unwrap();
    assert!(third > second, "a version was reused after a removal");
    assert_eq!(store.read("config").unwrap().unwrap().value, b"");
}

#[test]
fn list_keeps_order_and_bytes() {
    let (_fake, store) = start();
    let bytes: Vec<u8> = (0..=255).collect();
    store.swap("quota/b", 0, &bytes).unwrap();
    store.swap("quota/a", 0, b"x").unwrap();
    store.swap("quotas", 0, b"other").unwrap();
    let listed = store.list("quota/").unwrap();
    let keys: Vec<_> = listed.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, ["quota/a", "quota/b"]);
    assert_eq!(listed[1].1.value, bytes);
}

#[test]
fn watch_sees_write_or_ends() {
    let (fake, store) = start();
    let version = store.swap("config", 0, b"one").unwrap();
    let none = store.watch("config", version, Duration::from_millis(50));
    assert_eq!(none.unwrap(), None);
    let writer = HttpStore::new(&fake.url(), TIMEOUT);
    let thread = thread::spawn(move || {
        thread::sleep(Duration::from_millis(50));
        writer.swap("config", version, b"two").unwrap()
    });
    let seen = store.watch("config", version, Duration::from_secs(20));
    let seen = seen.unwrap().unwrap();
    assert_eq!(seen.version, thread.join().unwrap());
    assert_eq!(store.counts().of(CallKind::Watch), 2);
}

#[test]
fn swap_rejects_large_value_and_bad_key() {
    let (_fake, store) = start();
    let value = vec![7; 1024 * 1024 + 1];
    assert!(matches!(
        store.swap("k", 0, &value),
        Err(StoreError::Rejected(_))
    ));
    store.swap("k", 0, &value[1..]).unwrap();
    assert_eq!(store.read("k").unwrap().unwrap().value.len(), 1024 * 1024);
    assert!(matches!(
        store.read("k?after=1"),
        Err(StoreError::Rejected(_))
    ));
}

#[test]
fn swap_reports_unavailable_when_store_is_down() {
    // Guards against reporting an unknown outcome when nothing was written: the store responds
    // 503, or nothing listens at its address.
    let (fake, store) = start();
    fake.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    assert!(matches!(
        store.swap("k", 0, b"v"),
        Err(StoreError::Unavailable(_))
    ));
    let gone = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    let store = HttpStore::new(&format!("http://{address}"), TIMEOUT);
    assert!(matches!(
        store.swap("k", 0, b"v"),
        Err(StoreError::Unavailable(_))
    ));
}

#[test]
fn swap_reports_unknown_after_lost_response() {
    // The write takes effect, but the connection breaks before the response. If the client
    // returned `Unavailable`, the operator would see "nothing was recorded" although the change
    // takes effect.
    let (fake, store) = start();
    fake.set_faults(StoreFaults {
        lose_writes: FaultRate::next(1),
        ..StoreFaults::default()
    });
    assert!(matches!(
        store.swap("k", 0, b"v"),
        Err(StoreError::Unknown(_))
    ));
    assert_eq!(store.read("k").unwrap().unwrap().value, b"v");
    assert_eq!(fake.history(0).writes.len(), 1);
}

#[test]
fn calls_time_out_when_store_hangs() {
    // The store accepts connections and never responds. Without a timeout for the whole call,
    // the thread that renews the serving lease would block forever.
    let (fake, store) = start();
    fake.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });
    let begin = Instant::now();
    assert!(matches!(store.read("k"), Err(StoreError::Unknown(_))));
    assert!(matches!(
        store.swap("k", 0, b"v"),
        Err(StoreError::Unknown(_))
    ));
    let watched = store.watch("k", 0, Duration::from_millis(100));
    assert!(matches!(watched, Err(StoreError::Unknown(_))));
    assert!(begin.elapsed() < Duration::from_secs(20));
    assert!(fake.history(0).writes.is_empty());
}

#[test]
fn watch_times_out_for_one_host() {
    // The watch of one entry host hangs while the others see the change. The client's own
    // timeout ends the call, so that the host can read the key instead.
    let (fake, store) = start();
    fake.set_view_faults(
        "e1",
        StoreFaults {
            watch_hang: true,
            ..StoreFaults::default()
        },
    );
    store.swap("k", 0, b"v").unwrap();
    let stuck = HttpStore::new(&format!("{}/view/e1", fake.url()), TIMEOUT);
    let max_wait = Duration::from_millis(100);
    assert!(matches!(
        stuck.watch("k", 0, max_wait),
        Err(StoreError::Unknown(_))
    ));
    assert!(stuck.read("k").unwrap().is_some());
    assert!(store.watch("k", 0, max_wait).unwrap().is_some());
    assert_eq!(fake.calls()["e1"].watch, 1);
}

#[test]
fn swap_fails_above_rate_limit() {
    let (fake, store) = start();
    fake.set_faults(StoreFaults {
        writes_per_s: 3,
        ..StoreFaults::default()
    });
    let refused = (0..200)
        .filter(|number| store.swap(&format!("k{number}"), 0, b"v").is_err())
        .count();
    assert!(refused > 0);
    assert_eq!(fake.history(0).writes.len(), 200 - refused);
}
