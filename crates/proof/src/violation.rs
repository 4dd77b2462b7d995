use std::fmt;

/// A broken promise, found in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the check.
    pub check: &'static str,
    /// What was found, with the ids and times that show it.
    pub finding: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.check, self.finding)
    }
}

/// Looks for broken promises in a history, and in nothing else.
pub trait HistoryCheck {
    /// Name of the check.
    fn name(&self) -> &'static str;
    /// What it finds, one text a violation.
    fn findings(&self, history: &crate::History) -> Vec<String>;

    /// What it finds.
    fn violations(&self, history: &crate::History) -> Vec<Violation> {
        self.findings(history)
            .into_iter()
            .map(|finding| Violation {
                check: self.name(),
                finding,
            })
            .collect()
    }
}
