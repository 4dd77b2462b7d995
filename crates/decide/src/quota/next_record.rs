//! Chooses the record that an entry host writes next for a team.

use model::{BootTime, MemberId, TeamId};
use wire::{peer::QuotaAsk, state::QuotaRecord};

use super::{
    QuotaAction, QuotaMachine, QuotaMutation,
    grant_record::{adopt_limit, free_units, granted_sum, set_units, units_of},
    team::TeamQuota,
};

/// Age at which an unclaimed release is voided by a new write, in units of the ask interval.
const RELEASE_TIMEOUT: u32 = 10;

/// Divisor of the slack requested beyond the need: a 32nd of the limit, or an eighth of the need if
/// that is more. Without slack, a rising need would cost one write per unit.
const SLACK_DIVISOR: u32 = 32;

impl QuotaMachine {
    /// The record to write for a team, or `None` if there is nothing to change.
    pub(super) fn next_record(
        &mut self,
        name: &TeamId,
        now: BootTime,
        actions: &mut Vec<QuotaAction>,
    ) -> Option<QuotaRecord> {
        let (own, incarnation) = (self.own.clone(), self.incarnation);
        let quota = self.teams.get(name)?;
        let mut record = quota.record.clone();
        if self.is_leaving && quota.need() == 0 && quota.granted(&own, incarnation) > 0 {
            set_units(&mut record, &own, incarnation, 0, 0);
            return Some(record);
        }
        if quota.version == 0 {
            let is_wanted = quota.need() > 0 && quota.limit.limit > 0;
            return is_wanted.then(|| self.initial_record(name, quota));
        }
        self.reclaim_ended(&mut record, now);
        if quota.record_lags_limit() {
            let is_settled = self.apply_limit(quota, &mut record);
            let gives_up = units_of(&record, &own, incarnation) < quota.granted(&own, incarnation);
            if !is_settled || quota.need() == 0 {
                return gives_up.then_some(record);
            }
        }
        self.raised_record(name, record, now, actions)
    }

    /// Applies the limit in force to the record; false if the grants don't fit into it yet. In that
    /// case this host keeps only the units of running work.
    fn apply_limit(&self, quota: &TeamQuota, record: &mut QuotaRecord) -> bool {
        if granted_sum(record) > quota.limit.limit {
            let held = units_of(record, &self.own, self.incarnation);
            let kept = quota.running.min(held);
            set_units(record, &self.own, self.incarnation, kept, 0);
        }
        adopt_limit(record, quota.limit, quota.config_revision);
        record.config_revision >= quota.limit.since
    }

    /// The record with more units for this host: free ones, those of incarnations that ended long
    /// ago, and those that other hosts released.
    fn raised_record(
        &mut self,
        name: &TeamId,
        mut record: QuotaRecord,
        now: BootTime,
        actions: &mut Vec<QuotaAction>,
    ) -> Option<QuotaRecord> {
        let quota = self.teams.get(name)?;
        let follows_limit = record.config_revision > quota.record.config_revision;
        let held = units_of(&record, &self.own, self.incarnation);
        let reserved = quota.release.as_ref().map_or(0, |release| release.units);
        let usable = held.saturating_sub(reserved);
        let is_needed = quota.need() > usable && quota.limit.limit > 0;
        if let Some(release) = &quota.release {
            // Unclaimed, but needed here or by another host: writing the same record again voids
            // it.
            let timeout = self.options.ask_interval * RELEASE_TIMEOUT;
            let is_unclaimed = now.saturating_sub(release.since) > timeout;
            let is_requested_elsewhere = quota
                .current_ask(now)
                .is_some_and(|pending| pending.from != release.to);
            let is_voided = is_unclaimed && (is_needed || is_requested_elsewhere);
            return (is_voided || follows_limit).then_some(record);
        }
        if !is_needed {
            return follows_limit.then_some(record);
        }
        let slack = quota.limit.limit.max(quota.need().saturating_mul(4)) / SLACK_DIVISOR;
        let slack = slack.max(1);
        let mut wanted = (quota.need() - usable).saturating_add(slack);
        let mut taken = wanted.min(free_units(&record));
        wanted -= taken;
        if wanted > 0 && self.has_collected_offers(name, now) {
            taken += self.take_offers(name, wanted, &mut record);
        }
        if taken == 0 {
            self.ask_others(name, wanted, now, actions);
            return follows_limit.then_some(record);
        }
        let revision = self.list.revision();
        set_units(
            &mut record,
            &self.own,
            self.incarnation,
            held + taken,
            revision,
        );
        Some(record)
    }

