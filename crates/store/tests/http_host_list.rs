//! Tests of the HTTP host list client against a fake server.

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

// The client caches the list. It must not return an old list after a single flag changed, nor
// an empty list for the status "not modified".
#[test]
fn hosts_follow_changes_of_cached_list() {
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
