use decide::rendezvous;
use ports::MemberSource;

/// True if this entry host owns `duty`, by rendezvous hashing over the reachable members.
///
/// Members may disagree for a while, so a duty can have two owners or none. Owners write
/// by compare-and-swap, so two owners only duplicate work.
pub(crate) fn owns_duty(members: &dyn MemberSource, duty: &str) -> bool {
    let list = members.members();
    let reachable = list.iter().filter(|info| info.reachable && !info.leaving);
    rendezvous::duty_holder(duty, reachable.map(|info| &info.member)) == Some(&members.own_id())
}
