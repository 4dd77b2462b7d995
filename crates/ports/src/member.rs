use std::sync::Arc;

use model::{DataCentreId, Incarnation, MemberId};

/// One entry host of the member list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberInfo {
    /// Its id.
    pub member: MemberId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Address at which callers reach it, as `ip:port`.
    pub caller_address: String,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// True for this host itself, and for others heard within a lease length.
    pub reachable: bool,
    /// True while it shuts down gracefully.
    pub leaving: bool,
}

/// Where the other areas learn which entry hosts there are.
///
/// The list decides who brokers a pool or plans a shard. Two hosts may see different
/// lists for a while, so whatever follows from it must be safe under two holders.
pub trait MemberSource: Send + Sync {
    /// Own id.
    fn own_id(&self) -> MemberId;
    /// Which life of this host this is.
    fn own_incarnation(&self) -> Incarnation;
    /// The member list as last seen, this host included.
    fn members(&self) -> Arc<Vec<MemberInfo>>;
}
