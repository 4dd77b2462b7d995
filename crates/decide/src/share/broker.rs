use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use model::{BootTime, HostId, MemberId, PoolId, TeamId};

use super::{
    ShareClaim, apportion, fair_split,
    holder_state::{HolderState, LoadState, TeamShare, adjust_offer},
    terms::{BrokerOptions, BrokerSwitch, HolderDemand, PoolOffer, SlotMap, TeamLoad},
};

// Maximum number of unconfirmed offers; a holder with this many gets no new ones.
const MAX_UNCONFIRMED_OFFERS: usize = 64;

/// Divides the slots of one pool among entry hosts, the holders.
///
/// A slot is offered to a holder only when no other holder may still use it: the other confirmed a
/// lower grant, or its lease and a guard time have passed. So the valid offers never add up to more
/// than a target's slots. See `docs/design/06-shares.md`.
#[derive(Debug)]
pub struct SlotBroker {
    pool: PoolId,
    options: BrokerOptions,
    recovering_until: BootTime,
    targets: SlotMap,
    weights: BTreeMap<TeamId, f64>,
    members: BTreeSet<MemberId>,
    holders: BTreeMap<MemberId, HolderState>,
    virtual_times: BTreeMap<TeamId, f64>,
    backlogged: BTreeSet<TeamId>,
    virtual_floor: f64,
    // Incremented on each change of anything that offers depend on.
    epoch: u64,
}

impl SlotBroker {
    /// Creates a broker at `now` that knows nothing of existing grants.
    pub fn new(pool: PoolId, now: BootTime, options: BrokerOptions) -> Self {
        Self {
            pool,
            options,
            recovering_until: now + options.lease + options.guard,
            targets: SlotMap::new(),
            weights: BTreeMap::new(),
            members: BTreeSet::new(),
            holders: BTreeMap::new(),
            virtual_times: BTreeMap::new(),
            backlogged: BTreeSet::new(),
            virtual_floor: 0.0,
            epoch: 1,
        }
    }

    /// The pool whose slots this broker divides.
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Replaces the targets that accept new work, with their slots.
    pub fn set_targets(&mut self, targets: SlotMap) {
        if self.targets != targets {
            self.targets = targets;
            self.epoch += 1;
        }
    }

    /// Replaces the weights of the teams.
    pub fn set_weights(&mut self, weights: BTreeMap<TeamId, f64>) {
        if self.weights != weights {
            self.weights = weights;
            self.epoch += 1;
        }
    }

    /// Replaces the member list. The recovery phase ends once all members have reported.
    pub fn set_members(&mut self, members: BTreeSet<MemberId>) {
        if self.members != members {
            self.members = members;
            self.epoch += 1;
        }
    }
}

/// Messages from holders.
impl SlotBroker {
    /// Handles a holder's first report of a session.
    pub fn open(&mut self, now: BootTime, holder: &MemberId, round: u64, demand: HolderDemand) {
        // The slots that the holder brings along count as used until it confirms an offer of this
        // session. A later report that omits them does not prove that it stopped using them.
        let offers = VecDeque::from([(0, demand.held.clone())]);
        let state = HolderState {
            last_report_at: now,
            round,
            offers,
            ..HolderState::default()
        };
        self.holders.insert(holder.clone(), state);
        self.update_load(holder, demand);
    }

    /// Handles the demand of `round`, which names the newest round whose grant the holder applied.
    ///
    /// False for an unknown holder and for a demand that a later one overtook. A holder drops
    /// grants older than its newest one, so after a reply out of order the broker would count an
    /// offer that the holder never applies.
    pub fn confirm(&mut self, now: BootTime, holder: &MemberId, round: u64, applied: u64) -> bool {
        let Some(state) = self.holders.get_mut(holder) else {
            return false;
        };
        if state.closed || round <= state.round {
            return false;
        }
        state.round = round;
        state.last_report_at = now;
        while let Some((round, _)) = state.offers.get(1)
            && *round <= applied
        {
            state.offers.pop_front();
            self.epoch += 1;
        }
        if state.decay_demand() {
            self.epoch += 1;
        }
        true
    }

    /// Marks that the holder began a session without this pool.
    ///
    /// It sends no more demand for the pool but may use its grant until that expires, so its slots
    /// stay counted.
    pub fn close(&mut self, holder: &MemberId) {
        if let Some(state) = self.holders.get_mut(holder) {
            state.closed = true;
        }
    }

