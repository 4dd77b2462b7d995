use std::fmt;

/// Why a text of settings or a manifest was refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextError {
    /// Line of the text, from 1; 0 if the fault is not on one line.
    pub line: usize,
    /// Section at fault; empty if none.
    pub section: String,
    /// Key at fault; empty if none.
    pub key: String,
    /// What is invalid and what is allowed.
    pub reason: String,
}

impl fmt::Display for TextError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)
    }
}

impl std::error::Error for TextError {}

/// Reads the bytes of a file as text.
///
/// # Errors
/// Names the line on which the text stops being UTF-8.
pub fn decode_utf8(bytes: &[u8]) -> Result<&str, TextError> {
    std::str::from_utf8(bytes).map_err(|error| {
        let before = bytes.get(..error.valid_up_to()).unwrap_or_default();
        TextError {
            line: 1 + before.iter().filter(|&&byte| byte == b'\n').count(),
            reason: "the text is not UTF-8".to_owned(),
            ..TextError::default()
        }
    })
}
