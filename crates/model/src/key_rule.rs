use std::{ops::RangeInclusive, time::Duration};

use compact_str::CompactString;
use log::LevelFilter;

use crate::{
    HostRole, PeerSetting, TextError,
    ini_text::IniSection,
    value_text::{
        MAX_NAME, duration_text, read_address, read_amount, read_bool, read_count, read_duration,
        read_name, read_time_of_day, read_url,
    },
};

/// Documentation of one key of a section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyInfo {
    /// Section, such as `limits` or `pool.NAME`.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// Allowed values.
    pub allowed: String,
    /// Default value, or `required` if the key has none.
    pub default: String,
    /// What the key controls.
    pub meaning: &'static str,
}

/// Rule for parsing one key of a section into a field of `T`.
pub(crate) struct KeyRule<T: 'static> {
    pub(crate) key: &'static str,
    pub(crate) required: bool,
    pub(crate) field: KeyField<T>,
    pub(crate) meaning: &'static str,
}

/// Type of a value, its range if any, and the accessor of the field that stores it.
pub(crate) enum KeyField<T: 'static> {
    Name(fn(&mut T) -> &mut CompactString),
    NameText(fn(&mut T) -> &mut String),
    Address(fn(&mut T) -> &mut String),
    Url(fn(&mut T) -> &mut String),
    Path(fn(&mut T) -> &mut String),
    KeyDigest(fn(&mut T) -> &mut String),
    Level(fn(&mut T) -> &mut LevelFilter),
    Peers(fn(&mut T) -> &mut Vec<PeerSetting>),
    Role(fn(&mut T) -> &mut HostRole),
    Flag(fn(&mut T) -> &mut bool),
    TimeOfDay(fn(&mut T) -> &mut Duration),
    Duration(RangeInclusive<Duration>, fn(&mut T) -> &mut Duration),
    Count(RangeInclusive<u64>, fn(&mut T) -> &mut u32),
    Size(RangeInclusive<u64>, fn(&mut T) -> &mut usize),
    Amount(RangeInclusive<f64>, fn(&mut T) -> &mut f64),
}

impl<T> KeyRule<T> {
    pub(crate) const fn required(
        key: &'static str,
        field: KeyField<T>,
        meaning: &'static str,
    ) -> Self {
        Self {
            key,
            required: true,
            field,
            meaning,
        }
    }

    pub(crate) const fn optional(
        key: &'static str,
        field: KeyField<T>,
        meaning: &'static str,
    ) -> Self {
        Self {
            key,
            required: false,
            field,
            meaning,
        }
    }
}

impl<T: Default> KeyRule<T> {
    pub(crate) fn info(&self, section: &'static str) -> KeyInfo {
        let default = match self.required {
            true => "required".to_owned(),
            false => self.field.show(&mut T::default()),
        };
        KeyInfo {
            section,
            key: self.key,
            allowed: self.field.allowed(),
            default,
            meaning: self.meaning,
        }
    }
}

/// Parses a section into `target` by `rules`; unknown keys and missing required keys are errors.
pub(crate) fn fill_section<T>(
    section: &IniSection,
    rules: &[KeyRule<T>],
    target: &mut T,
) -> Result<(), TextError> {
    for entry in &section.entries {
        let error_at_key = |reason: String| TextError {
            line: entry.line,
            section: section.name.clone(),
            key: entry.key.clone(),
            reason,
        };
        let Some(rule) = rules.iter().find(|rule| rule.key == entry.key) else {
            let known: Vec<&str> = rules.iter().map(|rule| rule.key).collect();
            return Err(error_at_key(format!(
                "unknown key; known are {}",
                known.join(", ")
            )));
        };
        rule.field
            .read(&entry.value, target)
            .map_err(error_at_key)?;
    }
    let missing = rules
        .iter()
        .find(|rule| rule.required && !section.entries.iter().any(|entry| entry.key == rule.key));
    let Some(rule) = missing else {
        return Ok(());
    };
    Err(TextError {
        line: section.line,
        section: section.name.clone(),
        key: rule.key.to_owned(),
        reason: format!("the key is required: {}", rule.field.allowed()),
    })
}

impl<T> KeyField<T> {
    fn read(&self, text: &str, target: &mut T) -> Result<(), String> {
        match self {
            Self::Name(field) => *field(target) = read_name(text)?.into(),
            Self::NameText(field) => *field(target) = read_name(text)?.to_owned(),
            Self::Address(field) => *field(target) = read_address(text)?.to_owned(),
            Self::Url(field) => *field(target) = read_url(text)?.to_owned(),
            Self::Path(field) => *field(target) = text.to_owned(),
            Self::KeyDigest(field) => *field(target) = read_digest(text)?.to_owned(),
            Self::Level(field) => *field(target) = read_level(text)?,
            Self::Peers(field) => *field(target) = read_peers(text)?,
            Self::Role(field) => *field(target) = read_role(text)?,
            Self::Flag(field) => *field(target) = read_bool(text)?,
            Self::TimeOfDay(field) => *field(target) = read_time_of_day(text)?,
            Self::Duration(range, field) => *field(target) = read_duration(text, range)?,
            Self::Count(range, field) => {
                *field(target) = u32::try_from(read_count(text, range)?).unwrap_or(u32::MAX);
            }
            Self::Size(range, field) => {
                *field(target) = usize::try_from(read_count(text, range)?).unwrap_or(usize::MAX);
            }
            Self::Amount(range, field) => *field(target) = read_amount(text, range)?,
        }
        Ok(())
    }