    /// The first record of a team: equal parts for all members, the remainder for this host.
    fn initial_record(&self, name: &TeamId, quota: &TeamQuota) -> QuotaRecord {
        let members = self.list.members();
        let revision = self.list.revision();
        let count = u32::try_from(members.len()).unwrap_or(u32::MAX).max(1);
        let mut record = QuotaRecord {
            team: name.to_string(),
            limit: quota.limit.limit,
            config_revision: quota.config_revision,
            grants: Vec::new(),
        };
        for member in members {
            let units = quota.limit.limit / count;
            set_units(&mut record, &member.id, member.incarnation, units, revision);
        }
        let remainder = free_units(&record);
        let held = units_of(&record, &self.own, self.incarnation);
        set_units(
            &mut record,
            &self.own,
            self.incarnation,
            held + remainder,
            revision,
        );
        record
    }

    /// Removes the grants of incarnations that ended so long ago that none of their work can still
    /// run.
    fn reclaim_ended(&self, record: &mut QuotaRecord, now: BootTime) {
        record.grants.retain(|grant| {
            let after = self.options.reclaim_grant_after(grant);
            let key = (MemberId::from(grant.member.as_str()), grant.incarnation);
            let is_listed = self.list.contains(&grant.member, grant.incarnation);
            let ended_at = self.ended.get(&key).filter(|_| !is_listed);
            ended_at.is_none_or(|at| now.saturating_sub(*at) < after)
        });
    }

    /// True once all hosts answered the last request, or the collection time has passed.
    fn has_collected_offers(&self, name: &TeamId, now: BootTime) -> bool {
        self.teams.get(name).is_some_and(|quota| {
            let Some(asked_at) = quota.asked_at else {
                return false;
            };
            let answered = quota.offers.len() >= quota.asked_count;
            let waited = now.saturating_sub(asked_at) >= self.options.collect;
            (answered || waited) && quota.offers.values().any(|(_, _, units)| *units > 0)
        })
    }

    fn take_offers(&mut self, name: &TeamId, wanted: u32, record: &mut QuotaRecord) -> u32 {
        let mutation = self.options.mutation;
        let Some(quota) = self.teams.get_mut(name) else {
            return 0;
        };
        let mut taken = 0;
        for (member, (incarnation, version, units)) in std::mem::take(&mut quota.offers) {
            if version != quota.version && mutation != QuotaMutation::IgnoreVersion {
                continue;
            }
            let held = units_of(record, &member, incarnation);
            let part = units.min(wanted - taken).min(held);
            set_units(record, &member, incarnation, held - part, 0);
            taken += part;
        }
        taken
    }

    fn ask_others(
        &mut self,
        name: &TeamId,
        wanted: u32,
        now: BootTime,
        actions: &mut Vec<QuotaAction>,
    ) {
        let (own, incarnation, options) = (self.own.clone(), self.incarnation, self.options);
        let Some(quota) = self.teams.get_mut(name) else {
            return;
        };
        let interval = quota.ask_interval.max(options.ask_interval);
        if quota.asked_at.is_some_and(|at| now < at + interval) || !self.asks.take(now) {
            return;
        }
        if quota.asked_at.is_some() {
            quota.ask_interval = (interval * 2).min(options.ask_interval_max);
        }
        quota.offers.clear();
        quota.asked_at = Some(now);
        quota.asked_count = 0;
        let ceiling = quota.ceiling(&own, incarnation, options.mutation);
        for grant in &quota.record.grants {
            let is_other = grant.member != own.as_str();
            if !is_other || !self.list.contains(&grant.member, grant.incarnation) {
                continue;
            }
            quota.asked_count += 1;
            let ask = QuotaAsk {
                team: name.to_string(),
                version: quota.version,
                units: wanted.min(grant.units),
                need: quota.need(),
                ceiling,
            };
            let to = MemberId::from(grant.member.as_str());
            actions.push(QuotaAction::Ask(to, ask));
        }
    }
}
