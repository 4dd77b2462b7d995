use std::time::Duration;

use crate::{
    DataCentreId, KeyInfo, MemberId, TextError,
    key_rule::{KeyField, KeyRule},
    settings_text::read_settings,
    work::SharingModes,
};

/// Local settings of one process of a cell, see `docs/SETTINGS.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSettings {
    /// Own id, unique among the processes of the system.
    pub member: MemberId,
    /// Own data centre.
    pub data_centre: DataCentreId,
    /// Listen address for callers, as `ip:port`.
    pub caller_address: String,
    /// Listen address for the balancer's readiness checks.
    pub ready_address: String,
    /// Listen address for other processes of the system.
    pub peer_address: String,
    /// Listen address for metrics.
    pub metrics_address: String,
    /// Address of the platform's store.
    pub store_address: String,
    /// Address of the service that controls the hosts of the fleet.
    pub control_address: String,
    /// Address of the advice service; empty for none.
    pub advice_address: String,
    /// Longest time that a target runs tasks without a renewal of their lease.
    pub task_lease: Duration,
    /// Time within which orders of two successive owners to one host conflict.
    pub host_order_pause: Duration,
    /// Decisions on workspaces and pools that compete for capacity.
    pub sharing: SharingModes,
    /// Processor time that the process may use, in cores.
    pub processor_share: f64,
    /// Speed of the processor relative to a standard core.
    pub processor_speed: f64,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: f64,
    /// Bandwidth of the host's network link, in megabits per second.
    pub link_mbps: f64,
    /// Minimum severity of logged events.
    pub log_level: log::LevelFilter,
}

impl Default for CellSettings {
    fn default() -> Self {
        Self {
            member: MemberId::default(),
            data_centre: DataCentreId::default(),
            caller_address: String::new(),
            ready_address: String::new(),
            peer_address: String::new(),
            metrics_address: String::new(),
            store_address: String::new(),
            control_address: String::new(),
            advice_address: String::new(),
            task_lease: Duration::from_secs(6),
            host_order_pause: Duration::from_secs(3),
            sharing: SharingModes::default(),
            processor_share: 1.0,
            processor_speed: 1.0,
            memory_mb: 1024.0,
            link_mbps: 1000.0,
            log_level: log::LevelFilter::Info,
        }
    }
}

type CellRule = KeyRule<CellSettings>;

const ENTRY_RULES: &[CellRule] = &[
    KeyRule::required(
        "member",
        KeyField::Name(|settings| &mut settings.member),
        "Own id, unique among the processes of the system.",
    ),
    KeyRule::required(
        "data_centre",
        KeyField::Name(|settings| &mut settings.data_centre),
        "Data centre of this process.",
    ),
    KeyRule::required(
        "address",
        KeyField::Address(|settings| &mut settings.caller_address),
        "Address on which callers are answered.",
    ),
    KeyRule::required(
        "ready_address",
        KeyField::Address(|settings| &mut settings.ready_address),
        "Address on which the balancer asks whether callers may be sent here.",
    ),
    KeyRule::required(
        "peer_address",
        KeyField::Address(|settings| &mut settings.peer_address),
        "Address on which the other processes of the system are answered.",
    ),
    KeyRule::required(
        "metrics_address",
        KeyField::Address(|settings| &mut settings.metrics_address),
        "Address on which metrics are served, on any path.",
    ),
];

const PLATFORM_RULES: &[CellRule] = &[
    KeyRule::required(
        "store_address",
        KeyField::Address(|settings| &mut settings.store_address),
        "Address of the platform's store.",
    ),
    KeyRule::required(
        "control_address",
        KeyField::Address(|settings| &mut settings.control_address),
        "Address of the control of the fleet's hosts.",
    ),
    KeyRule::optional(
        "advice_address",
        KeyField::Address(|settings| &mut settings.advice_address),
        "Address of the service that says which targets may run a step; left out where no queue needs it.",
    ),
];

const TIME_RULES: &[CellRule] = &[
    KeyRule::optional(
        "task_lease",
        KeyField::Duration(
            Duration::from_secs(1)..=Duration::from_secs(600),
            |settings| &mut settings.task_lease,
        ),
        "Longest time for which a target lets tasks run without a renewal; the platform sets it.",
    ),
    KeyRule::optional(
        "host_order_pause",
        KeyField::Duration(
            Duration::from_millis(100)..=Duration::from_secs(60),
            |settings| &mut settings.host_order_pause,
        ),
        "A new owner leaves a host alone for this long after its predecessor ordered it, so that their orders can't cross.",
    ),
];

const LIMIT_RULES: &[CellRule] = &[
    KeyRule::optional(
        "processor_share",
        KeyField::Amount(0.001..=1024.0, |settings| &mut settings.processor_share),
        "Part of a processor that the process may use, in cores; strong processes become the owner first.",
    ),
    KeyRule::optional(
        "processor_speed",
        KeyField::Amount(0.001..=1024.0, |settings| &mut settings.processor_speed),
        "How many times as fast as a usual core the processor is.",
    ),
    KeyRule::optional(
        "memory_mb",
        KeyField::Amount(1.0..=1_048_576.0, |settings| &mut settings.memory_mb),
        "Memory that the process may use, in megabytes.",
    ),
    KeyRule::optional(
        "link_mbps",
        KeyField::Amount(0.001..=1_000_000.0, |settings| &mut settings.link_mbps),
        "Bandwidth of the host's link, in megabits a second.",
    ),
];

const SHARING_RULES: &[CellRule] = &[
    KeyRule::optional(
        "work_admission",
        KeyField::Flag(|settings| &mut settings.sharing.work_admission),
        "Admits jobs by the work that waits for their pool's cores and by their workspace's share, not by the rate of recent starts.",
    ),
    KeyRule::optional(
        "fair_order",
        KeyField::Flag(|settings| &mut settings.sharing.fair_order),
        "The workspaces of a pool take turns at starting tasks of the same urgency, in proportion to their weights.",
    ),
    KeyRule::optional(
        "fair_division",
        KeyField::Flag(|settings| &mut settings.sharing.fair_division),
        "While the pools want more hosts than there are, divides the fleet by work that can still be on time or a little late, and moves busy hosts from pools above their part.",
    ),
];

const LOG_RULES: &[CellRule] = &[KeyRule::optional(
    "level",
    KeyField::Level(|settings| &mut settings.log_level),
    "Least severe events that are logged, on standard output.",
)];

const SECTIONS: &[(&str, &[CellRule])] = &[
    ("entry", ENTRY_RULES),
    ("platform", PLATFORM_RULES),
    ("times", TIME_RULES),
    ("sharing", SHARING_RULES),
    ("limits", LIMIT_RULES),
    ("log", LOG_RULES),
];

impl CellSettings {
    /// Parses and checks settings, see `docs/SETTINGS.md`.
    ///
    /// # Errors
    /// The first error: a missing, unknown or repeated key, or a value out of range.
    pub fn from_ini(text: &str) -> Result<Self, TextError> {
        Ok(read_settings(text, SECTIONS)?.0)
    }

    /// Returns all settings, for the docs.
    pub fn keys() -> Vec<KeyInfo> {
        SECTIONS
            .iter()
            .flat_map(|(section, rules)| rules.iter().map(|rule| rule.info(section)))
            .collect()
    }
}
