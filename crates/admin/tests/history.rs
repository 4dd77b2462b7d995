//! Every change gets an entry, also where the change log was folded before it was audited.

use admin::audit::{AuditDraft, ConfigHistory};
use wire::state::{Change, ChangeMark, ConfigBase, ConfigRecord, SectionEdit, SectionMark};

fn edit(limit: u64) -> SectionEdit {
    SectionEdit {
        section: "team.sales".to_owned(),
        text: format!("limit = {limit}\n"),
    }
}

/// The change that made `revision`; it sets the limit to ten times that.
fn change(revision: u64) -> Change {
    Change {
        revision,
        change_id: format!("c{revision}"),
        author: "operator".to_owned(),
        sections: vec![edit(revision * 10)],
        ..Change::default()
    }
}

/// A change log whose tail begins at `first` and goes up to `revision`.
fn record(base_revision: u64, first: u64, revision: u64) -> ConfigRecord {
    ConfigRecord {
        revision,
        base_revision,
        tail: (first..=revision).map(change).collect(),
        ..ConfigRecord::default()
    }
}

fn base(revision: u64) -> ConfigBase {
    let marks = (1..=revision).map(|revision| ChangeMark {
        change_id: format!("c{revision}"),
        revision,
    });
    ConfigBase {
        revision,
        sections: vec![edit(revision * 10)],
        marks: marks.collect(),
        touched: vec![SectionMark {
            section: "team.sales".to_owned(),
            revision,
        }],
        ..ConfigBase::default()
    }
}

fn revisions(drafts: &[AuditDraft]) -> Vec<u64> {
    drafts.iter().map(|draft| draft.revision_after).collect()
}

#[test]
fn follow_from_the_start() {
    let mut history = ConfigHistory::default();
    let record = record(0, 1, 3);
    assert!(!history.needs_base(&record));
    let drafts = history.follow(&record, None, 0);
    assert_eq!(revisions(&drafts), [1, 2, 3]);
    assert!(
        drafts[1].difference.contains("-limit = 10; +limit = 20;"),
        "{}",
        drafts[1].difference
    );
}

#[test]
fn follow_audited_by_another() {
    let mut history = ConfigHistory::default();
    let drafts = history.follow(&record(0, 1, 3), None, 2);
    assert_eq!(revisions(&drafts), [3]);
}

#[test]
fn follow_from_a_base() {
    let mut history = ConfigHistory::default();
    let record = record(4, 5, 6);
    assert!(history.needs_base(&record));
    let drafts = history.follow(&record, Some(&base(4)), 4);
    assert_eq!(revisions(&drafts), [5, 6]);
    assert!(
        drafts[0].difference.contains("-limit = 40; +limit = 50;"),
        "{}",
        drafts[0].difference
    );
}

#[test]
fn follow_base_newer_than_tail() {
    // The log was folded at revision 6 and still holds 4 to 6 in its tail. They were not
    // audited yet, and the auditor knows nothing but the base: 4 and 5 must not be left out.
    let mut history = ConfigHistory::default();
    let drafts = history.follow(&record(6, 4, 6), Some(&base(6)), 3);
    assert_eq!(revisions(&drafts), [4, 5, 6]);
    assert!(
        drafts[0].difference.contains("+limit = 40;"),
        "{}",
        drafts[0].difference
    );
    let drafts = history.follow(&record(6, 4, 7), None, 6);
    assert!(
        drafts[0].difference.contains("-limit = 60; +limit = 70;"),
        "{}",
        drafts[0].difference
    );
}

#[test]
fn follow_folded_at_once() {
    // A manifest was applied that is too large for the log, which folded it at once. The
    // trail tells its id and what it changed, taken from the base.
    let mut history = ConfigHistory::default();
    history.follow(&record(0, 1, 1), None, 0);
    let drafts = history.follow(&record(2, 3, 2), Some(&base(2)), 1);
    assert_eq!(revisions(&drafts), [2]);
    assert_eq!(drafts[0].change_id, "c2");
    assert!(
        drafts[0].difference.contains("-limit = 10; +limit = 20;"),
        "{}",
        drafts[0].difference
    );
    let drafts = history.follow(&record(2, 3, 3), None, 2);
    assert!(
        drafts[0].difference.contains("-limit = 20; +limit = 30;"),
        "{}",
        drafts[0].difference
    );
}

#[test]
fn follow_nothing_known() {
    // The base forgot the oldest changes too: the trail says which revisions are missing.
    let mut history = ConfigHistory::default();
    let mut base = base(9);
    base.marks.retain(|mark| mark.revision >= 8);
    let drafts = history.follow(&record(9, 10, 10), Some(&base), 2);
    assert_eq!(revisions(&drafts), [7, 8, 9, 10]);
    assert_eq!(drafts[0].difference, "revisions 3 to 7 left the log");
}
