use std::{fmt::Write, sync::Arc, time::SystemTime};

use anyhow::Context;
use log::{Level, LevelFilter};
use model::ServeSettings;

use crate::line_sink::LineSink;

/// Capacity of a new line in bytes, enough for most.
const LINE_BYTES: usize = 256;

/// Starts logging to the file that the settings name, or to standard error, one line per event.
///
/// # Errors
/// If the log file can't be opened, or logging was started before.
pub fn start(settings: &ServeSettings) -> anyhow::Result<()> {
    let dispatch = dispatch_of_level(settings.log_level)
        .format(|out, _, record| out.finish(format_args!("{}", format_line(record))));
    let dispatch = match settings.log_file.as_str() {
        "" => dispatch.chain(std::io::stderr()),
        path => dispatch.chain(fern::log_file(path).with_context(|| format!("open log {path}"))?),
    };
    dispatch.apply().context("start the log")
}

/// Starts logging to standard output through a sink that never blocks the caller.
///
/// # Errors
/// If the thread of the sink can't be started, or logging was started before.
pub fn start_bounded(level: LevelFilter) -> anyhow::Result<Arc<LineSink>> {
    let sink = Arc::new(LineSink::start().context("start the log's thread")?);
    let (admission, lines) = (sink.clone(), sink.clone());
    let output = fern::Output::call(move |record| lines.push(format_line(record)));
    dispatch_of_level(level)
        .filter(move |metadata| admission.admits(metadata.level()))
        .chain(output)
        .apply()
        .context("start the log")?;
    Ok(sink)
}

fn dispatch_of_level(level: LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(level)
        // These libraries log each call; at a lower level their lines would outnumber the events.
        .level_for("ureq", LevelFilter::Warn)
        .level_for("ureq_proto", LevelFilter::Warn)
        .level_for("mio", LevelFilter::Warn)
}

/// Formats the line of a record, without its line break.
fn format_line(record: &log::Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let level = level_name(record.level());
    let target = record.target();
    let is_event = is_event(target);
    let mut line = String::with_capacity(LINE_BYTES);
    let started = match is_event {
        true => write!(line, "time={time} level={level} event={target} name="),
        false => write!(line, "time={time} level={level} source={target} text=\""),
    };
    let text_at = line.len();
    let written = started.and_then(|()| line.write_fmt(*record.args()));
    if written.is_err() {
        // Writing to a string does not fail, but a value that is logged may.
        line.push_str(" unreadable=true");
    }
    escape_controls(&mut line, text_at);
    if !is_event {
        line.push('"');
    }
    line
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

/// Events have their number, such as `E0001`, as the log target; all other lines come from
/// libraries.
fn is_event(target: &str) -> bool {
    let number = target.strip_prefix('E').unwrap_or_default();
    number.len() == 4 && number.bytes().all(|byte| byte.is_ascii_digit())
}

/// Escapes the control characters of a line from `begin` on.
///
/// Without this, a line break in a text from a caller could forge log lines for events that
/// never happened.
fn escape_controls(line: &mut String, begin: usize) {
    if !line[begin..].contains(char::is_control) {
        return;
    }
    let text = line.split_off(begin);
    for c in text.chars() {
        match c.is_control() {
            true => line.extend(c.escape_default()),
            false => line.push(c),
        }
    }
}
