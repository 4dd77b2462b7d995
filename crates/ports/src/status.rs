use model::{HostId, Incarnation, MemberId, PoolId, Revision, TeamId};
use serde::{Deserialize, Serialize};

/// Status of an entry host, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the entry host.
    pub member: MemberId,
    /// Incarnation: each start of the member has a larger number.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force on the host.
    pub config_revision: Revision,
    /// True if the host sent a message within the last lease length.
    #[serde(rename = "heard")]
    pub reachable: bool,
    /// True while the host shuts down gracefully.
    pub leaving: bool,
}

/// Status of a target host, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Id of the target host.
    pub host: HostId,
    /// Pool of the host.
    pub pool: PoolId,
    /// Phase, in kebab case: serving, draining, rebooting, checking, lost, retired, quarantined.
    pub phase: String,
    /// Number of requests and tasks that this entry host runs on the target.
    pub running: u32,
}

/// Status of a team, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Id of the team.
    pub team: TeamId,
    /// Weight of the team while the fleet is full.
    pub share: u32,
    /// Upper limit, in units that run at once.
    pub limit: u32,
    /// Units of the limit granted to this entry host.
    pub granted: u32,
    /// Units in use on this entry host.
    pub running: u32,
}

/// Status of one area of the system, for the administration interface.
pub trait StatusSource: Send + Sync {
    /// Entry hosts known to this area.
    fn members(&self) -> Vec<MemberStatus> {
        Vec::new()
    }
    /// Target hosts known to this area.
    fn hosts(&self) -> Vec<HostStatus> {
        Vec::new()
    }
    /// Teams known to this area.
    fn teams(&self) -> Vec<TeamStatus> {
        Vec::new()
    }
}
