//! Tests of configuration changes, conflicts, repeated requests, and hosts that apply records.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use decide::config::{
    CatchUp, ChangePlan, ConfigError, ConfigLimits, ConfigState, PlanInput, plan_change,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use wire::state::{ConfigBase, ConfigRecord, KeyEdit, KeyRecord, SectionEdit};

const LIMITS: ConfigLimits = ConfigLimits {
    tail_bytes: 600,
    base_bytes: 900_000,
};

fn input<'a>(id: &'a str, base: Option<u64>, keys: &'a [KeyEdit]) -> PlanInput<'a> {
    PlanInput {
        change_id: id,
        author: "ops",
        unix_ms: 1,
        base,
        sections: &[],
        keys,
    }
}

fn grant(id: &str, salt: u8) -> KeyEdit {
    KeyEdit {
        key_id: id.to_owned(),
        withdrawn: false,
        record: Some(KeyRecord {
            key_id: id.to_owned(),
            team: "panels".to_owned(),
            salt: vec![salt; 16],
            ..KeyRecord::default()
        }),
    }
}

fn withdraw(id: &str) -> KeyEdit {
    KeyEdit {
        key_id: id.to_owned(),
        withdrawn: true,
        record: None,
    }
}

/// A store that keeps the record and the bases that changes wrote.
#[derive(Clone, Default)]
struct SimStore {
    record: ConfigRecord,
    bases: BTreeMap<String, ConfigBase>,
    state: ConfigState,
}

impl SimStore {
    fn submit(&mut self, input: &PlanInput<'_>) -> ChangePlan {
        let plan = plan_change(&self.state, &self.record, input, &LIMITS);
        if let ChangePlan::Write(write) = &plan {
            let mut write = write.clone();
            if let Some(base) = write.base {
                write.record.base_key = format!("base-{}", base.revision);
                self.bases.insert(write.record.base_key.clone(), base);
            }
            self.record = write.record;
            self.state = write.next;
        }
        plan
    }

    fn apply_record(
        &self,
        state: &ConfigState,
        record: &ConfigRecord,
    ) -> Result<CatchUp, ConfigError> {
        match state.follow_record(record, None) {
            Err(ConfigError::BaseNeeded(key)) => state.follow_record(record, self.bases.get(&key)),
            outcome => outcome,
        }
    }
}

#[test]
fn plan_change_conflict_lists_touched() {
    let mut store = SimStore::default();
    store.submit(&input("c1", None, &[grant("k1", 1)]));
    let keys = [grant("k2", 2)];
    let plan = store.submit(&input("c2", Some(0), &keys));
    let conflict = ChangePlan::Conflict {
        base: 0,
        newest: 1,
        touched: vec!["key k1".to_owned()],
    };
    assert_eq!(plan, conflict);
}

// Guards against a change applied twice: an operator's tool repeats it because the response was
// lost, after other changes followed and the change itself was folded away.
#[test]
fn plan_change_recognizes_repeat_after_fold() {
    let mut store = SimStore::default();
    store.submit(&input("c1", None, &[grant("k1", 1)]));
    store.submit(&input("c2", None, &[withdraw("k1")]));
    for n in 0..40 {
        store.submit(&input(&format!("d{n}"), None, &[grant("other", n)]));
    }
    let again = [grant("k1", 1)];
    let plan = store.submit(&input("c1", None, &again));
    assert_eq!(plan, ChangePlan::Repeated(1));
    assert!(!store.state.keys.contains_key("k1"));
}

#[test]
fn plan_change_broken_manifest_is_invalid() {
    let mut store = SimStore::default();
    let sections = [SectionEdit {
        section: "team.panels".to_owned(),
        text: "limit = 4\n".to_owned(),
    }];
    let plan = store.submit(&PlanInput {
        sections: &sections,
        ..input("c1", None, &[])
    });
    assert!(matches!(plan, ChangePlan::Invalid(_)));
    assert_eq!(store.state.revision, 0);
}

#[test]
fn follow_record_other_hash_is_diverged() {
    let mut store = SimStore::default();
    store.submit(&input("c1", None, &[grant("k1", 1)]));
    let mut other = SimStore::default();
    other.submit(&input("c1", None, &[grant("k1", 2)]));
    let outcome = store.state.follow_record(&other.record, None);
    assert_eq!(outcome, Err(ConfigError::Diverged(1)));
}

#[test]
fn base_round_trip() {
    let mut store = SimStore::default();
    store.submit(&input("c1", None, &[grant("k1", 1), grant("k2", 2)]));
    let again = ConfigState::from_base(&store.state.to_base());
    assert_eq!(again, store.state);
}

/// How a host applies a record.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Follower {
    Guarded,
    /// Applies any complete record, also an older one.
    TakesAll,
}

/// Hosts apply records that arrive late, twice, out of order or not at all, and restart. The error
/// names the host that went back or differs from the store.
fn run_followers(seed: u64, follower: Follower) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = SimStore::default();
    let mut history = vec![store.record.clone()];
    let mut hosts = vec![ConfigState::default(); 3];
    for round in 0..120_u32 {
        let key = format!("k{}", rng.random_range(0..6));
        let edit = if rng.random_bool(0.4) {
            withdraw(&key)
        } else {
            grant(&key, rng.random_range(0..9))
        };
        // Two operators race: both plan on the same state, and only one may succeed.
        let base = rng.random_bool(0.5).then_some(store.state.revision);
        let edits = [edit];
        store.submit(&input(&format!("c{round}"), base, &edits));
        let late = [grant(&key, 1)];
        let loser = store.submit(&input(&format!("l{round}"), base, &late));
        if base.is_some() && !matches!(loser, ChangePlan::Conflict { .. }) {
            return Err(format!("round {round}: two changes on one base: {loser:?}"));
        }
        history.push(store.record.clone());
        for host in &mut hosts {
            if rng.random_bool(0.02) {
                *host = ConfigState::default();
                continue;
            }
            if rng.random_bool(0.4) {
                continue;
            }
            let back = rng.random_range(0..history.len().min(20));
            let record = &history[history.len() - 1 - back];
            let held = host.revision;
            let start = match follower {
                Follower::Guarded => host.clone(),
                Follower::TakesAll => ConfigState::default(),
            };
            if let CatchUp::Newer(next) = store
                .apply_record(&start, record)
                .map_err(|e| e.to_string())?
            {
                if (next.revision, next.hash) != (record.revision, record.hash) {
                    return Err(format!("round {round}: revision {}", next.revision));
                }
                *host = next;
            }
            if host.revision < held {
                return Err(format!(
                    "round {round}: {held} went back to {}",
                    host.revision
                ));
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn follow_record_never_goes_back(seed in any::<u64>()) {
        let outcome = run_followers(seed, Follower::Guarded);
        prop_assert!(outcome.is_ok(), "seed {seed}: {}", outcome.unwrap_err());
    }
}

#[rstest]
#[case::takes_all(Follower::TakesAll)]
fn follow_mutation_is_caught(#[case] follower: Follower) {
    let caught = (0..20).find(|seed| run_followers(*seed, follower).is_err());
    println!("{follower:?}: caught by seed {caught:?}");
    assert!(caught.is_some(), "{follower:?} was not caught");
}
