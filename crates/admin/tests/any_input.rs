//! Seeded property tests of what operators, pipelines and the store may send.

use admin::{
    audit::{entry_digest, verify_chain},
    key_secret::{KeySecret, from_hex, record_of_digest, to_hex},
    view::{AuditView, EntryView, GrantCall},
};
use model::KeyText;
use proptest::{prelude::*, test_runner::RngSeed};
use wire::state::AuditEntry;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

fn entry(texts: &[String; 4], numbers: [u64; 4]) -> AuditEntry {
    let [author, change_id, subject, difference] = texts.clone();
    let mut entry = AuditEntry {
        sequence: numbers[0],
        unix_ms: numbers[1],
        author,
        change_id,
        subject,
        difference,
        revision_before: numbers[2],
        revision_after: numbers[3],
        ..AuditEntry::default()
    };
    entry.digest = entry_digest(&entry).to_vec();
    entry
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn grant_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = serde_json::from_slice::<GrantCall>(&bytes);
    }

    #[test]
    fn key_text_any(text in "\\PC{0,300}") {
        if let Some(key) = KeyText::parse(&text) {
            prop_assert_eq!(format!("{}.{}", key.key_id, key.secret), text.as_str());
        }
        let _ = record_of_digest(&text);
    }

    #[test]
    fn hex_round_trip(bytes in proptest::collection::vec(any::<u8>(), 0..100), text in "\\PC{0,40}") {
        prop_assert_eq!(from_hex(&to_hex(&bytes)), Some(bytes));
        if let Some(bytes) = from_hex(&text) {
            prop_assert_eq!(to_hex(&bytes), text.to_lowercase());
        }
    }

    /// An entry keeps its digest on its way through JSON, whatever its texts are.
    #[test]
    fn entry_view_round_trip(texts in any::<[String; 4]>(), numbers in any::<[u64; 4]>()) {
        let entry = entry(&texts, numbers);
        let json = serde_json::to_string(&EntryView::new(&entry)).unwrap_or_default();
        let view: EntryView = serde_json::from_str(&json).unwrap_or_default();
        prop_assert_eq!(entry_digest(&view.entry()).to_vec(), entry.digest);
    }

    /// No two different entries share a digest by moving letters between fields.
    #[test]
    fn entry_digest_tells_apart(one in any::<[String; 4]>(), other in any::<[String; 4]>()) {
        let numbers = [1, 2, 3, 4];
        let is_same = entry(&one, numbers).digest == entry(&other, numbers).digest;
        prop_assert_eq!(is_same, one == other);
    }

    /// A chain of any entries is checked without a panic.
    #[test]
    fn verify_any_chain(
        texts in any::<[String; 4]>(),
        numbers in proptest::collection::vec(any::<[u64; 4]>(), 0..8),
    ) {
        let entries: Vec<AuditEntry> = numbers.iter().map(|four| entry(&texts, *four)).collect();
        let view = AuditView::default();
        let _ = verify_chain(&view.head(), &entries);
    }
}

#[test]
fn key_secrets_distinct() {
    let one = KeySecret::mint()
        .map(|secret| secret.text)
        .unwrap_or_default();
    let other = KeySecret::mint()
        .map(|secret| secret.text)
        .unwrap_or_default();
    assert_ne!(one, other);
    assert!(KeyText::parse(&one).is_some());
}
