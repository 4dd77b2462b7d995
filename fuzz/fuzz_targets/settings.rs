//! Any bytes are read as settings or refused with a line of the text.
#![no_main]

use libfuzzer_sys::fuzz_target;
use model::{ServeSettings, text_of_bytes};

fuzz_target!(|bytes: &[u8]| {
    let Ok(text) = text_of_bytes(bytes) else {
        return;
    };
    if let Err(fault) = ServeSettings::from_ini(text) {
        assert!(fault.line <= text.lines().count());
    }
});
