use decide::rendezvous;
use ports::MemberSource;

/// True if this entry host has the duty now, by rendezvous hashing over those reachable.
///
/// Hosts may disagree for a while, and then a duty has two owners or none. What an owner
/// writes is guarded by compare-and-swap, so two waste work and break nothing.
pub(crate) fn owns_duty(members: &dyn MemberSource, duty: &str) -> bool {
    let list = members.members();
    let reachable = list.iter().filter(|info| info.reachable && !info.leaving);
    rendezvous::duty_holder(duty, reachable.map(|info| &info.member)) == Some(&members.own_id())
}
