use std::{collections::BTreeMap, time::Duration};

use model::{HostId, TeamId};

/// Slots by target.
pub type SlotMap = BTreeMap<HostId, u32>;

/// Times of a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokerOptions {
    /// How long a holder may use a grant, counted from when it sent its demand.
    pub lease: Duration,
    /// Added to the lease before slots of an unresponsive holder are given to others.
    pub guard: Duration,
    /// The guard that a test disables to show that its checker notices.
    pub switch: BrokerSwitch,
}

/// A guard that a test can disable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BrokerSwitch {
    /// All guards are enabled.
    #[default]
    None,
    /// Slots are offered again before their holder confirmed the lower grant.
    SkipConfirm,
    /// A new broker offers slots before it knows the grants of its predecessor.
    SkipCaution,
}

impl Default for BrokerOptions {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            guard: Duration::from_millis(500),
            switch: BrokerSwitch::None,
        }
    }
}

/// One team's load on a pool at one entry host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamLoad {
    /// The team.
    pub team: TeamId,
    /// Requests in flight to targets.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Slot time used since the session began.
    pub used: Duration,
}

/// Report of one entry host on one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HolderDemand {
    /// Load by team; replaces the last report.
    pub teams: Vec<TeamLoad>,
    /// Slots that the holder occupies beyond its grant, or holds from an earlier broker.
    pub held: SlotMap,
}

/// Slots of one pool that one entry host may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolOffer {
    /// Slots by target.
    pub targets: SlotMap,
    /// Slots due to each team on this entry host, and the team's virtual time.
    pub teams: Vec<(TeamId, u32, Duration)>,
}
