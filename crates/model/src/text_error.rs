use std::fmt;

/// Error in the text of settings or of a manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextError {
    /// Line of the text, from 1; 0 if the error does not belong to one line.
    pub line: usize,
    /// Section with the error; empty if none.
    pub section: String,
    /// Key with the error; empty if none.
    pub key: String,
    /// What is wrong and what is allowed.
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

/// Decodes the bytes of a file as UTF-8 text.
///
/// # Errors
/// If the bytes are not UTF-8; the error has the line of the first invalid byte.
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
