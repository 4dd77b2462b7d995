use std::time::Duration;

use crate::{
    DataCentreId, KeyInfo, MemberId, TextError,
    key_rule::{KeyField, KeyRule},
    settings_text::{error_without_line, read_settings},
};

/// Local settings of one entry host, see `docs/SETTINGS.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct ServeSettings {
    /// Own id, unique among entry hosts.
    pub member: MemberId,
    /// Own data centre.
    pub data_centre: DataCentreId,
    /// Listen address for callers, as `ip:port`; port 0 selects a free port.
    pub caller_address: String,
    /// Listen address for operators, as `ip:port`.
    pub admin_address: String,
    /// Digest of the administration key that is valid until another one is granted, as
    /// `ID:SALT:DIGEST` with salt and digest in hex; empty for none.
    pub bootstrap_key: String,
    /// Listen address for other entry hosts, as `ip:port`.
    pub peer_address: String,
    /// Other entry hosts known at start, with the address to connect to. An address given here
    /// overrides the one in the member list.
    pub peers: Vec<PeerSetting>,
    /// Base URL of the configuration store.
    pub store_url: String,
    /// URL of the host list.
    pub host_list_url: String,
    /// Minimum severity of logged events: error, warn, info, debug or trace.
    pub log_level: log::LevelFilter,
    /// File that the log is appended to; empty for standard error.
    pub log_file: String,
    /// Interval of heartbeats between entry hosts.
    pub heartbeat_interval: Duration,
    /// Length of a serving lease, counted from when the request that renewed it was sent.
    pub lease_length: Duration,
    /// Timeout of one request to the store.
    pub store_timeout: Duration,
    /// Longest deadline that a caller may set.
    pub max_deadline: Duration,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum number of queued requests per pool.
    pub max_queue: usize,
}

/// One other entry host named in the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerSetting {
    /// Its id.
    pub member: MemberId,
    /// Address to connect to, as `ip:port`.
    pub address: String,
}

impl Default for ServeSettings {
    fn default() -> Self {
        Self {
            member: MemberId::default(),
            data_centre: DataCentreId::default(),
            caller_address: "127.0.0.1:0".to_owned(),
            admin_address: "127.0.0.1:0".to_owned(),
            bootstrap_key: String::new(),
            peer_address: "127.0.0.1:0".to_owned(),
            peers: Vec::new(),
            store_url: String::new(),
            host_list_url: String::new(),
            log_level: log::LevelFilter::Info,
            log_file: String::new(),
            heartbeat_interval: Duration::from_millis(500),
            lease_length: Duration::from_secs(2),
            store_timeout: Duration::from_millis(800),
            max_deadline: Duration::from_secs(60),
            max_body: 4 * 1024 * 1024,
            max_connections: 2048,
            max_queue: 4096,
        }
    }
}

/// Error in settings.
pub type SettingsError = TextError;

type SettingRule = KeyRule<ServeSettings>;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

const ENTRY_RULES: &[SettingRule] = &[
    KeyRule::required(
        "member",
        KeyField::Name(|settings| &mut settings.member),
        "Own id, unique among entry hosts; a replaced host may take over the id of the one it replaces.",
    ),
    KeyRule::required(
        "data_centre",
        KeyField::Name(|settings| &mut settings.data_centre),
        "Data centre of this entry host.",
    ),
    KeyRule::required(
        "address",
        KeyField::Address(|settings| &mut settings.caller_address),
        "Address on which callers are answered; the balancer sends to it.",
    ),
];

const ADMIN_RULES: &[SettingRule] = &[
    KeyRule::required(
        "address",
        KeyField::Address(|settings| &mut settings.admin_address),
        "Address on which operators are answered; keep it off the callers' network.",
    ),
    KeyRule::optional(
        "bootstrap_key",
        KeyField::KeyDigest(|settings| &mut settings.bootstrap_key),
        "Digest of the administration key that counts while no administration key is granted.",
    ),
];

