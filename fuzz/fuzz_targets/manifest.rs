//! Any bytes are read as a manifest or refused; what is read survives a round trip.
#![no_main]

use libfuzzer_sys::fuzz_target;
use model::{Manifest, text_of_bytes};

fuzz_target!(|bytes: &[u8]| {
    let Ok(text) = text_of_bytes(bytes) else {
        return;
    };
    let Ok((sections, manifest)) = Manifest::from_ini(text) else {
        return;
    };
    let again = Manifest::from_ini(&Manifest::text_of(&sections));
    assert_eq!(again, Ok((sections, manifest)));
});
