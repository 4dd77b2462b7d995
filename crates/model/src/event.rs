use std::fmt;

/// One kind of event in the log; its number never changes. `docs/EVENTS.md` lists them all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventCode(pub u16);

/// What the catalogue says of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventInfo {
    /// The number in the log.
    pub code: EventCode,
    /// Short name, in kebab case.
    pub name: &'static str,
    /// What it means and what an operator does about it.
    pub meaning: &'static str,
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:04}", self.0)
    }
}
