//! Operations on the record of a team: each keeps the sum of the grants within the limit.

use model::{Incarnation, Revision};
use wire::state::{QuotaGrant, QuotaRecord};

use super::TeamLimit;

/// Units of all grants.
pub(crate) fn granted_sum(record: &QuotaRecord) -> u32 {
    let units = record.grants.iter().map(|grant| grant.units);
    units.fold(0, u32::saturating_add)
}

/// Units that no one holds.
pub(crate) fn free_units(record: &QuotaRecord) -> u32 {
    record.limit.saturating_sub(granted_sum(record))
}

/// Units of one incarnation of a member.
pub(crate) fn units_of(record: &QuotaRecord, member: &str, incarnation: Incarnation) -> u32 {
    grant_of(record, member, incarnation).map_or(0, |grant| grant.units)
}

/// Sets the units of one incarnation, which the member list names at `revision`; zero removes its
/// grant.
pub(crate) fn set_units(
    record: &mut QuotaRecord,
    member: &str,
    incarnation: Incarnation,
    units: u32,
    revision: Revision,
) {
    if units == 0 {
        let is_other = |grant: &QuotaGrant| !is_of(grant, member, incarnation);
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

/// How long work may run under the grant of one incarnation, 0 for the longest; `None` without a grant.
pub(crate) fn max_run_ms(
    record: &QuotaRecord,
    member: &str,
    incarnation: Incarnation,
) -> Option<u64> {
    grant_of(record, member, incarnation).map(|grant| grant.longest_ms)
}

/// Sets how long work may run under the grant of one incarnation; true if that changes it.
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

/// Follows the limit of the configuration at `revision`, once the grants fit into it.
pub(crate) fn follow_limit(record: &mut QuotaRecord, limit: TeamLimit, revision: Revision) {
    let is_new = record.config_revision < limit.since;
    if is_new && granted_sum(record) <= limit.limit {
        record.limit = limit.limit;
        record.config_revision = revision;
    }
}

/// True if the record keeps its promise.
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
    grants.find(|grant| is_of(grant, member, incarnation))
}

fn grant_mut<'a>(
    record: &'a mut QuotaRecord,
    member: &str,
    incarnation: Incarnation,
) -> Option<&'a mut QuotaGrant> {
    let mut grants = record.grants.iter_mut();
    grants.find(|grant| is_of(grant, member, incarnation))
}

fn is_of(grant: &QuotaGrant, member: &str, incarnation: Incarnation) -> bool {
    grant.member == member && grant.incarnation == incarnation
}
