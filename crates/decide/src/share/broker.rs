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

// Offers that a holder has not confirmed; a holder this far behind gets no new ones.
const UNCONFIRMED_MAX: usize = 64;

/// Divides the slots of one pool among entry hosts.
///
/// A slot is offered to a holder only when no other holder may still believe in it: it
/// confirmed a lower grant, or its lease and a guard have passed. So the offers in force
/// never add up to more than a target's slots. See `docs/design/06-shares.md`.
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
    // Counts changes of anything that offers follow from.
    epoch: u64,
}

impl SlotBroker {
    /// A broker that begins at `now`, knowing nothing of what others hold.
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

    /// The pool.
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Replaces the targets that take new work and their slots.
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

    /// Replaces the member list, which ends the cautious phase once all have reported.
    pub fn set_members(&mut self, members: BTreeSet<MemberId>) {
        if self.members != members {
            self.members = members;
            self.epoch += 1;
        }
    }
}

/// What holders say.
impl SlotBroker {
    /// Takes a holder's first report of a session.
    pub fn open(&mut self, now: BootTime, holder: &MemberId, round: u64, demand: HolderDemand) {
        // What the holder brings along stays believed in until it confirms an offer of this
        // session; a later report without it does not mean that it let go.
        let offers = VecDeque::from([(0, demand.held.clone())]);
        let state = HolderState {
            last_report_at: now,
            round,
            offers,
            ..HolderState::default()
        };
        self.holders.insert(holder.clone(), state);
        self.report(holder, demand);
    }

    /// Takes the demand of `round` with the newest round whose grant the holder applied.
    ///
    /// False for an unknown holder, and for a demand that a later one overtook: the holder
    /// drops grants of rounds before its newest, so answering out of order would leave the
    /// broker believing in an offer that the holder never applies.
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

    /// Notes that the holder began a session without this pool.
    ///
    /// It no longer asks here, but may use what it was granted until that lapses, so its
    /// slots stay believed in.
    pub fn close(&mut self, holder: &MemberId) {
        if let Some(state) = self.holders.get_mut(holder) {
            state.closed = true;
        }
    }

