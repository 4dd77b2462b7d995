//! Settings are accepted as a whole or rejected with the place of the error.

use std::time::Duration;

use model::{ServeSettings, SettingsError};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

const SETTINGS: &str = "\
; an entry host
[entry]
member = e1
data_centre = north
address = 10.0.0.1:7000

[admin]
address = 10.0.0.1:7001

[peers]
address = 10.0.0.1:7002
known = e2 10.0.0.2:7002, e3 10.0.0.3:7002
lease_length = 3s

[platform]
store_url = http://10.0.1.1:7100/
host_list_url = http://10.0.1.2:7200
";

fn expect_refused(text: &str) -> SettingsError {
    let Err(error) = ServeSettings::from_ini(text) else {
        panic!("these settings must be refused:\n{text}");
    };
    error
}

#[test]
fn from_ini_valid() {
    let settings = ServeSettings::from_ini(SETTINGS).expect("valid settings");
    assert_eq!(settings.member, "e1");
    assert_eq!(settings.store_url, "http://10.0.1.1:7100");
    assert_eq!(settings.peers[1].member, "e3");
    assert_eq!(settings.peers[1].address, "10.0.0.3:7002");
    assert_eq!(settings.lease_length, Duration::from_secs(3));
    assert_eq!(settings.max_queue, ServeSettings::default().max_queue);
}

#[rstest]
#[case::unknown_key(
    "member = e1",
    "membre = e1",
    "line 3: [entry] membre: unknown key; known are member, data_centre, address"
)]
#[case::unknown_section(
    "[admin]",
    "[amdin]",
    "line 7: [amdin] unknown section; known are entry, admin, peers, platform, log, limits"
)]
#[case::missing_key(
    "member = e1",
    "",
    "line 2: [entry] member: the key is required: a name of 1 to 40 characters from a-z, 0-9 and, within, `-`"
)]
#[case::repeated_key(
    "data_centre = north",
    "member = e2",
    "line 4: [entry] member: the key appears twice, first on line 3"
)]
#[case::repeated_section(
    "[admin]",
    "[entry]",
    "line 7: [entry] the section appears twice, first on line 2"
)]
#[case::range(
    "lease_length = 3s",
    "lease_length = 3h",
    "line 13: [peers] lease_length: `3h` is not a time from 500ms to 10s, such as `500ms`, `2s` or `1h`"
)]
#[case::huge(
    "lease_length = 3s",
    "lease_length = 99999999999999999999s",
    "line 13: [peers] lease_length: `99999999999999999999s` is not a time from 500ms to 10s, such as `500ms`, `2s` or `1h`"
)]
#[case::relation(
    "lease_length = 3s",
    "lease_length = 1s",
    "[peers] heartbeat_interval: must be at most a third of lease_length"
)]
#[case::own_name(
    "known = e2",
    "known = e1",
    "line 12: [peers] known: names this entry host itself"
)]
#[case::host_name(
    "address = 10.0.0.1:7000",
    "address = localhost:7000",
    "line 5: [entry] address: `localhost:7000` is not an address such as `10.0.0.1:7100`"
)]
#[case::not_ini(
    "[admin]",
    "admin",
    "line 7: expected `[section]`, `key = value` or a comment"
)]
#[case::control(
    "[admin]",
    "[adm\u{7}in]",
    "line 7: the line holds a control character"
)]
fn from_ini_refused(#[case] old: &str, #[case] new: &str, #[case] message: &str) {
    let text = SETTINGS.replacen(old, new, 1);
    let shown = expect_refused(&text).to_string();
    assert!(shown.ends_with(message), "{shown}");
}

#[test]
fn from_ini_empty() {
    assert_eq!(
        expect_refused("").to_string(),
        "[entry] the section is required"
    );
}

#[test]
fn decode_utf8_invalid() {
    let error = model::decode_utf8(b"[entry]\nmember = \xff").expect_err("not UTF-8");
    assert_eq!(error.to_string(), "line 2: the text is not UTF-8");
}

#[test]
fn keys_documented() {
    for info in ServeSettings::keys() {
        assert!(info.meaning.ends_with('.'), "{}", info.key);
        assert!(!info.allowed.is_empty(), "{}", info.key);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Parsing arbitrary text never panics, and an error has a line number within the text.
    #[test]
    fn from_ini_any_text(text in "(\\[[a-z.]{0,9}\\]|[a-z_]{1,9}|=| |\n|:|;|\\PC){0,80}") {
        if let Err(error) = ServeSettings::from_ini(&text) {
            prop_assert!(error.line <= text.lines().count());
        }
    }

    /// An arbitrary value is either valid or rejected with its own line number.
    #[test]
    fn from_ini_any_value(line in 0usize..17, value in "\\PC{0,30}") {
        let mut lines: Vec<String> = SETTINGS.lines().map(str::to_owned).collect();
        let Some((key, _)) = lines[line].clone().split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned())) else {
            return Ok(());
        };
        lines[line] = format!("{key}={value}");
        if let Err(error) = ServeSettings::from_ini(&lines.join("\n")) {
            prop_assert!(error.line == line + 1 || error.line == 0, "{error}");
        }
    }
}
