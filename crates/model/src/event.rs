//! Numbered log events: [`event_catalogue!`](crate::event_catalogue) declares the events
//! of a crate, [`info`], [`warn`] and [`error`] write one line for each.
//!
//! ```
//! mod event {
//!     model::event_catalogue! {
//!         MEMBER_JOINED = 301, "member-joined", "An entry host joined the member list.";
//!     }
//! }
//! model::event::info(&event::MEMBER_JOINED, format_args!("member={} revision={}", "e1", 4));
//! ```

use std::fmt;

/// One kind of event in the log; its number never changes. `docs/EVENTS.md` lists them all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventCode(pub u16);

/// Catalogue entry of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventInfo {
    /// The number in the log.
    pub code: EventCode,
    /// Short name, in kebab case.
    pub name: &'static str,
    /// What the event means and what an operator should do about it.
    pub meaning: &'static str,
}

impl EventInfo {
    /// Creates a catalogue entry.
    pub const fn new(number: u16, name: &'static str, meaning: &'static str) -> Self {
        Self {
            code: EventCode(number),
            name,
            meaning,
        }
    }
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:04}", self.0)
    }
}

/// Logs an event of normal operation; `details` are `key=value` pairs.
pub fn info(event: &EventInfo, details: fmt::Arguments<'_>) {
    write_line(log::Level::Info, event, details);
}

/// Logs an event that an operator should know about; `details` are `key=value` pairs.
pub fn warn(event: &EventInfo, details: fmt::Arguments<'_>) {
    write_line(log::Level::Warn, event, details);
}

/// Logs an event that an operator should act on; `details` are `key=value` pairs.
pub fn error(event: &EventInfo, details: fmt::Arguments<'_>) {
    write_line(log::Level::Error, event, details);
}

/// Logs an event that is too frequent for the default log level; `details` are `key=value` pairs.
pub fn debug(event: &EventInfo, details: fmt::Arguments<'_>) {
    write_line(log::Level::Debug, event, details);
}

fn write_line(level: log::Level, event: &EventInfo, details: fmt::Arguments<'_>) {
    if level > log::max_level() {
        return;
    }
    let code = event.code.to_string();
    log::log!(target: &code, level, "{} {details}", event.name);
}

/// Declares the events of a crate as constants, and `ALL` as the list of them.
///
/// Each line has the form `CONSTANT = number, "kebab-case-name", "Meaning.";`.
#[macro_export]
macro_rules! event_catalogue {
    ($($constant:ident = $number:literal, $name:literal, $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $constant: $crate::EventInfo =
                $crate::EventInfo::new($number, $name, $meaning);
        )*
        /// All events of this crate, for the event catalogue.
        pub const ALL: &[$crate::EventInfo] = &[$($constant),*];
    };
}
