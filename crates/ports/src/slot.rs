use std::sync::Arc;

use model::{BootTime, HostId, PoolId, TeamId};

/// Slots of one pool that this entry host may use until the lease expires.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlotLease {
    /// The pool.
    pub pool: PoolId,
    /// When the lease ends, on the boot clock; counted from when the demand was sent.
    pub expires: BootTime,
    /// Slots on each target.
    pub targets: Vec<TargetSlots>,
    /// Use of the pool by team across all entry hosts.
    pub teams: Vec<TeamUse>,
}

/// Slots of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetSlots {
    /// The target.
    pub host: HostId,
    /// Requests that this entry host may have in flight to it.
    pub slots: u32,
}

/// A team's use of a pool across all entry hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamUse {
    /// The team.
    pub team: TeamId,
    /// Slots that are due to the team on this entry host while the pool is full.
    pub slots: u32,
    /// Virtual time: slot time used over weight, in milliseconds.
    pub virtual_ms: u64,
}

/// What this entry host would use of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolId,
    /// Demand by team; teams without any are left out.
    pub teams: Vec<TeamDemand>,
    /// Requests in flight by target; targets without any are left out.
    pub in_flight: Vec<TargetSlots>,
}

/// One team's demand on a pool at this entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamId,
    /// Requests in flight to targets.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Queued requests that are urgent.
    pub urgent: u32,
    /// Slot time used since the last report, in milliseconds.
    pub used_ms: u64,
}

/// Where the entry queues learn which slots they may use.
pub trait SlotSource: Send + Sync {
    /// The lease now held on `pool`; an expired or missing one has no targets.
    fn lease(&self, pool: &PoolId) -> Arc<SlotLease>;
    /// Replaces what is known of this host's demand on a pool.
    fn report(&self, demand: PoolDemand);
}
