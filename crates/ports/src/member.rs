use std::sync::Arc;

use model::{DataCentreId, Incarnation, MemberId};

/// An entry host in the member list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberInfo {
    /// Id of the entry host.
    pub member: MemberId,
    /// Incarnation: each start of the member has a larger number.
    pub incarnation: Incarnation,
    /// Address for callers, as `ip:port`.
    pub caller_address: String,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// True for this host itself, and for others that sent a message within the last lease length.
    pub reachable: bool,
    /// True while the host shuts down gracefully.
    pub leaving: bool,
}

/// Gives access to the member list.
///
/// The list decides which host brokers a pool or plans a shard. Two hosts may see different lists
/// for a while, so two of them may hold the same role at once. Everything decided from the list
/// must be safe in that case.
pub trait MemberSource: Send + Sync {
    /// Id of this host.
    fn own_id(&self) -> MemberId;
    /// Incarnation of this host.
    fn own_incarnation(&self) -> Incarnation;
    /// The latest known member list, including this host.
    fn members(&self) -> Arc<Vec<MemberInfo>>;
}
