//! The host list over HTTP, against the stand-in.

#![allow(clippy::expect_used)]

use std::time::Duration;

use fake::{HostListFake, HostRow};
use store::{HostList, HttpHostList};

const TIMEOUT: Duration = Duration::from_secs(5);

fn rows(count: usize, leaving: usize) -> Vec<HostRow> {
    let row = |index: usize| HostRow {
        host: format!("w-{index:04}"),
        address: format!("127.0.0.1:{}", 10_000 + index),
        role: "worker".to_owned(),
        leaving: index < leaving,
        ..HostRow::default()
    };
    (0..count).map(row).collect()
}

// Operators see a host leave although nothing but one mark of the list changed: a client
// that keeps the last list must not show an old one, nor an empty one for "not modified".
#[test]
fn hosts_unchanged_then_changed() {
    let fake = HostListFake::start("127.0.0.1:0").expect("start");
    let list = HttpHostList::new(&fake.url(), TIMEOUT);
    fake.set_hosts(rows(300, 0));
    for _ in 0..3 {
        let hosts = list.hosts().expect("a list");
        assert_eq!(hosts.len(), 300);
        assert!(hosts.iter().all(|host| !host.leaving));
    }
    fake.set_hosts(rows(300, 1));
    for _ in 0..2 {
        let hosts = list.hosts().expect("a list");
        assert_eq!(hosts.iter().filter(|host| host.leaving).count(), 1);
    }
    fake.set_hosts(Vec::new());
    assert!(list.hosts().expect("a list").is_empty());
}