    fn allowed(&self) -> String {
        match self {
            Self::Name(_) | Self::NameText(_) => {
                format!("a name of 1 to {MAX_NAME} characters from a-z, 0-9 and, within, `-`")
            }
            Self::Address(_) => "`ip:port`; port 0 takes a free one".to_owned(),
            Self::Url(_) => "a URL that begins with `http://`".to_owned(),
            Self::Path(_) => "a path".to_owned(),
            Self::KeyDigest(_) => "`ID:SALT:DIGEST` as `key mint` prints it".to_owned(),
            Self::Level(_) => "error, warn, info, debug or trace".to_owned(),
            Self::Peers(_) => "`member ip:port`, separated by commas, 64 at most".to_owned(),
            Self::Role(_) => "executor or worker".to_owned(),
            Self::Flag(_) => "true or false".to_owned(),
            Self::TimeOfDay(_) => "`HH:MM` in UTC, 00:00 to 23:59".to_owned(),
            Self::Duration(range, _) => {
                format!(
                    "{} to {}",
                    duration_text(*range.start()),
                    duration_text(*range.end())
                )
            }
            Self::Count(range, _) | Self::Size(range, _) => {
                format!("{} to {}", range.start(), range.end())
            }
            Self::Amount(range, _) => format!("{} to {}", range.start(), range.end()),
        }
    }

    fn show(&self, target: &mut T) -> String {
        match self {
            Self::Name(field) => text_or_none(field(target)),
            Self::NameText(field)
            | Self::Address(field)
            | Self::Url(field)
            | Self::Path(field)
            | Self::KeyDigest(field) => text_or_none(field(target)),
            Self::Level(field) => field(target).to_string().to_lowercase(),
            Self::Peers(_) => "none".to_owned(),
            Self::Role(field) => field(target).name().to_owned(),
            Self::Flag(field) => field(target).to_string(),
            Self::TimeOfDay(field) => {
                let minutes = field(target).as_secs() / 60;
                format!("{:02}:{:02}", minutes / 60, minutes % 60)
            }
            Self::Duration(_, field) => duration_text(*field(target)),
            Self::Count(_, field) => field(target).to_string(),
            Self::Size(_, field) => field(target).to_string(),
            Self::Amount(_, field) => field(target).to_string(),
        }
    }
}

fn text_or_none(text: &str) -> String {
    match text {
        "" => "none".to_owned(),
        text => text.to_owned(),
    }
}

fn read_level(text: &str) -> Result<LevelFilter, String> {
    let level = text.parse::<LevelFilter>().ok();
    level
        .filter(|level| *level != LevelFilter::Off)
        .ok_or_else(|| format!("`{text}` is not one of error, warn, info, debug, trace"))
}

fn read_role(text: &str) -> Result<HostRole, String> {
    [HostRole::Executor, HostRole::Worker]
        .into_iter()
        .find(|role| role.name() == text)
        .ok_or_else(|| format!("`{text}` is not `executor` or `worker`"))
}

fn read_digest(text: &str) -> Result<&str, String> {
    let invalid = || "expected `ID:SALT:DIGEST` as `lacewingshore key mint` prints it".to_owned();
    let mut parts = text.split(':');
    let (Some(id), Some(salt), Some(digest), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(invalid());
    };
    let is_hex = |part: &str| part.bytes().all(|byte| byte.is_ascii_hexdigit());
    if read_name(id).is_err() || salt.len() != 32 || digest.len() != 64 {
        return Err(invalid());
    }
    if !is_hex(salt) || !is_hex(digest) {
        return Err(invalid());
    }
    Ok(text)
}

fn read_peers(text: &str) -> Result<Vec<PeerSetting>, String> {
    /// Maximum number of entry hosts in the settings.
    const MAX_PEERS: usize = 64;
    let mut peers: Vec<PeerSetting> = Vec::new();
    for part in text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
    {
        let (member, address) = part
            .split_once(char::is_whitespace)
            .ok_or_else(|| format!("`{part}` is not `member ip:port`"))?;
        let peer = PeerSetting {
            member: read_name(member)?.into(),
            address: read_address(address.trim())?.to_owned(),
        };
        if peers.iter().any(|known| known.member == peer.member) {
            return Err(format!("the member {member} is named twice"));
        }
        peers.push(peer);
    }
    if peers.len() > MAX_PEERS {
        return Err(format!("more than {MAX_PEERS} members"));
    }
    Ok(peers)
}
