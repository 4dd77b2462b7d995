//! Minting of keys, and the texts in which their digests travel.

use model::{KEY_SALT_LEN, KeyId, KeyText, StepError};
use wire::state::KeyRecord;

/// Bytes of a key's id, shown in hex.
const ID_BYTES: usize = 6;
/// Bytes of a key's secret, shown in hex.
const SECRET_BYTES: usize = 32;

/// A fresh key: what its holder is told, and what is stored of it.
#[derive(Clone, PartialEq, Eq)]
pub struct KeySecret {
    /// The key as its holder presents it; shown once and stored nowhere.
    pub text: String,
    /// The public part.
    pub key_id: KeyId,
    /// Salt of the digest.
    pub salt: Vec<u8>,
    /// Digest under which the key is stored.
    pub digest: Vec<u8>,
}

impl KeySecret {
    /// Mints a key from the machine's own source of randomness.
    ///
    /// # Errors
    /// If the source fails.
    pub fn mint() -> Result<Self, StepError> {
        let mut bytes = [0; ID_BYTES + SECRET_BYTES + KEY_SALT_LEN];
        getrandom::fill(&mut bytes)
            .map_err(|error| StepError::new("mint a key", "", error.to_string()))?;
        let (id, rest) = bytes.split_at(ID_BYTES);
        let (secret, salt) = rest.split_at(SECRET_BYTES);
        let key = KeyText {
            key_id: format!("k{}", to_hex(id)).into(),
            secret: to_hex(secret),
        };
        Ok(Self {
            text: format!("{}.{}", key.key_id, key.secret),
            salt: salt.to_vec(),
            digest: key.digest(salt).to_vec(),
            key_id: key.key_id,
        })
    }

    /// The key as the settings name it: `ID:SALT:DIGEST`.
    pub fn digest_text(&self) -> String {
        format!(
            "{}:{}:{}",
            self.key_id,
            to_hex(&self.salt),
            to_hex(&self.digest)
        )
    }
}

/// Reads `ID:SALT:DIGEST` as a record of an administration key; `None` for other text.
pub fn record_of_digest(text: &str) -> Option<KeyRecord> {
    let mut parts = text.split(':');
    let (key_id, salt, digest) = (parts.next()?, parts.next()?, parts.next()?);
    Some(KeyRecord {
        key_id: key_id.to_owned(),
        admin: true,
        salt: from_hex(salt)?,
        digest: from_hex(digest)?,
        ..KeyRecord::default()
    })
}

/// Shows bytes in hex.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads hex; `None` for other text.
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(text.get(at..at + 2)?, 16).ok())
        .collect()
}
