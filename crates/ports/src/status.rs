use model::{HostId, Incarnation, MemberId, PoolId, Revision, TeamId};
use serde::{Deserialize, Serialize};

/// What an operator sees of an entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its id.
    pub member: MemberId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force there.
    pub config_revision: Revision,
    /// True if it was heard within a lease length.
    #[serde(rename = "heard")]
    pub reachable: bool,
    /// True while it shuts down gracefully.
    pub leaving: bool,
}

/// What an operator sees of a target host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Its id.
    pub host: HostId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Phase, in kebab case: serving, draining, rebooting, checking, lost, retired, quarantined.
    pub phase: String,
    /// Requests and tasks that this entry host runs there.
    pub running: u32,
}

/// What an operator sees of a team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Its id.
    pub team: TeamId,
    /// Weight when everything is full.
    pub share: u32,
    /// Upper limit.
    pub limit: u32,
    /// Units of the limit that this entry host holds.
    pub granted: u32,
    /// Units in use here.
    pub running: u32,
}

/// What the administration interface shows of one area.
pub trait StatusSource: Send + Sync {
    /// Entry hosts, as far as this area knows them.
    fn members(&self) -> Vec<MemberStatus> {
        Vec::new()
    }
    /// Target hosts, as far as this area knows them.
    fn hosts(&self) -> Vec<HostStatus> {
        Vec::new()
    }
    /// Teams, as far as this area knows them.
    fn teams(&self) -> Vec<TeamStatus> {
        Vec::new()
    }
}
