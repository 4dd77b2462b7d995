use std::time::Duration;

use model::{DataCentreId, HostId, HostRole, PoolId, RackId, ServiceId};
use wire::fleet::{HostPhase, HostRecord, OutCause};

/// Facts of a host from the host list, apart from whether it is leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostFacts {
    /// Listen address, as `ip:port`.
    pub address: String,
    /// What it can do.
    pub role: HostRole,
    /// For an executor, the service whose requests it answers.
    pub service: ServiceId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Rack of the host.
    pub rack: RackId,
    /// Processors.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

/// One host of the pool map.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostState {
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Whether it is in service, and if not, how far its return has progressed.
    pub phase: HostPhase,
    /// Why it is not in service; unspecified while it is.
    pub cause: OutCause,
    /// When the phase began, since the Unix epoch.
    pub since: Duration,
    /// When maintenance was last completed, since the Unix epoch; at first, when the host joined.
    pub maintained: Duration,
    /// Maintenances completed since it joined.
    pub maintenances: u32,
    /// Pool that it moves to; empty if it is not moving.
    pub next_pool: PoolId,
    /// Latest facts from the host list.
    pub facts: HostFacts,
}

impl HostState {
    /// Creates a host that belongs to `pool` and has yet to pass its health check.
    pub fn joining(pool: PoolId, facts: HostFacts, now: Duration) -> Self {
        Self {
            pool,
            phase: HostPhase::Checking,
            cause: OutCause::Joining,
            since: now,
            maintained: now,
            maintenances: 0,
            next_pool: PoolId::default(),
            facts,
        }
    }

    /// True if the host counts towards its pool's budget.
    pub fn in_service(&self) -> bool {
        self.phase == HostPhase::Serving
    }

    /// True if the host failed to return from maintenance.
    pub fn failed_return(&self) -> bool {
        matches!(self.phase, HostPhase::Lost | HostPhase::Retired)
            && self.cause == OutCause::Maintenance
    }

    /// True if it returned from maintenance after `time`.
    ///
    /// Hosts that joined recently are excluded: their join time is stored as their last
    /// maintenance, which is no evidence about reboots.
    pub fn returned_since(&self, time: Duration) -> bool {
        self.maintained > time && self.maintenances > 0
    }

    /// Its phase and when it entered it; unique among all phases of the host.
    pub fn phase_entry(&self) -> (HostPhase, Duration) {
        (self.phase, self.since)
    }

    /// The same host in another phase that begins at `now`.
    pub fn with_phase(&self, phase: HostPhase, cause: OutCause, now: Duration) -> Self {
        Self {
            phase,
            cause,
            since: now,
            ..self.clone()
        }
    }
}

impl HostState {
    /// Reads a stored record.
    pub fn from_record(record: &HostRecord) -> Self {
        Self {
            pool: record.pool.as_str().into(),
            phase: record.phase(),
            cause: record.cause(),
            since: Duration::from_millis(record.since_unix_ms),
            maintained: Duration::from_millis(record.maintained_unix_ms),
            maintenances: record.maintenances,
            next_pool: record.next_pool.as_str().into(),
            facts: HostFacts {
                address: record.address.clone(),
                role: if record.worker {
                    HostRole::Worker
                } else {
                    HostRole::Executor
                },
                service: record.service.as_str().into(),
                data_centre: record.data_centre.as_str().into(),
                rack: record.rack.as_str().into(),
                cores: record.cores,
                memory_mb: record.memory_mb,
                accelerators: record.accelerators,
            },
        }
    }

    /// The record to store for this host.
    pub fn to_record(&self, host: &HostId) -> HostRecord {
        HostRecord {
            host: host.to_string(),
            pool: self.pool.to_string(),
            phase: self.phase.into(),
            since_unix_ms: whole_millis(self.since),
            maintained_unix_ms: whole_millis(self.maintained),
            maintenances: self.maintenances,
            rack: self.facts.rack.to_string(),
            data_centre: self.facts.data_centre.to_string(),
            next_pool: self.next_pool.to_string(),
            cause: self.cause.into(),
            address: self.facts.address.clone(),
            worker: self.facts.role == HostRole::Worker,
            service: self.facts.service.to_string(),
            cores: self.facts.cores,
            memory_mb: self.facts.memory_mb,
            accelerators: self.facts.accelerators,
        }
    }
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
