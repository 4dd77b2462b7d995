use sha2::{Digest, Sha256};

use crate::KeyId;

/// Length of the salt stored with a key's digest, in bytes.
pub const KEY_SALT_LEN: usize = 16;
/// Longest bearer text that is parsed, in bytes; longer text is rejected.
const MAX_KEY_TEXT: usize = 256;

/// An access key as callers send it: `ID.SECRET`.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyText {
    /// The public part, used to look up the stored digest.
    pub key_id: KeyId,
    /// The secret part; never logged or stored.
    pub secret: String,
}

impl KeyText {
    /// Parses the text after `Authorization: Bearer`; `None` if it is not a key.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() > MAX_KEY_TEXT {
            return None;
        }
        let (key_id, secret) = text.split_once('.')?;
        if key_id.is_empty() || secret.is_empty() {
            return None;
        }
        Some(Self {
            key_id: key_id.into(),
            secret: secret.to_owned(),
        })
    }

    /// Computes the salted digest that is stored for the key. Compare it in constant time.
    pub fn digest(&self, salt: &[u8]) -> [u8; 32] {
        let mut hash = Sha256::new();
        hash.update(salt);
        hash.update(self.secret.as_bytes());
        hash.finalize().into()
    }
}

impl std::fmt::Debug for KeyText {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyText")
            .field("key_id", &self.key_id)
            .finish_non_exhaustive()
    }
}