    /// Replaces a holder's load.
    pub fn update_load(&mut self, holder: &MemberId, demand: HolderDemand) {
        let Some(state) = self.holders.get_mut(holder) else {
            return;
        };
        self.epoch += 1;
        state.held = demand.held;
        let mut used_by_team = Vec::new();
        let mut loads = BTreeMap::new();
        for load in demand.teams {
            let last = state.loads.remove(&load.team).unwrap_or_default();
            used_by_team.push((load.team.clone(), load.used.saturating_sub(last.used)));
            loads.insert(load.team.clone(), LoadState::next(&load, &last));
        }
        // A team missing from the report has no load; its used time is kept.
        for (team, last) in std::mem::take(&mut state.loads) {
            let load = TeamLoad {
                team: team.clone(),
                used: last.used,
                ..TeamLoad::default()
            };
            loads.insert(team, LoadState::next(&load, &last));
        }
        state.loads = loads;
        for (team, used) in used_by_team {
            self.charge(&team, used);
        }
        self.update_backlog();
    }

    /// Removes holders that were unresponsive for a lease and a guard time.
    ///
    /// A holder's lease counts from when it sent its demand, so it stopped using the slots before
    /// this.
    pub fn expire_holders(&mut self, now: BootTime) {
        let limit = self.options.lease + self.options.guard;
        self.holders
            .retain(|_, state| now < state.last_report_at + limit);
    }
}

/// Offers to holders.
impl SlotBroker {
    /// The offer to `holder` in `round`; `None` for an unknown or closed holder, or one with too
    /// many unconfirmed offers.
    pub fn offer(&mut self, now: BootTime, holder: &MemberId, round: u64) -> Option<PoolOffer> {
        let shares = self.team_shares();
        let wanted = self.entitled_slots(holder, &shares);
        let headroom = self.headroom(now, holder);
        let state = self.holders.get_mut(holder)?;
        if state.closed || MAX_UNCONFIRMED_OFFERS <= state.offers.len() {
            return None;
        }
        state.offered_epoch = self.epoch;
        let (_, last) = state.offers.back()?;
        let next = adjust_offer(last, wanted, &headroom);
        // The first offer of a session is recorded even if it changes nothing: it renews the slots
        // that the holder brought along.
        if *last != next || state.has_made_no_offer() {
            state.offers.push_back((round, next.clone()));
        }
        Some(PoolOffer {
            targets: next,
            teams: self.team_allotments(holder, &shares),
        })
    }

    /// True if an offer to `holder` could differ from the last one made to it.
    pub fn offer_may_change(&self, now: BootTime, holder: &MemberId) -> bool {
        let Some(state) = self.holders.get(holder) else {
            return false;
        };
        state.offered_epoch < self.epoch || self.is_recovering(now)
    }

    /// True if the last offer to `holder` was made after round `applied`.
    pub fn has_unconfirmed_offer(&self, holder: &MemberId, applied: u64) -> bool {
        let last = self
            .holders
            .get(holder)
            .and_then(|state| state.offers.back());
        last.is_some_and(|(round, _)| applied < *round)
    }

    /// True if requests are queued at the holder, which then needs the teams' virtual times.
    pub fn is_backlogged(&self, holder: &MemberId) -> bool {
        let state = self.holders.get(holder);
        state.is_some_and(|state| state.loads.values().any(|load| 0 < load.queued))
    }

