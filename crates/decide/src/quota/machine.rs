use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, Incarnation, MemberId, Revision, TeamId};
use wire::state::QuotaRecord;

use super::{QuotaMutation, QuotaOptions, team::TeamQuota, token_bucket::TokenBucket};
use crate::member::MemberList;

/// Upper limit of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamLimit {
    /// Maximum number of units that the team may use across the fleet.
    pub limit: u32,
    /// Revision of the configuration that set the limit.
    pub since: Revision,
}

/// State machine that holds the quota grants of one entry host.
#[derive(Debug)]
pub struct QuotaMachine {
    pub(super) options: QuotaOptions,
    pub(super) own: MemberId,
    pub(super) incarnation: Incarnation,
    pub(super) config_revision: Revision,
    pub(super) list: MemberList,
    /// When incarnations that records still name were first found missing from a settled member
    /// list.
    pub(super) ended: BTreeMap<(MemberId, Incarnation), BootTime>,
    /// When ended incarnations were last reported to the other hosts.
    pub(super) ends_reported_at: Option<BootTime>,
    pub(super) teams: BTreeMap<TeamId, TeamQuota>,
    pub(super) writes: TokenBucket,
    pub(super) asks: TokenBucket,
    pub(super) is_leaving: bool,
}

impl QuotaMachine {
    /// Creates a machine without grants.
    #[must_use]
    pub fn new(options: QuotaOptions, own: MemberId, incarnation: Incarnation) -> Self {
        Self {
            options,
            own,
            incarnation,
            config_revision: 0,
            list: MemberList::default(),
            ended: BTreeMap::new(),
            ends_reported_at: None,
            teams: BTreeMap::new(),
            writes: TokenBucket::new(options.writes_per_second, options.write_burst),
            asks: TokenBucket::new(options.asks_per_second, options.ask_burst),
            is_leaving: false,
        }
    }

    /// Starts a new incarnation, which holds no grants. Running work still counts.
    pub fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        for team in self.teams.values_mut() {
            team.release = None;
            team.offers.clear();
            team.short_started = false;
        }
    }

    /// Applies the limits of the configuration at `revision`.
    pub fn set_limits(&mut self, revision: Revision, limits: &BTreeMap<TeamId, TeamLimit>) {
        if revision < self.config_revision {
            return;
        }
        self.config_revision = revision;
        for name in limits.keys() {
            self.teams.entry(name.clone()).or_default();
        }
        for (name, team) in &mut self.teams {
            let limit = limits.get(name).copied().unwrap_or(TeamLimit {
                limit: 0,
                since: if team.limit.limit == 0 {
                    team.limit.since
                } else {
                    revision
                },
            });
            // This host may hold a grant in a record that it never read. The team would wait
            // forever for that grant to be lowered, so read the record again.
            let had_limit = team.limit.limit > 0;
            team.read_due |= had_limit && limit.since > team.limit.since;
            team.limit = limit;
            team.config_revision = revision;
        }
        self.teams
            .retain(|_, team| team.limit.limit > 0 || team.running > 0 || team.record_known);
    }

    /// Applies a newer member list at `now`.
    ///
    /// An incarnation counts as ended only once a settled list lacks it. A quorum then holds that
    /// list, and the incarnation can't renew its serving lease from members that do not list it.
    pub fn set_members(&mut self, list: &MemberList, now: BootTime) {
        self.list = list.clone();
        self.mark_ended(now);
    }

    /// Starts returning unused grants.
    pub fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Takes one unit for work of any length, if a unit is free and the grant allows long work.
    pub fn try_take(&mut self, team: &TeamId) -> bool {
        self.try_take_for(team, Duration::MAX)
    }

    /// Takes one unit for work that ends within `length`.
    pub fn try_take_for(&mut self, team: &TeamId, length: Duration) -> bool {
        self.take_unit(team, self.is_long_work(length))
    }

    fn take_unit(&mut self, team: &TeamId, is_long: bool) -> bool {
        let (own, incarnation, mutation) = (&self.own, self.incarnation, self.options.mutation);
        let Some(quota) = self.teams.get_mut(team) else {
            return false;
        };
        if quota.running >= quota.ceiling(own, incarnation, mutation) {
            quota.start_refused = true;
            return false;
        }
        let allows =
            quota.allows_long_work(own, incarnation) || mutation == QuotaMutation::StartLong;
        if is_long && !allows {
            quota.start_refused = true;
            quota.long_waits = true;
            return false;
        }
        quota.long_running += u32::from(is_long);
        quota.short_started |= !is_long;
        quota.running += 1;
        true
    }

    /// True if work of this length counts as long when taking and returning units.
    pub fn is_long_work(&self, length: Duration) -> bool {
        self.options.short_deadline_ms() > 0 && length > self.options.short_deadline
    }

    /// Returns a unit that long work used.
    pub fn give_back_long(&mut self, team: &TeamId) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.long_running = quota.long_running.saturating_sub(1);
        }
        self.give_back(team);
    }

    /// Returns a unit that short work used.
    pub fn give_back(&mut self, team: &TeamId) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.running = quota.running.saturating_sub(1);
        }
    }

    /// Sets the number of starts that wait for a unit.
    pub fn set_waiting(&mut self, team: &TeamId, waiting: u32) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.waiting = waiting;
        }
    }

    /// Units that the team uses here, and units that it may use here.
    #[must_use]
    pub fn usage(&self, team: &TeamId) -> (u32, u32) {
        let mutation = self.options.mutation;
        self.teams.get(team).map_or((0, 0), |quota| {
            let ceiling = quota.ceiling(&self.own, self.incarnation, mutation);
            (quota.running, ceiling)
        })
    }

    /// Applies a record read from the store: version 0 and an empty record if it is absent.
    pub fn apply_read(
        &mut self,
        team: &TeamId,
        version: Revision,
        record: QuotaRecord,
        now: BootTime,
    ) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.read_due = false;
            quota.apply_record(version, record);
            self.mark_ended(now);
        }
    }

    /// Records incarnations that hold units but are missing from a settled list.
    ///
    /// A list older than the grant is ignored: the incarnation may have joined since, and its units
    /// would be given away while its work still runs.
    pub(super) fn mark_ended(&mut self, now: BootTime) {
        if !self.list.is_settled() {
            return;
        }
        for grant in self.teams.values().flat_map(|team| &team.record.grants) {
            let is_older = self.list.revision() < grant.member_revision;
            if is_older && self.options.mutation != QuotaMutation::TrustOldList {
                continue;
            }
            if !self.list.contains(&grant.member, grant.incarnation) {
                let key = (MemberId::from(grant.member.as_str()), grant.incarnation);
                self.ended.entry(key).or_insert(now);
            }
        }
    }
}