const PEER_RULES: &[SettingRule] = &[
    KeyRule::required(
        "address",
        KeyField::Address(|settings| &mut settings.peer_address),
        "Address on which this entry host listens for other entry hosts, and at which they connect to it.",
    ),
    KeyRule::optional(
        "known",
        KeyField::Peers(|settings| &mut settings.peers),
        "Other entry hosts with the address at which to dial each; overrides the member list.",
    ),
    KeyRule::optional(
        "heartbeat_interval",
        KeyField::Duration(millis(50)..=millis(2_000), |settings| {
            &mut settings.heartbeat_interval
        }),
        "Interval of heartbeats between entry hosts; at most a third of the lease length.",
    ),
    KeyRule::optional(
        "lease_length",
        KeyField::Duration(millis(500)..=millis(10_000), |settings| {
            &mut settings.lease_length
        }),
        "How long a serving lease lasts; a host that is cut off stops taking work within this time. The same on every entry host.",
    ),
];

const PLATFORM_RULES: &[SettingRule] = &[
    KeyRule::required(
        "store_url",
        KeyField::Url(|settings| &mut settings.store_url),
        "Base URL of the configuration store.",
    ),
    KeyRule::required(
        "host_list_url",
        KeyField::Url(|settings| &mut settings.host_list_url),
        "Base URL of the host list.",
    ),
    KeyRule::optional(
        "store_timeout",
        KeyField::Duration(millis(50)..=millis(5_000), |settings| {
            &mut settings.store_timeout
        }),
        "Longest wait for one answer of the store; shorter than the lease length.",
    ),
];

const LOG_RULES: &[SettingRule] = &[
    KeyRule::optional(
        "level",
        KeyField::Level(|settings| &mut settings.log_level),
        "Least severe events that are logged.",
    ),
    KeyRule::optional(
        "file",
        KeyField::Path(|settings| &mut settings.log_file),
        "File that the log is appended to; left out, the log goes to standard error.",
    ),
];

const LIMIT_RULES: &[SettingRule] = &[
    KeyRule::optional(
        "max_deadline",
        KeyField::Duration(millis(100)..=millis(3_600_000), |settings| {
            &mut settings.max_deadline
        }),
        "Longest deadline that a caller may ask for.",
    ),
    KeyRule::optional(
        "max_body",
        KeyField::Size(1_024..=67_108_864, |settings| &mut settings.max_body),
        "Largest request body and answer, in bytes.",
    ),
    KeyRule::optional(
        "max_connections",
        KeyField::Size(8..=65_536, |settings| &mut settings.max_connections),
        "Most connections of callers held at once.",
    ),
    KeyRule::optional(
        "max_queue",
        KeyField::Size(1..=1_000_000, |settings| &mut settings.max_queue),
        "Most requests queued for one pool.",
    ),
];

const SECTIONS: &[(&str, &[SettingRule])] = &[
    ("entry", ENTRY_RULES),
    ("admin", ADMIN_RULES),
    ("peers", PEER_RULES),
    ("platform", PLATFORM_RULES),
    ("log", LOG_RULES),
    ("limits", LIMIT_RULES),
];

impl ServeSettings {
    /// Parses and checks settings, see `docs/SETTINGS.md`.
    ///
    /// # Errors
    /// The first error: a missing, unknown or repeated key, or a value out of range.
    pub fn from_ini(text: &str) -> Result<Self, SettingsError> {
        let (settings, sections) = read_settings(text, SECTIONS)?;
        settings.check().map_err(|mut error| {
            let section = sections
                .iter()
                .find(|section| section.name == error.section);
            error.line = section.map_or(0, |section| section.line_of(&error.key));
            error
        })?;
        Ok(settings)
    }

    /// Returns all settings, for the docs.
    pub fn keys() -> Vec<KeyInfo> {
        SECTIONS
            .iter()
            .flat_map(|(section, rules)| rules.iter().map(|rule| rule.info(section)))
            .collect()
    }

    /// Checks constraints across several keys.
    fn check(&self) -> Result<(), SettingsError> {
        // With fewer than three heartbeats per lease, one lost message lets the lease of a healthy
        // host expire, and its callers are refused for no reason.
        if self.heartbeat_interval * 3 > self.lease_length {
            let reason = "must be at most a third of lease_length";
            return Err(error_without_line("peers", "heartbeat_interval", reason));
        }
        if self.store_timeout >= self.lease_length {
            let reason = "must be shorter than lease_length of [peers]";
            return Err(error_without_line("platform", "store_timeout", reason));
        }
        if self.peers.iter().any(|peer| peer.member == self.member) {
            return Err(error_without_line(
                "peers",
                "known",
                "names this entry host itself",
            ));
        }
        Ok(())
    }
}