    /// Holders other than `holder` that were offered more than their present share.
    ///
    /// They return slots only with their next demand, and an idle holder sends that rarely.
    pub fn holders_above_share(&self, holder: &MemberId) -> Vec<MemberId> {
        let shares = self.team_shares();
        let offered = |state: &HolderState| -> u32 {
            let last = state.offers.back();
            last.map_or(0, |(_, targets)| targets.values().sum())
        };
        let others = self.holders.iter().filter(|(id, _)| *id != holder);
        others
            .filter(|(id, state)| self.entitled_slots(id, &shares) < offered(state))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// True if the holder has an open session.
    pub fn has_session(&self, holder: &MemberId) -> bool {
        self.holders.get(holder).is_some_and(|state| !state.closed)
    }

    /// Slots of `target` that holders may use now; for checks.
    pub fn outstanding_slots(&self, target: &HostId) -> u32 {
        self.holders
            .values()
            .map(|state| state.outstanding(target, self.options.switch))
            .sum()
    }

    // Per team: total demand and fair share of slots across all holders.
    fn team_shares(&self) -> BTreeMap<TeamId, TeamShare> {
        let mut totals: BTreeMap<&TeamId, f64> = BTreeMap::new();
        for state in self.holders.values() {
            for (team, load) in &state.loads {
                *totals.entry(team).or_default() += load.demand;
            }
        }
        let claims: Vec<ShareClaim> = totals
            .iter()
            .map(|(team, &demand)| ShareClaim {
                weight: self.weight(team),
                demand,
            })
            .collect();
        let parts = fair_split(f64::from(self.capacity()), &claims);
        let rows = totals.into_iter().zip(parts);
        rows.map(|((team, demand), slots)| (team.clone(), TeamShare { demand, slots }))
            .collect()
    }

    fn entitled_slots(&self, holder: &MemberId, shares: &BTreeMap<TeamId, TeamShare>) -> u32 {
        let used: f64 = shares.values().map(|due| due.slots).sum();
        let unused = (f64::from(self.capacity()) - used).max(0.0);
        let unused_each = unused / self.holders.len().max(1) as f64;
        let parts: Vec<f64> = self
            .holders
            .values()
            .map(|state| {
                state
                    .team_slots(shares)
                    .map(|(_, slots)| slots)
                    .sum::<f64>()
                    + unused_each
            })
            .collect();
        let rounded = apportion(&parts, 0);
        let index = self.holders.keys().position(|other| other == holder);
        index.map_or(0, |index| rounded[index])
    }

    // Per target: the most that the holder may be offered beside what the others may use.
    fn headroom(&self, now: BootTime, holder: &MemberId) -> SlotMap {
        let cautious = self.is_recovering(now);
        let free = |target: &HostId, slots: u32| {
            let others: u32 = self
                .holders
                .iter()
                .filter(|(other, _)| *other != holder)
                .map(|(_, state)| state.outstanding(target, self.options.switch))
                .sum();
            let free_slots = slots.saturating_sub(others);
            if !cautious {
                return free_slots;
            }
            let own = self
                .holders
                .get(holder)
                .map(|state| state.outstanding(target, self.options.switch));
            free_slots.min(own.unwrap_or_default())
        };
        self.targets
            .iter()
            .map(|(target, &slots)| (target.clone(), free(target, slots)))
            .collect()
    }

    // A new broker does not know the grants of its predecessor. Until every member has reported its
    // slots, or all earlier grants have expired, an offer could assign a slot twice. So it only
    // renews what holders report.
    fn is_recovering(&self, now: BootTime) -> bool {
        if self.options.switch == BrokerSwitch::SkipCaution || self.recovering_until <= now {
            return false;
        }
        self.members.is_empty() || self.members.iter().any(|id| !self.holders.contains_key(id))
    }

    fn team_allotments(
        &self,
        holder: &MemberId,
        shares: &BTreeMap<TeamId, TeamShare>,
    ) -> Vec<(TeamId, u32, Duration)> {
        let Some(state) = self.holders.get(holder) else {
            return Vec::new();
        };
        let use_of = |(team, slots): (&TeamId, f64)| {
            let time = self
                .virtual_times
                .get(team)
                .copied()
                .unwrap_or(self.virtual_floor);
            (
                team.clone(),
                slots.round() as u32,
                Duration::from_secs_f64(time),
            )
        };
        state.team_slots(shares).map(use_of).collect()
    }
}

/// Virtual time of teams.
impl SlotBroker {
    fn charge(&mut self, team: &TeamId, used: Duration) {
        let weight = self.weight(team).max(f64::MIN_POSITIVE);
        let floor = self.virtual_floor;
        let time = self.virtual_times.entry(team.clone()).or_insert(floor);
        *time += used.as_secs_f64() / weight;
    }

    // A team that queues again after a pause starts at the level of the least served one. Otherwise
    // it could save up its unused time and then lock out the others.
    fn update_backlog(&mut self) {
        let queued: BTreeSet<TeamId> = self
            .holders
            .values()
            .flat_map(|state| state.loads.iter())
            .filter(|(_, load)| 0 < load.queued)
            .map(|(team, _)| team.clone())
            .collect();
        let steady = queued.intersection(&self.backlogged);
        let least = steady
            .filter_map(|team| self.virtual_times.get(team))
            .copied();
        let least = least.fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            self.virtual_floor = self.virtual_floor.max(least);
        }
        for team in queued.difference(&self.backlogged) {
            let time = self.virtual_times.entry(team.clone()).or_default();
            *time = time.max(self.virtual_floor);
        }
        self.backlogged = queued;
    }

    fn weight(&self, team: &TeamId) -> f64 {
        self.weights.get(team).copied().unwrap_or_default()
    }

    fn capacity(&self) -> u32 {
        self.targets.values().sum()
    }
}
