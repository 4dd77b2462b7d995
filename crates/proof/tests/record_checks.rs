//! Checks that read the store's record of writes and the targets' drains, against histories
//! made by hand. Times are in seconds here.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::collections::BTreeMap;

use fake::StoreWrite;
use proof::{GrantCheck, History, HistoryCheck, HostDrain, MemberCheck, PoolCheck};
use prost::Message;
use rstest::rstest;
use wire::{
    fleet::{FleetChange, FleetRecord, HostPhase, HostRecord, OutCause},
    state::{Member, MemberRecord, QuotaGrant, QuotaRecord},
};

fn s(seconds: u64) -> u64 {
    seconds * 1_000_000_000
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn write(key: &str, at: u64, record: &impl Message) -> StoreWrite {
    StoreWrite {
        at_ns: s(at),
        key: key.to_owned(),
        value: hex(&record.encode_to_vec()),
        ..StoreWrite::default()
    }
}

fn host(name: &str, pool: &str, phase: HostPhase, cause: OutCause) -> HostRecord {
    HostRecord {
        host: name.to_owned(),
        pool: pool.to_owned(),
        phase: phase.into(),
        cause: cause.into(),
        ..HostRecord::default()
    }
}

fn serving(name: &str, pool: &str) -> HostRecord {
    host(name, pool, HostPhase::Serving, OutCause::Unspecified)
}

fn draining(name: &str, cause: OutCause) -> HostRecord {
    host(name, "quotes", HostPhase::Draining, cause)
}

/// A head of the pool map that begins with three hosts of `quotes`, then changes in steps.
fn heads(key: &str, steps: &[Vec<HostRecord>]) -> Vec<StoreWrite> {
    let first = ["x1", "x2", "x3"]
        .map(|name| serving(name, "quotes"))
        .to_vec();
    let mut head = FleetRecord::default();
    let mut writes = Vec::new();
    for (at, hosts) in std::iter::once(&first).chain(steps).enumerate() {
        head.revision += 1;
        head.tail.push(FleetChange {
            revision: head.revision,
            hosts: hosts.clone(),
            ..FleetChange::default()
        });
        writes.push(write(key, at as u64, &head));
    }
    writes
}

fn pool_check() -> PoolCheck {
    let pools = ["x1", "x2", "x3"].map(|host| (host.to_owned(), "quotes".to_owned()));
    PoolCheck {
        budgets: BTreeMap::from([("quotes".to_owned(), 2)]),
        pool_of: BTreeMap::from(pools),
    }
}

#[rstest]
#[case::one_drains(vec![vec![draining("x1", OutCause::Maintenance)]], true)]
#[case::two_drain(vec![
    vec![draining("x1", OutCause::Maintenance)],
    vec![draining("x2", OutCause::Maintenance)]], false)]
#[case::lost_while_draining(vec![
    vec![draining("x1", OutCause::Maintenance)], vec![draining("x2", OutCause::Loss)]], true)]
#[case::drains_after_loss(vec![
    vec![draining("x2", OutCause::Loss)], vec![draining("x1", OutCause::Maintenance)]], false)]
#[case::moves_away_at_once(vec![
    vec![serving("x1", "dispatch"), serving("x2", "dispatch")]], false)]
#[case::quarantined(vec![
    vec![draining("x1", OutCause::Maintenance)],
    vec![host("x3", "quotes", HostPhase::Quarantined, OutCause::Faulty)]], false)]
#[case::in_no_pool(vec![vec![serving("x1", "")]], false)]
fn pool_check_steps(#[case] steps: Vec<Vec<HostRecord>>, #[case] is_sound: bool) {
    let history = History {
        writes: heads("fleet/a", &steps),
        ..History::default()
    };
    let findings = pool_check().findings(&history);
    assert_eq!(findings.is_empty(), is_sound, "{findings:?}");
}

