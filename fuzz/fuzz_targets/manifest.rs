//! Any bytes are read as a manifest or refused; what is read survives a round trip.
#![no_main]

use libfuzzer_sys::fuzz_target;
use model::{Manifest, decode_utf8};

fuzz_target!(|bytes: &[u8]| {
    let Ok(text) = decode_utf8(bytes) else {
        return;
    };
    let Ok((sections, manifest)) = Manifest::from_ini(text) else {
        return;
    };
    let again = Manifest::from_ini(&Manifest::format_sections(&sections));
    assert_eq!(again, Ok((sections, manifest)));
});
