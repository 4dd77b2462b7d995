//! Rendezvous hashing: which member holds a duty.
//!
//! Each member scores each duty, and the highest score holds it. When a member comes or
//! goes, only its own duties move. The hash is fixed, so that all versions agree.

use model::MemberId;

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The member that holds the duty named `duty`; `None` without members.
pub fn holder<'a>(
    duty: &str,
    members: impl IntoIterator<Item = &'a MemberId>,
) -> Option<&'a MemberId> {
    members
        .into_iter()
        .max_by_key(|member| (score(duty, member), *member))
}

/// How much a member is preferred for a duty; the highest score holds it.
pub fn score(duty: &str, member: &str) -> u64 {
    let mut hash = OFFSET_BASIS;
    for byte in duty.bytes().chain([0]).chain(member.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    mix(hash)
}

// FNV alone leaves the scores of similar names correlated; this spreads them.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