    /// Replaces a holder's load.
    pub fn report(&mut self, holder: &MemberId, demand: HolderDemand) {
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
        // A team that is left out has no load; its used time stays known.
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

    /// Forgets holders that were silent for a lease and a guard.
    ///
    /// The holder's own clock ran from the sending of its demand, so it stopped using the
    /// slots before this.
    pub fn expire(&mut self, now: BootTime) {
        let limit = self.options.lease + self.options.guard;
        self.holders
            .retain(|_, state| now < state.last_report_at + limit);
    }
}

/// What the broker answers.
impl SlotBroker {
    /// The offer to `holder` in `round`; `None` for an unknown holder.
    pub fn offer(&mut self, now: BootTime, holder: &MemberId, round: u64) -> Option<PoolOffer> {
        let team_shares = self.team_shares();
        let wanted = self.entitled_slots(holder, &team_shares);
        let headroom = self.headroom(now, holder);
        let state = self.holders.get_mut(holder)?;
        if state.closed || UNCONFIRMED_MAX <= state.offers.len() {
            return None;
        }
        state.offered_epoch = self.epoch;
        let (_, last) = state.offers.back()?;
        let next = adjust_offer(last, wanted, &headroom);
        // The first offer of a session is told even if it changes nothing: it is what
        // renews the slots that the holder brought along.
        if *last != next || state.has_made_no_offer() {
            state.offers.push_back((round, next.clone()));
        }
        Some(PoolOffer {
            targets: next,
            teams: self.team_offers(holder, &team_shares),
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

    /// True if requests queue at the holder, which then needs the teams' virtual times.
    pub fn is_backlogged(&self, holder: &MemberId) -> bool {
        let state = self.holders.get(holder);
        state.is_some_and(|state| state.loads.values().any(|load| 0 < load.queued))
    }

    /// Holders other than `holder` that were offered more than they are due now.
    ///
    /// They give slots back only when they ask again, which an idle one does rarely.
    pub fn holders_above_share(&self, holder: &MemberId) -> Vec<MemberId> {
        let team_shares = self.team_shares();
        let offered = |state: &HolderState| -> u32 {
            let last = state.offers.back();
            last.map_or(0, |(_, targets)| targets.values().sum())
        };
        let others = self.holders.iter().filter(|(id, _)| *id != holder);
        others
            .filter(|(id, state)| self.entitled_slots(id, &team_shares) < offered(state))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// True if the holder has reported in its session.
    pub fn knows(&self, holder: &MemberId) -> bool {
        self.holders.get(holder).is_some_and(|state| !state.closed)
    }

    /// Slots of `target` that holders may believe in now; for checks.
    pub fn outstanding_slots(&self, target: &HostId) -> u32 {
        self.holders
            .values()
            .map(|state| state.outstanding(target, self.options.switch))
            .sum()
    }

    // Per team: the slots due across all holders.
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
        let team_shares = totals.into_iter().zip(parts);
        team_shares
            .map(|((team, demand), slots)| (team.clone(), TeamShare { demand, slots }))
            .collect()
    }

    fn entitled_slots(&self, holder: &MemberId, team_shares: &BTreeMap<TeamId, TeamShare>) -> u32 {
        let used: f64 = team_shares.values().map(|due| due.slots).sum();
        let spare = (f64::from(self.capacity()) - used).max(0.0);
        let spare_each = spare / self.holders.len().max(1) as f64;
        let parts: Vec<f64> = self
            .holders
            .values()
            .map(|state| {
                state
                    .share_by_team(team_shares)
                    .map(|(_, slots)| slots)
                    .sum::<f64>()
                    + spare_each
            })
            .collect();
        let whole = apportion(&parts, 0);
        let place = self.holders.keys().position(|other| other == holder);
        place.map_or(0, |place| whole[place])
    }

    // Per target: the most that the holder may be offered beside what others believe in.
    fn headroom(&self, now: BootTime, holder: &MemberId) -> SlotMap {
        let cautious = self.is_recovering(now);
        let free = |target: &HostId, slots: u32| {
            let others: u32 = self
                .holders
                .iter()
                .filter(|(other, _)| *other != holder)
                .map(|(_, state)| state.outstanding(target, self.options.switch))
                .sum();
            let room = slots.saturating_sub(others);
            if !cautious {
                return room;
            }
            let own = self
                .holders
                .get(holder)
                .map(|state| state.outstanding(target, self.options.switch));
            room.min(own.unwrap_or_default())
        };
        self.targets
            .iter()
            .map(|(target, &slots)| (target.clone(), free(target, slots)))
            .collect()
    }

    // A new broker does not know what holders were granted by the one before. Until every
    // member reported what it holds, or all grants from before have lapsed, an offer could
    // hand out a slot twice; so it only renews what holders report.
    fn is_recovering(&self, now: BootTime) -> bool {
        if self.options.switch == BrokerSwitch::SkipCaution || self.recovering_until <= now {
            return false;
        }
        self.members.is_empty() || self.members.iter().any(|id| !self.holders.contains_key(id))
    }

    fn team_offers(
        &self,
        holder: &MemberId,
        team_shares: &BTreeMap<TeamId, TeamShare>,
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
        state.share_by_team(team_shares).map(use_of).collect()
    }
}

/// Virtual time.
impl SlotBroker {
    fn charge(&mut self, team: &TeamId, used: Duration) {
        let weight = self.weight(team).max(f64::MIN_POSITIVE);
        let floor = self.virtual_floor;
        let time = self.virtual_times.entry(team.clone()).or_insert(floor);
        *time += used.as_secs_f64() / weight;
    }

    // A team that queues again after a pause starts level with the least served one:
    // without this it could save up the time it did not use and then shut others out.
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
