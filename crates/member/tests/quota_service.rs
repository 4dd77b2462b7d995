//! Tests of team limits on several entry hosts, over real sockets and a store in memory.

#![allow(clippy::unwrap_used)]

mod common;

use std::{sync::Arc, time::Instant};

use common::{MemoryStore, StoreFaults, TestHost, wait_until};
use model::{Manifest, TeamId};
use ports::{ChangeRequest, ChangeSink, QuotaPermit, QuotaSource};
use wire::state::SectionEdit;

fn set_limit(host: &TestHost, id: &str, limit: u32) {
    let text = format!("[deployment]\nname = trial\n[team.panels]\nshare = 1\nlimit = {limit}\n");
    let sections = Manifest::split(&text).unwrap().into_iter();
    let request = ChangeRequest {
        change_id: id.into(),
        author: "ops".to_owned(),
        sections: sections
            .map(|(section, text)| SectionEdit { section, text })
            .collect(),
        ..ChangeRequest::default()
    };
    host.service.submit(&request).unwrap();
}

/// Takes units until `count` are held.
fn take_units(host: &TestHost, count: usize) -> Vec<QuotaPermit> {
    let team = TeamId::from("panels");
    let mut permits = Vec::new();
    let wanted = u32::try_from(count).unwrap();
    let begin = Instant::now();
    wait_until("the units are held", || {
        permits.extend(host.service.try_take(&team));
        let waiting = wanted - u32::try_from(permits.len()).unwrap();
        host.service.report_waiting(&team, waiting);
        permits.len() == count
    });
    println!("{count} units after {:?}", begin.elapsed());
    permits
}

// All callers of a team use one of three entry hosts. They must get the whole limit there, not a
// third of it, and when they move to another host, the limit must move with them.
#[test]
fn try_take_limit_follows_demand() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    set_limit(&hosts[0], "c1", 30);
    let team = TeamId::from("panels");
    let first = take_units(&hosts[0], 30);
    assert!(hosts[0].service.try_take(&team).is_none());
    assert!(hosts[1].service.try_take(&team).is_none());
    drop(first);
    let writes = store.writes();
    let second = take_units(&hosts[1], 30);
    println!("writes for the move: {}", store.writes() - writes);
    assert!(hosts[0].service.try_take(&team).is_none());
    drop(second);
}

#[test]
fn try_take_unknown_team_is_none() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 1);
    set_limit(&hosts[0], "c1", 2);
    assert!(hosts[0].service.try_take(&"nobody".into()).is_none());
}

// The write of a grant takes effect and the response of the store is lost. The host must neither
// use units that it does not have nor wait forever; it must read the record back.
#[test]
fn try_take_recovers_from_lost_response() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 1);
    set_limit(&hosts[0], "c1", 4);
    store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let permits = take_units(&hosts[0], 4);
    assert!(hosts[0].service.try_take(&"panels".into()).is_none());
    drop(permits);
}

// An operator lowers a team's limit below the number of running units. No unit may start until
// the running ones fit the new limit, and the total must then stay within it.
#[test]
fn try_take_lowered_limit_waits() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 2);
    set_limit(&hosts[0], "c1", 10);
    let mut first = take_units(&hosts[0], 10);
    set_limit(&hosts[0], "c2", 4);
    let team = TeamId::from("panels");
    assert!(hosts[0].service.try_take(&team).is_none());
    assert!(hosts[1].service.try_take(&team).is_none());
    first.truncate(3);
    let second = take_units(&hosts[1], 1);
    assert!(hosts[1].service.try_take(&team).is_none());
    drop((first, second));
    drop(take_units(&hosts[0], 4));
}
