//! The host list stand-in lags.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::time::Duration;

use fake::{HostListFake, HostListFaults, HostRow};
use model::HostRole;
use store::{HostList, HttpHostList};

#[test]
fn hosts_show_after_lag() {
    let fake = HostListFake::start("127.0.0.1:0").unwrap();
    let list = HttpHostList::new(&fake.url(), Duration::from_secs(20));
    let row = HostRow {
        host: "w-1".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        role: "worker".to_owned(),
        cores: 16,
        ..HostRow::default()
    };
    fake.set_hosts(vec![row.clone()]);
    let hosts = list.hosts().unwrap();
    assert_eq!(
        (hosts[0].host.as_str(), hosts[0].role),
        ("w-1", HostRole::Worker)
    );
    fake.set_faults(HostListFaults {
        lag_ms: 3_600_000,
        ..HostListFaults::default()
    });
    fake.set_hosts(vec![row.clone(), row]);
    assert!(list.hosts().unwrap().len() < 2);
    fake.set_faults(HostListFaults::default());
    assert_eq!(list.hosts().unwrap().len(), 2);
    fake.set_faults(HostListFaults {
        down: true,
        ..HostListFaults::default()
    });
    assert!(list.hosts().is_err());
}
