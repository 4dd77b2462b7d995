use std::time::Duration;

use crate::{DataCentreId, MemberId};

/// What one entry host is told of its surroundings, see `docs/SETTINGS.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct ServeSettings {
    /// Own id, unique among entry hosts.
    pub member: MemberId,
    /// Own data centre.
    pub data_centre: DataCentreId,
    /// Address on which callers are answered, as `ip:port`; port 0 takes a free one.
    pub caller_address: String,
    /// Address on which operators are answered, as `ip:port`.
    pub admin_address: String,
    /// Address on which other entry hosts are heard, as `ip:port`.
    pub peer_address: String,
    /// Other entry hosts known at start, with the address at which this host dials each.
    /// An address given here overrides the one in the member list.
    pub peers: Vec<PeerSetting>,
    /// Base URL of the configuration store.
    pub store_url: String,
    /// URL of the host list.
    pub host_list_url: String,
    /// Level of the log: error, warn, info, debug or trace.
    pub log_level: log::LevelFilter,
    /// File that the log is appended to; empty for standard error.
    pub log_file: String,
    /// Interval of heartbeats between entry hosts.
    pub heartbeat_interval: Duration,
    /// How long a serving lease lasts from the sending of the question that renewed it.
    pub lease_length: Duration,
    /// Longest wait for one answer of the store.
    pub store_timeout: Duration,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Most connections of callers held at once.
    pub max_connections: usize,
    /// Most requests queued for one pool.
    pub max_queue: usize,
}

/// One other entry host named in the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerSetting {
    /// Its id.
    pub member: MemberId,
    /// Address at which to dial it, as `ip:port`.
    pub address: String,
}

impl Default for ServeSettings {
    fn default() -> Self {
        Self {
            member: MemberId::default(),
            data_centre: DataCentreId::default(),
            caller_address: "127.0.0.1:0".to_owned(),
            admin_address: "127.0.0.1:0".to_owned(),
            peer_address: "127.0.0.1:0".to_owned(),
            peers: Vec::new(),
            store_url: String::new(),
            host_list_url: String::new(),
            log_level: log::LevelFilter::Info,
            log_file: String::new(),
            heartbeat_interval: Duration::from_millis(400),
            lease_length: Duration::from_secs(2),
            store_timeout: Duration::from_millis(800),
            max_deadline: Duration::from_secs(60),
            max_body: 4 * 1024 * 1024,
            max_connections: 2048,
            max_queue: 4096,
        }
    }
}
