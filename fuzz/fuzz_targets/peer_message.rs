//! Any bytes from another entry host, or from the store, decode or are refused.
#![no_main]

use libfuzzer_sys::fuzz_target;
use prost::Message;
use wire::{fleet, peer, state};

fuzz_target!(|bytes: &[u8]| {
    let _ = peer::Envelope::decode(bytes);
    let _ = state::ConfigRecord::decode(bytes);
    let _ = state::AuditHead::decode(bytes);
    let _ = fleet::FleetRecord::decode(bytes);
    let _ = fleet::JobPage::decode(bytes);
});
