//! Operations on a team's record. None of them lets the sum of the grants exceed the limit.

use model::{Incarnation, Revision};
use wire::state::{QuotaGrant, QuotaRecord};

use super::TeamLimit;

/// Sum of the units of all grants.
pub(crate) fn granted_sum(record: &QuotaRecord) -> u32 {
    let units = record.grants.iter().map(|grant| grant.units);
    units.fold(0, u32::saturating_add)
}

/// Units that are not granted to any host.
pub(crate) fn free_units(record: &QuotaRecord) -> u32 {
    record.limit.saturating_sub(granted_sum(record))
}

/// Units granted to one incarnation of a member.
pub(crate) fn units_of(record: &QuotaRecord, member: &str, incarnation: Incarnation) -> u32 {
    grant_of(record, member, incarnation).map_or(0, |grant| grant.units)
}

/// Sets the units of one incarnation, which the member list names at `revision`. Zero units remove
/// the grant.
pub(crate) fn set_units(
    record: &mut QuotaRecord,
    member: &str,
    incarnation: Incarnation,
    units: u32,
    revision: Revision,
) {
    if units == 0 {
        let is_other = |grant: &QuotaGrant| !matches_holder(grant, member, incarnation);
        record.grants.retain(is_other);
        return;
    }
    if let Some(grant) = grant_mut(record, member, incarnation) {
        grant.units = units;
        return;
    }
    record.grants.push(QuotaGrant {
        member: member.to_owned(),
        incarnation,
        units,
        member_revision: revision,
        longest_ms: 0,
    });
    record.grants.sort_by(|a, b| a.member.cmp(&b.member));
}

/// Longest run time of work under the grant of one incarnation, in milliseconds. 0 stands for the
/// general maximum; `None` means no grant.
pub(crate) fn max_run_ms(
    record: &QuotaRecord,
    member: &str,
    incarnation: Incarnation,
) -> Option<u64> {
    grant_of(record, member, incarnation).map(|grant| grant.longest_ms)
}

/// Sets the longest run time of work under the grant of one incarnation; true if that changes it.
pub(crate) fn set_max_run_ms(
    record: &mut QuotaRecord,
    member: &str,
    incarnation: Incarnation,
    longest_ms: u64,
) -> bool {
    let grant = grant_mut(record, member, incarnation);
    let Some(grant) = grant.filter(|grant| grant.longest_ms != longest_ms) else {
        return false;
    };
    grant.longest_ms = longest_ms;
    true
}

/// Adopts the limit of the configuration at `revision` once the grants fit into it.
pub(crate) fn adopt_limit(record: &mut QuotaRecord, limit: TeamLimit, revision: Revision) {
    let is_new = record.config_revision < limit.since;
    if is_new && granted_sum(record) <= limit.limit {
        record.limit = limit.limit;
        record.config_revision = revision;
    }
}

/// True if the grants add up to no more than the limit.
pub(crate) fn is_within_limit(record: &QuotaRecord) -> bool {
    let units = record.grants.iter().map(|grant| u64::from(grant.units));
    units.sum::<u64>() <= u64::from(record.limit)
}

fn grant_of<'a>(
    record: &'a QuotaRecord,
    member: &str,
    incarnation: Incarnation,
) -> Option<&'a QuotaGrant> {
    let mut grants = record.grants.iter();
    grants.find(|grant| matches_holder(grant, member, incarnation))
}

fn grant_mut<'a>(
    record: &'a mut QuotaRecord,
    member: &str,
    incarnation: Incarnation,
) -> Option<&'a mut QuotaGrant> {
    let mut grants = record.grants.iter_mut();
    grants.find(|grant| matches_holder(grant, member, incarnation))
}

fn matches_holder(grant: &QuotaGrant, member: &str, incarnation: Incarnation) -> bool {
    grant.member == member && grant.incarnation == incarnation
}
