//! Any bytes are read as settings or refused with a line of the text.
#![no_main]

use libfuzzer_sys::fuzz_target;
use model::{ServeSettings, decode_utf8};

fuzz_target!(|bytes: &[u8]| {
    let Ok(text) = decode_utf8(bytes) else {
        return;
    };
    if let Err(fault) = ServeSettings::from_ini(text) {
        assert!(fault.line <= text.lines().count());
    }
});
