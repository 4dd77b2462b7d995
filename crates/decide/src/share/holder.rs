use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use model::{BootTime, PoolId};

use super::{PoolOffer, SlotMap};

// Rounds in flight whose sending time is remembered; older answers are useless anyway.
const MAX_ROUNDS_IN_FLIGHT: usize = 64;

/// Times of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderOptions {
    /// How long a grant may be used, counted from when its demand was sent.
    pub lease: Duration,
}

impl Default for HolderOptions {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
        }
    }
}

/// One pool as the holder knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldPool {
    /// The grant applied last.
    pub offer: PoolOffer,
    // Round in which the demand last changed.
    demand_changed_in: u64,
    // Until when slots of an earlier session may be used; none once this one made an offer.
    adopted_until: Option<BootTime>,
}

/// An entry host's side of a session with one broker.
///
/// Rounds are counted by the holder. A grant of an older round than the applied one is
/// dropped, and the lease counts from when the demand of its round was sent, so that a
/// delayed answer can't lengthen it.
#[derive(Debug)]
pub struct SlotHolder {
    session: u64,
    options: HolderOptions,
    round: u64,
    applied: u64,
    sent: VecDeque<(u64, BootTime)>,
    expires: BootTime,
    pools: BTreeMap<PoolId, HeldPool>,
}

impl SlotHolder {
    /// A session that has asked for nothing yet; `session` must be new to the broker.
    pub fn new(session: u64, options: HolderOptions) -> Self {
        Self {
            session,
            options,
            round: 0,
            applied: 0,
            sent: VecDeque::new(),
            expires: BootTime::ZERO,
            pools: BTreeMap::new(),
        }
    }

    /// The session's number.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// When this session's grant on `pool` lapses.
    pub fn expires(&self, pool: &PoolId) -> BootTime {
        let held = self.pools.get(pool);
        held.and_then(|held| held.adopted_until)
            .unwrap_or(self.expires)
    }

    /// The newest round whose grant was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The pools of this session.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolId, &HeldPool)> {
        self.pools.iter()
    }

    /// Slots of all targets of all pools.
    pub fn total_slots(&self) -> u32 {
        let pools = self.pools.values();
        pools.flat_map(|held| held.offer.targets.values()).sum()
    }

    /// True if the broker may lack the demand of a pool.
    pub fn has_unsent_demand(&self) -> bool {
        self.pools
            .values()
            .any(|held| self.applied < held.demand_changed_in)
    }

    /// Takes a pool into the session, or notes that its demand changed.
    pub fn mark_demand_changed(&mut self, pool: &PoolId) {
        let next = self.round + 1;
        self.pools
            .entry(pool.clone())
            .or_default()
            .demand_changed_in = next;
    }

    /// Drops a pool that another broker has now.
    pub fn remove_pool(&mut self, pool: &PoolId) {
        self.pools.remove(pool);
    }

    /// Begins a round at `now`: its number, and the pools whose demand the broker may lack.
    pub fn begin_round(&mut self, now: BootTime) -> (u64, Vec<PoolId>) {
        self.round += 1;
        self.sent.push_back((self.round, now));
        if MAX_ROUNDS_IN_FLIGHT < self.sent.len() {
            self.sent.pop_front();
        }
        let fresh = self
            .pools
            .iter()
            .filter(|(_, held)| self.applied < held.demand_changed_in);
        let pools = fresh.map(|(pool, _)| pool.clone()).collect();
        (self.round, pools)
    }

    /// Applies the grant of `round`; false if it is stale or of another session.
    pub fn apply_grant(
        &mut self,
        session: u64,
        round: u64,
        offers: Vec<(PoolId, PoolOffer)>,
    ) -> bool {
        if session != self.session || round <= self.applied {
            return false;
        }
        let Some(sent_at) = self.sent_at(round) else {
            return false;
        };
        self.applied = round;
        self.sent.retain(|(sent_round, _)| round < *sent_round);
        self.expires = sent_at + self.options.lease;
        for (pool, offer) in offers {
            if let Some(held) = self.pools.get_mut(&pool) {
                held.offer = offer;
                held.adopted_until = None;
            }
        }
        true
    }

    fn sent_at(&self, round: u64) -> Option<BootTime> {
        self.sent
            .iter()
            .find(|(sent_round, _)| *sent_round == round)
            .map(|(_, at)| *at)
    }
}

/// Change of broker.
impl SlotHolder {
    /// Keeps using what an earlier session held until its grants lapse.
    ///
    /// The first demand of this session reports these slots, so that the new broker counts
    /// them; without this each change of broker would stop the pool for a moment. They
    /// lapse on their own: a grant of this session for other pools does not renew them.
    pub fn adopt_slots(&mut self, expires: BootTime, pool: &PoolId, targets: SlotMap) {
        let held = self.pools.entry(pool.clone()).or_default();
        held.offer.targets = targets;
        held.adopted_until = Some(expires);
    }
}
