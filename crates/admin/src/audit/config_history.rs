use std::{collections::BTreeMap, fmt::Write};

use wire::state::{Change, ChangeMark, ConfigBase, ConfigRecord, KeyEdit};

use super::AuditDraft;

/// Subject of an entry on changes that nothing is known of any more.
pub(crate) const LOST_SUBJECT: &str = "lost changes";

/// Follows the change log and tells what each change made different.
///
/// The log holds each section as it became. To show what it was before, the history keeps
/// the sections as of the last change it followed.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    revision: u64,
    sections: BTreeMap<String, String>,
}

impl ConfigHistory {
    /// Revision of the last change that was followed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// True if the tail of `record` does not continue this history, so that its base is
    /// needed too.
    pub fn needs_base(&self, record: &ConfigRecord) -> bool {
        self.revision + 1 < first_in_tail(record)
    }

    /// Follows the changes of `record`, and drafts an entry for each that is newer than
    /// `audited`. `base` is the record's base, if [`ConfigHistory::needs_base`] asks for it.
    ///
    /// The log folds its older changes into a base once they are large, and may do so before
    /// they were audited. The base still tells their ids and which sections they touched, and
    /// the tail may hold changes that are older than the base. Starting from the base alone
    /// would leave all of these out of the trail without a word.
    pub fn follow(
        &mut self,
        record: &ConfigRecord,
        base: Option<&ConfigBase>,
        audited: u64,
    ) -> Vec<AuditDraft> {
        let mut drafts = Vec::new();
        if self.needs_base(record) {
            let last_folded = first_in_tail(record) - 1;
            drafts.extend(self.draft_folded(base, audited, last_folded));
            self.jump(base, last_folded);
        }
        for change in &record.tail {
            if change.revision <= self.revision {
                continue;
            }
            let difference = self.apply(change);
            if change.revision > audited {
                drafts.push(draft(change, difference));
            }
            if let Some(base) = base.filter(|base| base.revision == change.revision) {
                self.sections = sections_of(base);
            }
        }
        drafts
    }

    /// Goes on from `revision`, the last one before the tail. Where the base is newer than
    /// that, it is not known what the sections were; what the tail shows is all there is.
    fn jump(&mut self, base: Option<&ConfigBase>, revision: u64) {
        let known = base.filter(|base| base.revision <= revision);
        self.sections = known.map(sections_of).unwrap_or_default();
        self.revision = revision;
    }

    /// Drafts for the changes after `audited` up to `last` that are in the base only.
    fn draft_folded(&self, base: Option<&ConfigBase>, audited: u64, last: u64) -> Vec<AuditDraft> {
        let marks = base.map(|base| base.marks.as_slice()).unwrap_or_default();
        let marked: Vec<&ChangeMark> = marks
            .iter()
            .filter(|mark| audited < mark.revision && mark.revision <= last)
            .collect();
        let first_marked = marked.first().map_or(last + 1, |mark| mark.revision);
        let mut drafts = Vec::new();
        if audited + 1 < first_marked {
            let lost = first_marked - 1;
            drafts.push(AuditDraft {
                subject: LOST_SUBJECT.to_owned(),
                difference: format!("revisions {} to {lost} left the log", audited + 1),
                revision_before: audited,
                revision_after: lost,
                ..AuditDraft::default()
            });
        }
        let Some(base) = base else {
            return drafts;
        };
        drafts.extend(marked.iter().map(|mark| self.draft_mark(base, mark)));
        drafts
    }

    fn draft_mark(&self, base: &ConfigBase, mark: &ChangeMark) -> AuditDraft {
        let touched = base
            .touched
            .iter()
            .filter(|touched| touched.revision == mark.revision);
        let after = sections_of(base);
        let mut difference = "folded before it was audited: ".to_owned();
        for section in touched {
            let name = section.section.as_str();
            let before = self.sections.get(name).map_or("", String::as_str);
            let after = after.get(name).map_or("", String::as_str);
            show_section(&mut difference, name, before, after);
        }
        AuditDraft {
            change_id: mark.change_id.clone(),
            subject: "manifest or keys".to_owned(),
            difference,
            revision_before: mark.revision.saturating_sub(1),
            revision_after: mark.revision,
            ..AuditDraft::default()
        }
    }

    fn apply(&mut self, change: &Change) -> String {
        let mut difference = String::new();
        for edit in &change.sections {
            let before = self.sections.get(&edit.section).map_or("", String::as_str);
            show_section(&mut difference, &edit.section, before, &edit.text);
            match edit.text.as_str() {
                "" => self.sections.remove(&edit.section),
                text => self.sections.insert(edit.section.clone(), text.to_owned()),
            };
        }
        for edit in &change.keys {
            show_key(&mut difference, edit);
        }
        self.revision = change.revision;
        difference
    }
}

fn first_in_tail(record: &ConfigRecord) -> u64 {
    let first = record.tail.first().map(|change| change.revision);
    first.unwrap_or(record.revision + 1)
}

fn sections_of(base: &ConfigBase) -> BTreeMap<String, String> {
    let sections = base.sections.iter();
    sections
        .map(|edit| (edit.section.clone(), edit.text.clone()))
        .collect()
}

fn draft(change: &Change, difference: String) -> AuditDraft {
    let subject = match (change.sections.as_slice(), change.keys.as_slice()) {
        ([], [key]) => format!("key {}", key.key_id),
        ([], _) => "keys".to_owned(),
        (_, []) => "manifest".to_owned(),
        _ => "manifest and keys".to_owned(),
    };
    AuditDraft {
        unix_ms: change.unix_ms,
        author: change.author.clone(),
        change_id: change.change_id.clone(),
        subject,
        difference,
        revision_before: change.revision.saturating_sub(1),
        revision_after: change.revision,
    }
}

fn show_section(out: &mut String, section: &str, before: &str, after: &str) {
    let _ = write!(out, "[{section}]");
    for line in before
        .lines()
        .filter(|line| !after.lines().any(|other| other == *line))
    {
        let _ = write!(out, " -{line};");
    }
    for line in after
        .lines()
        .filter(|line| !before.lines().any(|other| other == *line))
    {
        let _ = write!(out, " +{line};");
    }
    out.push(' ');
}

fn show_key(out: &mut String, edit: &KeyEdit) {
    let Some(record) = edit.record.as_ref().filter(|_| !edit.withdrawn) else {
        let _ = write!(out, "withdrew {} ", edit.key_id);
        return;
    };
    let holder = match record.admin {
        true => "administration".to_owned(),
        false => format!("team {}", record.team),
    };
    let _ = write!(out, "granted {} to {holder} ", edit.key_id);
}
