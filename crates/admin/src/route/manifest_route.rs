use model::{Manifest, SectionTexts, decode_utf8};
use ports::ChangeRequest;
use wire::state::SectionEdit;

use super::{AdminRouter, need_change_id};
use crate::{
    AdminProblem,
    server::{AdminCall, AdminReply},
    view::ChangeView,
};

impl AdminRouter {
    pub(super) fn show_manifest(&self) -> AdminReply {
        let config = self.config.config.current();
        AdminReply::text(200, Manifest::format_sections(&config.sections))
            .with_revision(config.revision)
    }

    /// Applies a whole manifest as edits of the sections that it changes.
    pub(super) fn apply_manifest(&self, call: &AdminCall) -> Result<AdminReply, AdminProblem> {
        need_change_id(call)?;
        let text = decode_utf8(&call.body)?;
        let (sections, _) = Manifest::from_ini(text)?;
        let config = self.config.config.current();
        let edits = section_edits(&config.sections, &sections);
        let changed: Vec<String> = edits.iter().map(|edit| edit.section.clone()).collect();
        let base = call.base_revision.unwrap_or(config.revision);
        if edits.is_empty() && base == config.revision {
            let view = ChangeView {
                revision: config.revision,
                ..ChangeView::default()
            };
            return Ok(AdminReply::json(200, &view).with_revision(config.revision));
        }
        // The edits are against the configuration in force here. If the base is another
        // one, the sink refuses the change as a conflict, unless it knows its id already.
        let request = ChangeRequest {
            change_id: call.change_id.clone(),
            author: call.author.to_string(),
            base: Some(base),
            sections: edits,
            keys: Vec::new(),
        };
        let outcome = self.submit(&request)?;
        let view = ChangeView {
            revision: outcome.revision,
            repeated: outcome.repeated,
            changed,
        };
        Ok(AdminReply::json(200, &view).with_revision(outcome.revision))
    }
}

/// The edits that make `after` of `before`; an empty text removes a section.
fn section_edits(before: &SectionTexts, after: &SectionTexts) -> Vec<SectionEdit> {
    let replaced = after
        .iter()
        .filter(|(section, text)| before.get(*section) != Some(*text))
        .map(|(section, text)| SectionEdit {
            section: section.clone(),
            text: text.clone(),
        });
    let removed = before
        .keys()
        .filter(|section| !after.contains_key(*section))
        .map(|section| SectionEdit {
            section: section.clone(),
            text: String::new(),
        });
    replaced.chain(removed).collect()
}
