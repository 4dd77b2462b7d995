use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;
use decide::{
    config::{CatchUp, ConfigError, ConfigState},
    quota::TeamLimit,
};
use model::{Manifest, Revision, TeamId, event as log_event};
use parking_lot::Mutex;
use ports::ActiveConfig;
use prost::Message as _;
use store::{KeyStore, StoreError};
use wire::{
    peer::ChangeTail,
    state::{Change, ConfigBase, ConfigRecord},
};

use crate::{
    event,
    store_key::{decode_record, read_record},
};

/// Number of recent changes kept for peers that are behind. It exceeds the tail in the store, so
/// that a host that missed the last minutes before a store outage can still catch up.
const TAIL_LENGTH: usize = 256;

/// Holds the configuration in config; its revision never decreases.
pub(crate) struct ConfigHolder {
    held: Mutex<HeldConfig>,
    active_config: ArcSwap<ActiveConfig>,
}

#[derive(Default)]
struct HeldConfig {
    state: ConfigState,
    tail: Vec<Change>,
}

impl ConfigHolder {
    pub(crate) fn new() -> Self {
        Self {
            held: Mutex::default(),
            active_config: ArcSwap::default(),
        }
    }

    /// The configuration in config.
    pub(crate) fn active_config(&self) -> Arc<ActiveConfig> {
        self.active_config.load_full()
    }

    /// The whole configuration, to plan a change on.
    pub(crate) fn state(&self) -> ConfigState {
        self.held.lock().state.clone()
    }

    /// The limits of the teams, and the revision of the configuration that holds them.
    pub(crate) fn limits(&self) -> (Revision, BTreeMap<TeamId, TeamLimit>) {
        let held = self.held.lock();
        let config = self.active_config();
        let teams = config.manifest.teams.iter().map(|(team, spec)| {
            let limit = TeamLimit {
                limit: spec.limit,
                since: held.state.section_revision(&format!("team.{team}")),
            };
            (team.clone(), limit)
        });
        (held.state.revision, teams.collect())
    }

    /// Applies a record read from the store; true if it was newer.
    pub(crate) fn apply_record(
        &self,
        store: &dyn KeyStore,
        record: &ConfigRecord,
    ) -> Result<bool, StoreError> {
        let held = self.state();
        let outcome = match held.follow_record(record, None) {
            Err(ConfigError::BaseNeeded(key)) => {
                let (_, base) = read_record::<ConfigBase>(store, &key)?;
                held.follow_record(record, Some(&base))
            }
            outcome => outcome,
        };
        match outcome {
            Ok(CatchUp::Newer(next)) => Ok(self.activate(next, &record.tail)),
            Ok(CatchUp::Same) => Ok(false),
            Ok(CatchUp::Stale) => {
                metrics::counter!("lws_config_stale_records").increment(1);
                log_event::warn(
                    &event::CONFIG_RECORD_STALE,
                    format_args!("held={} found={}", held.revision, record.revision),
                );
                Ok(false)
            }
            // The base was removed between the two reads; a newer record refers to another one.
            Err(ConfigError::BaseNeeded(key)) => {
                Err(StoreError::Unavailable(format!("the base {key} is gone")))
            }
            Err(fault) => Err(self.report_fault(&fault)),
        }
    }

    /// Applies changes sent by a peer; true if they were newer.
    pub(crate) fn apply_peer_tail(&self, tail: &ChangeTail) -> Result<bool, StoreError> {
        let mut changes = Vec::new();
        for bytes in &tail.changes {
            changes.push(decode_record::<Change>("peer tail", bytes)?);
        }
        let mut next = self.state();
        let held = next.revision;
        if !tail.base.is_empty() {
            let base = ConfigState::from_base(&decode_record("peer base", &tail.base)?);
            if base.revision > next.revision {
                next = base;
            }
        }
        match next.apply_tail(&changes) {
            Ok(CatchUp::Newer(newer)) => next = newer,
            Ok(_) => {}
            Err(fault) => return Err(self.report_fault(&fault)),
        }
        Ok(next.revision > held && self.activate(next, &changes))
    }

    /// The changes after `revision`, or a whole base if they are no longer kept.
    pub(crate) fn tail_since(&self, revision: Revision) -> ChangeTail {
        let held = self.held.lock();
        let covers_revision = held
            .tail
            .first()
            .is_some_and(|c| c.revision <= revision + 1);
        if !covers_revision {
            return ChangeTail {
                base: held.state.to_base().encode_to_vec(),
                ..ChangeTail::default()
            };
        }
        let missing = held.tail.iter().filter(|c| c.revision > revision);
        ChangeTail {
            base_revision: revision,
            changes: missing.map(prost::Message::encode_to_vec).collect(),
            ..ChangeTail::default()
        }
    }

    /// Puts a newer configuration in config; false if another thread did so first.
    fn activate(&self, next: ConfigState, tail: &[Change]) -> bool {
        let mut held = self.held.lock();
        if next.revision <= held.state.revision {
            return false;
        }
        let known = held.state.revision;
        held.tail
            .extend(tail.iter().filter(|c| c.revision > known).cloned());
        let first = held.tail.len().saturating_sub(TAIL_LENGTH);
        held.tail.drain(..first);
        self.active_config.store(Arc::new(self.to_active(&next)));
        log_event::info(
            &event::CONFIG_IN_FORCE,
            format_args!("revision={} hash={:016x}", next.revision, next.hash),
        );
        metrics::gauge!("lws_config_revision").set(next.revision as f64);
        held.state = next;
        true
    }

    /// Builds the active configuration. If this version can't parse the sections, the previous
    /// manifest is kept; keys are updated in any case.
    fn to_active(&self, state: &ConfigState) -> ActiveConfig {
        let read = match state.sections.is_empty() {
            true => Ok(Manifest::default()),
            false => Manifest::from_sections(&state.sections),
        };
        let manifest = read.unwrap_or_else(|error| {
            log_event::error(
                &event::CONFIG_MANIFEST_UNREADABLE,
                format_args!("revision={} cause={error}", state.revision),
            );
            self.active_config.load().manifest.clone()
        });
        ActiveConfig {
            revision: state.revision,
            hash: state.hash,
            manifest,
            sections: state.sections.clone(),
            keys: state.keys.clone(),
        }
    }

    fn report_fault(&self, fault: &ConfigError) -> StoreError {
        metrics::counter!("lws_config_faults").increment(1);
        log_event::error(&event::CONFIG_FAULT, format_args!("cause={fault}"));
        StoreError::Rejected(fault.to_string())
    }
}
