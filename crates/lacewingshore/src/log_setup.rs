use std::{fmt, sync::Arc, time::SystemTime};

use anyhow::Context;
use log::LevelFilter;
use model::ServeSettings;

use crate::line_sink::LineSink;

/// Starts logging to the file that the settings name, or to standard error, one line per event.
///
/// # Errors
/// If the log file can't be opened, or logging was started before.
pub fn start(settings: &ServeSettings) -> anyhow::Result<()> {
    let dispatch = line_format(settings.log_level);
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
    let lines = sink.clone();
    let output = fern::Output::call(move |record| lines.push(record.args().to_string()));
    line_format(level)
        .chain(output)
        .apply()
        .context("start the log")?;
    Ok(sink)
}

fn line_format(level: LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(level)
        // These libraries log each call; at a lower level their lines would outnumber the events.
        .level_for("ureq", LevelFilter::Warn)
        .level_for("ureq_proto", LevelFilter::Warn)
        .level_for("mio", LevelFilter::Warn)
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level().as_str().to_lowercase();
            let target = record.target();
            let text = OneLine(message);
            match is_event(target) {
                true => out.finish(format_args!(
                    "time={time} level={level} event={target} name={text}"
                )),
                false => out.finish(format_args!(
                    "time={time} level={level} source={target} text=\"{text}\""
                )),
            }
        })
}

/// Events have their number, such as `E0001`, as the log target; all other lines come from
/// libraries.
fn is_event(target: &str) -> bool {
    let number = target.strip_prefix('E').unwrap_or_default();
    number.len() == 4 && number.bytes().all(|byte| byte.is_ascii_digit())
}

/// Displays a text with its control characters escaped.
///
/// Without this, a line break in a text from a caller could forge log lines for events that
/// never happened.
struct OneLine<'a>(&'a fmt::Arguments<'a>);

impl fmt::Display for OneLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        if !text.contains(char::is_control) {
            return f.write_str(&text);
        }
        for c in text.chars() {
            match c.is_control() {
                true => write!(f, "{}", c.escape_default())?,
                false => write!(f, "{c}")?,
            }
        }
        Ok(())
    }
}
