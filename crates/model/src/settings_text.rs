use crate::{
    TextError,
    ini_text::{IniSection, read_sections},
    key_rule::{KeyRule, fill_section},
};

/// The sections of a settings file with the rules of their keys.
pub(crate) type SectionRules<T> = [(&'static str, &'static [KeyRule<T>])];

/// Parses settings; unknown sections and missing required sections are errors. Also returns the
/// sections, so that checks across several keys can report a line number.
pub(crate) fn read_settings<T: Default>(
    text: &str,
    rules: &SectionRules<T>,
) -> Result<(T, Vec<IniSection>), TextError> {
    let sections = read_sections(text)?;
    let mut settings = T::default();
    for section in &sections {
        let known = rules.iter().find(|(name, _)| *name == section.name);
        let Some((_, keys)) = known else {
            return Err(unknown_section(rules, section));
        };
        fill_section(section, keys, &mut settings)?;
    }
    for (name, keys) in rules {
        let is_present = sections.iter().any(|section| section.name == *name);
        if !is_present && keys.iter().any(|rule| rule.required) {
            return Err(error_without_line(name, "", "the section is required"));
        }
    }
    Ok((settings, sections))
}

/// Creates an error for a section, or for a key in it, before its line is known.
pub(crate) fn error_without_line(section: &str, key: &str, reason: &str) -> TextError {
    TextError {
        line: 0,
        section: section.to_owned(),
        key: key.to_owned(),
        reason: reason.to_owned(),
    }
}

fn unknown_section<T>(rules: &SectionRules<T>, section: &IniSection) -> TextError {
    let known: Vec<&str> = rules.iter().map(|(name, _)| *name).collect();
    TextError {
        line: section.line,
        ..error_without_line(
            &section.name,
            "",
            &format!("unknown section; known are {}", known.join(", ")),
        )
    }
}
