use model::MemberId;
use ports::MemberSource;

/// Which entry host has a duty now, by rendezvous hashing over those that are heard.
///
/// Hosts may disagree for a while, and then a duty has two owners or none. What an owner
/// writes is guarded by compare-and-swap, so two waste work and break nothing.
pub(crate) fn duty_owner(members: &dyn MemberSource, duty: &str) -> Option<MemberId> {
    members
        .members()
        .iter()
        .filter(|info| info.heard && !info.leaving)
        .max_by_key(|info| (rendezvous_weight(duty, &info.member), info.member.clone()))
        .map(|info| info.member.clone())
}

/// True if this entry host has the duty.
pub(crate) fn owns_duty(members: &dyn MemberSource, duty: &str) -> bool {
    duty_owner(members, duty) == Some(members.own_id())
}

/// FNV-1a with a final mix; the same on every build, unlike the standard library's hasher.
fn rendezvous_weight(duty: &str, member: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = duty.bytes().chain([0]).chain(member.bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
