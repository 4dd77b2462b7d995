//! Rendezvous hashing: assigns duties, which are named pieces of work, to members.
//!
//! Each member has a score for each duty, and the member with the highest score holds it. When a
//! member joins or leaves, only its own duties move. The hash function is fixed, so that all
//! versions agree.

use model::MemberId;

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The member that holds the duty named `duty`; `None` without members.
pub fn duty_holder<'a>(
    duty: &str,
    members: impl IntoIterator<Item = &'a MemberId>,
) -> Option<&'a MemberId> {
    members
        .into_iter()
        .max_by_key(|member| (score(duty, member), *member))
}

/// Score of a member for a duty; the highest score holds the duty.
pub fn score(duty: &str, member: &str) -> u64 {
    let mut hash = OFFSET_BASIS;
    for byte in duty.bytes().chain([0]).chain(member.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    mix(hash)
}

// FNV alone leaves the scores of similar names correlated; this step removes the correlation.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