#[test]
fn pool_check_two_shards() {
    let mut writes = heads("fleet/a", &[]);
    let mut head = FleetRecord {
        revision: 1,
        ..FleetRecord::default()
    };
    head.tail.push(FleetChange {
        revision: 1,
        hosts: vec![serving("x9", "dispatch")],
        ..FleetChange::default()
    });
    writes.push(write("fleet/b", 5, &head));
    let mut history = History {
        writes,
        ..History::default()
    };
    assert!(pool_check().findings(&history).is_empty());
    head.tail[0].hosts.push(serving("x1", "dispatch"));
    history.writes.push(write("fleet/b", 6, &head));
    assert_eq!(pool_check().findings(&history).len(), 1);
}

#[rstest]
#[case::one_after_the_other(20, 30, true)]
#[case::together(15, 30, false)]
fn pool_check_targets(#[case] begin: u64, #[case] end: u64, #[case] is_sound: bool) {
    let drain = |host: &str, begin, end| HostDrain {
        host: host.to_owned(),
        begin_ns: s(begin),
        end_ns: s(end),
        last_attempt_ns: 0,
    };
    let history = History {
        drains: vec![drain("x1", 10, 20), drain("x2", begin, end)],
        ..History::default()
    };
    assert_eq!(pool_check().findings(&history).is_empty(), is_sound);
}

fn grants(limit: u32, units: &[u32]) -> QuotaRecord {
    let grant = |(index, units): (usize, &u32)| QuotaGrant {
        member: format!("e{index}"),
        units: *units,
        ..QuotaGrant::default()
    };
    QuotaRecord {
        team: "weights".to_owned(),
        limit,
        grants: units.iter().enumerate().map(grant).collect(),
        ..QuotaRecord::default()
    }
}

#[rstest]
#[case::within(vec![grants(10, &[5, 5]), grants(10, &[3, 7])], true)]
#[case::above(vec![grants(10, &[5, 5]), grants(10, &[5, 6])], false)]
#[case::lowered(vec![grants(10, &[5, 5]), grants(4, &[5, 5]), grants(4, &[5, 4])], true)]
#[case::grows_when_lowered(vec![grants(10, &[5, 4]), grants(4, &[5, 5])], false)]
fn grant_check_sums(#[case] records: Vec<QuotaRecord>, #[case] is_sound: bool) {
    let history = History {
        writes: records
            .iter()
            .map(|r| write("quota/weights", 1, r))
            .collect(),
        ..History::default()
    };
    assert_eq!(GrantCheck.findings(&history).is_empty(), is_sound);
}

fn members(revision: u64, lives: &[(&str, u64)]) -> MemberRecord {
    let member = |(id, incarnation): &(&str, u64)| Member {
        id: (*id).to_owned(),
        incarnation: *incarnation,
        ..Member::default()
    };
    MemberRecord {
        revision,
        members: lives.iter().map(member).collect(),
        ..MemberRecord::default()
    }
}

#[rstest]
#[case::joins(vec![members(1, &[("a", 1)]), members(2, &[("a", 1), ("b", 1)])], true)]
#[case::reborn(vec![members(1, &[("a", 1)]), members(2, &[("a", 2)])], true)]
#[case::two_at_once(vec![members(1, &[("a", 1)]), members(2, &[("b", 1)])], false)]
#[case::old_life(
    vec![members(1, &[("a", 2)]), members(2, &[]), members(3, &[("a", 1)])], false)]
#[case::unchanged(vec![members(1, &[("a", 1)]), members(1, &[("a", 1)])], true)]
#[case::revision_repeats(vec![members(1, &[("a", 1)]), members(1, &[("a", 2)])], false)]
#[case::revision_goes_back(vec![members(2, &[]), members(1, &[])], false)]
fn member_check_steps(#[case] records: Vec<MemberRecord>, #[case] is_sound: bool) {
    let history = History {
        writes: records.iter().map(|r| write("members", 1, r)).collect(),
        ..History::default()
    };
    assert_eq!(MemberCheck.findings(&history).is_empty(), is_sound);
}
