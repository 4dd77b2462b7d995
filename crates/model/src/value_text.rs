//! Parsers of single values; every error says what is allowed.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

/// Longest name of a pool, team, host or other item, in characters.
pub(crate) const MAX_NAME: usize = 40;
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

pub(crate) fn read_count(text: &str, range: &RangeInclusive<u64>) -> Result<u64, String> {
    let allowed = || {
        format!(
            "`{text}` is not a whole number from {} to {}",
            range.start(),
            range.end()
        )
    };
    let count = text.parse::<u64>().map_err(|_| allowed())?;
    if !range.contains(&count) {
        return Err(allowed());
    }
    Ok(count)
}

pub(crate) fn read_amount(text: &str, range: &RangeInclusive<f64>) -> Result<f64, String> {
    let amount = text.parse::<f64>().ok();
    amount
        .filter(|amount| range.contains(amount))
        .ok_or_else(|| {
            format!(
                "`{text}` is not a number from {} to {}",
                range.start(),
                range.end()
            )
        })
}

pub(crate) fn read_duration(
    text: &str,
    range: &RangeInclusive<Duration>,
) -> Result<Duration, String> {
    let allowed = || {
        format!(
            "`{text}` is not a time from {} to {}, such as `500ms`, `2s` or `1h`",
            duration_text(*range.start()),
            duration_text(*range.end())
        )
    };
    let duration = humantime::parse_duration(text).map_err(|_| allowed())?;
    if !range.contains(&duration) {
        return Err(allowed());
    }
    Ok(duration)
}

/// Formats a duration so that [`read_duration`] can parse it. Whole days stay days instead of
/// becoming months.
pub(crate) fn duration_text(duration: Duration) -> String {
    if duration >= DAY && duration.as_secs().is_multiple_of(DAY.as_secs()) {
        return format!("{}d", duration.as_secs() / DAY.as_secs());
    }
    humantime::format_duration(duration).to_string()
}

pub(crate) fn read_bool(text: &str) -> Result<bool, String> {
    match text {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(format!("`{text}` is not `true` or `false`")),
    }
}

pub(crate) fn read_name(text: &str) -> Result<&str, String> {
    let fits = (1..=MAX_NAME).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
        && !text.starts_with('-')
        && !text.ends_with('-');
    if !fits {
        return Err(format!(
            "`{text}` is not a name of 1 to {MAX_NAME} characters from a-z, 0-9 and, within, `-`"
        ));
    }
    Ok(text)
}

pub(crate) fn read_address(text: &str) -> Result<&str, String> {
    text.parse::<SocketAddr>()
        .map_err(|_| format!("`{text}` is not an address such as `10.0.0.1:7100`"))?;
    Ok(text)
}

pub(crate) fn read_url(text: &str) -> Result<&str, String> {
    let invalid = || format!("`{text}` is not a URL such as `http://10.0.0.1:7000`");
    let Some(rest) = text.strip_prefix("http://") else {
        return Err(invalid());
    };
    if rest.is_empty() || rest.starts_with('/') || text.contains(char::is_whitespace) {
        return Err(invalid());
    }
    Ok(text.trim_end_matches('/'))
}

/// Parses a time of day such as `02:30` into the time since midnight.
pub(crate) fn read_time_of_day(text: &str) -> Result<Duration, String> {
    let invalid = || format!("`{text}` is not a time of day from 00:00 to 23:59");
    let (hours, minutes) = text.split_once(':').ok_or_else(invalid)?;
    if hours.len() != 2 || minutes.len() != 2 {
        return Err(invalid());
    }
    let hours = read_count(hours, &(0..=23)).map_err(|_| invalid())?;
    let minutes = read_count(minutes, &(0..=59)).map_err(|_| invalid())?;
    Ok(Duration::from_secs(hours * 3600 + minutes * 60))
}
