use std::collections::BTreeSet;

use model::{Manifest, Revision};
use prost::Message as _;
use wire::state::{Change, ConfigBase, ConfigRecord, KeyEdit, SectionEdit};

use super::ConfigState;

/// Size limits of stored values.
#[derive(Clone, Copy, Debug)]
pub struct ConfigLimits {
    /// Maximum size of the changes in the record, in bytes; beyond it they are folded into a base.
    pub tail_bytes: usize,
    /// Maximum size of a base, in bytes.
    pub base_bytes: usize,
}

impl Default for ConfigLimits {
    fn default() -> Self {
        Self {
            tail_bytes: 6 * 1024,
            base_bytes: 900_000,
        }
    }
}

/// A change requested by an operator.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Id of the change.
    pub change_id: &'a str,
    /// The operator.
    pub author: &'a str,
    /// Wall-clock time of the request, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Revision that the change is based on; `None` for the newest.
    pub base: Option<Revision>,
    /// Sections to replace or remove.
    pub sections: &'a [SectionEdit],
    /// Keys to grant or withdraw.
    pub keys: &'a [KeyEdit],
}

/// The result of planning a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangePlan {
    /// The same change already created this revision.
    Repeated(Revision),
    /// Another change was made first.
    Conflict {
        /// Revision that the change is based on.
        base: Revision,
        /// Newest revision.
        newest: Revision,
        /// Sections and keys that changed in between, as far back as the tail reaches.
        touched: Vec<String>,
    },
    /// The resulting configuration would be invalid.
    Invalid(String),
    /// Values to write.
    Write(Box<ConfigWrite>),
}

/// Values to write for a change: first the base, if there is one, then the record.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigWrite {
    /// The record.
    pub record: ConfigRecord,
    /// The new base that the record refers to, if it needs one.
    pub base: Option<ConfigBase>,
    /// The configuration after the change.
    pub next: ConfigState,
}

/// Plans a change on top of `state`, the state of `record`.
#[must_use]
pub fn plan_change(
    state: &ConfigState,
    record: &ConfigRecord,
    input: &PlanInput<'_>,
    limits: &ConfigLimits,
) -> ChangePlan {
    if let Some(revision) = state.revision_of(input.change_id) {
        return ChangePlan::Repeated(revision);
    }
    if let Some(base) = input.base.filter(|base| *base != state.revision) {
        return ChangePlan::Conflict {
            base,
            newest: state.revision,
            touched: changed_since(&record.tail, base),
        };
    }
    let (change, next) = state.draft(Change {
        change_id: input.change_id.to_owned(),
        author: input.author.to_owned(),
        unix_ms: input.unix_ms,
        sections: input.sections.to_vec(),
        keys: input.keys.to_vec(),
        ..Change::default()
    });
    // A change of keys alone does not require a valid manifest: administration keys are granted
    // before the first manifest, and a withdrawal must succeed whatever the sections contain.
    if !input.sections.is_empty()
        && let Err(error) = Manifest::from_sections(&next.sections)
    {
        return ChangePlan::Invalid(error.to_string());
    }
    plan_write(record, change, next, limits)
}

fn plan_write(
    record: &ConfigRecord,
    change: Change,
    next: ConfigState,
    limits: &ConfigLimits,
) -> ChangePlan {
    let mut successor = record.clone();
    successor.revision = next.revision;
    successor.hash = next.hash;
    successor.tail.push(change);
    if tail_bytes(&successor.tail) <= limits.tail_bytes {
        return ChangePlan::Write(Box::new(ConfigWrite {
            record: successor,
            base: None,
            next,
        }));
    }
    let base = next.to_base();
    if base.encoded_len() > limits.base_bytes {
        return ChangePlan::Invalid(format!(
            "the configuration would take {} bytes, {} are allowed",
            base.encoded_len(),
            limits.base_bytes
        ));
    }
    while tail_bytes(&successor.tail) > limits.tail_bytes / 2 {
        successor.tail.remove(0);
    }
    successor.base_revision = base.revision;
    successor.base_key = String::new();
    ChangePlan::Write(Box::new(ConfigWrite {
        record: successor,
        base: Some(base),
        next,
    }))
}

fn tail_bytes(tail: &[Change]) -> usize {
    tail.iter().map(prost::Message::encoded_len).sum()
}

fn changed_since(tail: &[Change], base: Revision) -> Vec<String> {
    let mut touched = BTreeSet::new();
    for change in tail.iter().filter(|change| change.revision > base) {
        touched.extend(change.sections.iter().map(|edit| edit.section.clone()));
        touched.extend(
            change
                .keys
                .iter()
                .map(|edit| format!("key {}", edit.key_id)),
        );
    }
    let reaches_back = tail.first().is_some_and(|first| first.revision <= base + 1);
    if !reaches_back {
        touched.insert("(older changes are folded; compare with the whole manifest)".to_owned());
    }
    touched.into_iter().collect()
}
