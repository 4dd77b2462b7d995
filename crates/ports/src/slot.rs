use std::sync::Arc;

use model::{BootTime, HostId, PoolId, TeamId};

/// Lease on slots of one pool for this entry host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlotLease {
    /// The pool.
    pub pool: PoolId,
    /// End of the lease on the boot clock. Its length counts from the sending of the demand.
    pub expires: BootTime,
    /// Slots on each target.
    pub targets: Vec<TargetSlots>,
    /// Usage of the pool by team, across all entry hosts.
    pub teams: Vec<TeamUse>,
}

/// Slots on one target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetSlots {
    /// The target.
    pub host: HostId,
    /// Number of requests that this entry host may have in flight to the target.
    pub slots: u32,
}

/// Usage of a pool by one team, across all entry hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamUse {
    /// The team.
    pub team: TeamId,
    /// Fair share of the team on this entry host while the pool is full, in slots.
    pub slots: u32,
    /// Virtual time: slot time used divided by the team's weight, in milliseconds.
    pub virtual_ms: u64,
}

/// Demand of this entry host on one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolId,
    /// Demand by team; teams without demand are omitted.
    pub teams: Vec<TeamDemand>,
    /// Requests in flight by target; targets without any are omitted.
    pub in_flight: Vec<TargetSlots>,
}

/// Demand of one team on a pool at this entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamId,
    /// Number of requests in flight to targets.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of queued requests that are urgent.
    pub urgent: u32,
    /// Slot time used since the last report, in milliseconds.
    pub used_ms: u64,
}

/// Leases slots to the entry queues.
pub trait SlotSource: Send + Sync {
    /// The current lease on `pool`. An expired or missing lease has no targets.
    fn lease(&self, pool: &PoolId) -> Arc<SlotLease>;
    /// Replaces the reported demand of this host on a pool.
    fn report(&self, demand: PoolDemand);
}
