use sha2::{Digest, Sha256};

use crate::KeyId;

/// Bytes of salt stored with a key's digest.
pub const KEY_SALT_LEN: usize = 16;
/// Longest bearer text that is looked at.
const MAX_KEY_TEXT: usize = 256;

/// A key as its holder presents it: `ID.SECRET`.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyText {
    /// The public part, by which the stored digest is found.
    pub key_id: KeyId,
    /// The secret part; never logged or stored.
    pub secret: String,
}

impl KeyText {
    /// Splits the text after `Authorization: Bearer`; `None` if it is not a key.
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

    /// The digest under which the key is stored, to be compared in constant time.
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
