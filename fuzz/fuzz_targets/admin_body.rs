//! Any body of a grant, and any answer that a command reads, is read or refused.
#![no_main]

use admin::{
    AdminProblem,
    audit::verify_chain,
    key_secret::record_of_digest,
    view::{AuditView, EntryView, GrantCall, StatusView},
};
use libfuzzer_sys::fuzz_target;
use model::KeyText;

fuzz_target!(|bytes: &[u8]| {
    let _ = serde_json::from_slice::<GrantCall>(bytes);
    let _ = serde_json::from_slice::<StatusView>(bytes);
    let _ = serde_json::from_slice::<AdminProblem>(bytes);
    if let Ok(view) = serde_json::from_slice::<AuditView>(bytes) {
        let entries: Vec<_> = view.entries.iter().map(EntryView::entry).collect();
        let _ = verify_chain(&view.head(), &entries);
    }
    if let Ok(text) = std::str::from_utf8(bytes) {
        let _ = record_of_digest(text);
        let _ = KeyText::parse(text);
    }
});
