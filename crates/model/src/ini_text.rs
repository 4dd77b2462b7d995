use ini::{Ini, ParseOption};

use crate::TextError;

/// Longest accepted line, in bytes.
const MAX_LINE: usize = 4096;
/// Longest accepted text, in bytes; a manifest for a fleet of the design size takes about 100 KB.
const MAX_TEXT: usize = 512 * 1024;
/// Maximum number of sections in a text; the search for duplicates is quadratic in it.
const MAX_SECTIONS: usize = 4096;
/// Maximum number of keys in a section.
const MAX_ENTRIES: usize = 64;

/// One section of an INI text, with line numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct IniSection {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) entries: Vec<IniEntry>,
}

/// One `key = value` line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct IniEntry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

impl IniSection {
    /// Returns the line of `key`, or of the section's header if the key is absent.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        self.entries
            .iter()
            .find(|entry| entry.key == key)
            .map_or(self.line, |entry| entry.line)
    }
}

/// Parses INI text line by line and rejects duplicate sections and keys.
///
/// The library does not report line numbers, and treats a line without `=` as the start of
/// the key on the next line. Each line is therefore parsed on its own.
pub(crate) fn read_sections(text: &str) -> Result<Vec<IniSection>, TextError> {
    if text.len() > MAX_TEXT {
        return Err(line_error(
            0,
            format!("the text is larger than {MAX_TEXT} bytes"),
        ));
    }
    let mut sections: Vec<IniSection> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        read_line(&mut sections, index + 1, line)?;
    }
    Ok(sections)
}

fn read_line(sections: &mut Vec<IniSection>, number: usize, line: &str) -> Result<(), TextError> {
    let line = line.trim();
    if line.len() > MAX_LINE {
        return Err(line_error(
            number,
            format!("the line is longer than {MAX_LINE} bytes"),
        ));
    }
    if line.chars().any(|c| c.is_control() && c != '\t') {
        return Err(line_error(number, "the line holds a control character"));
    }
    if line.is_empty() || line.starts_with(';') || line.starts_with('#') {
        return Ok(());
    }
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let parsed = Ini::load_from_str_opt(line, options)
        .map_err(|_| line_error(number, "expected `[section]`, `key = value` or a comment"))?;
    if line.starts_with('[') {
        return add_section(sections, number, line, &parsed);
    }
    for (key, value) in parsed.general_section() {
        add_entry(sections, number, key, value)?;
    }
    Ok(())
}

fn add_section(
    sections: &mut Vec<IniSection>,
    number: usize,
    line: &str,
    parsed: &Ini,
) -> Result<(), TextError> {
    let name = parsed.sections().flatten().next().unwrap_or_default();
    if !line.ends_with(']') {
        return Err(line_error(number, "nothing may follow `]` on its line"));
    }
    if let Some(earlier) = sections.iter().find(|section| section.name == name) {
        return Err(TextError {
            line: number,
            section: name.to_owned(),
            key: String::new(),
            reason: format!("the section appears twice, first on line {}", earlier.line),
        });
    }
    if sections.len() == MAX_SECTIONS {
        return Err(line_error(
            number,
            format!("more than {MAX_SECTIONS} sections"),
        ));
    }
    sections.push(IniSection {
        name: name.to_owned(),
        line: number,
        entries: Vec::new(),
    });
    Ok(())
}

fn add_entry(
    sections: &mut [IniSection],
    number: usize,
    key: &str,
    value: &str,
) -> Result<(), TextError> {
    let Some(section) = sections.last_mut() else {
        return Err(line_error(number, "a key must stand below a section"));
    };
    if let Some(earlier) = section.entries.iter().find(|entry| entry.key == key) {
        return Err(TextError {
            line: number,
            section: section.name.clone(),
            key: key.to_owned(),
            reason: format!("the key appears twice, first on line {}", earlier.line),
        });
    }
    if section.entries.len() == MAX_ENTRIES {
        return Err(line_error(
            number,
            format!("more than {MAX_ENTRIES} keys in a section"),
        ));
    }
    section.entries.push(IniEntry {
        key: key.to_owned(),
        value: value.trim().to_owned(),
        line: number,
    });
    Ok(())
}

fn line_error(line: usize, reason: impl Into<String>) -> TextError {
    TextError {
        line,
        reason: reason.into(),
        ..TextError::default()
    }
}
