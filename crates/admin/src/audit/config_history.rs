use std::{collections::BTreeMap, fmt::Write};

use wire::state::{Change, ConfigBase, ConfigRecord, KeyEdit};

use super::AuditDraft;

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
    /// The configuration as of a base.
    pub fn from_base(base: &ConfigBase) -> Self {
        let sections = base
            .sections
            .iter()
            .map(|edit| (edit.section.clone(), edit.text.clone()));
        Self {
            revision: base.revision,
            sections: sections.collect(),
        }
    }

    /// Revision of the last change that was followed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Follows the changes of `record` that are new, and drafts an entry for each that is
    /// newer than `audited`.
    pub fn follow(&mut self, record: &ConfigRecord, audited: u64) -> Vec<AuditDraft> {
        let mut drafts = Vec::new();
        for change in &record.tail {
            if change.revision <= self.revision {
                continue;
            }
            let difference = self.apply(change);
            if change.revision > audited {
                drafts.push(draft(change, difference));
            }
        }
        drafts
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
