use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use model::{BootTime, PoolId};

use super::{PoolOffer, SlotMap};

// Rounds in flight whose send time is remembered; replies to older rounds are useless.
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

/// State of one pool at the holder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldPool {
    /// The last applied grant.
    pub offer: PoolOffer,
    // Round in which the demand last changed.
    demand_changed_in: u64,
    // Until when slots of an earlier session may be used; `None` once this session got an offer.
    adopted_until: Option<BootTime>,
}

/// An entry host's side of a session with one broker.
///
/// The holder numbers the rounds. It drops a grant that is older than the applied one, and the
/// lease counts from when the demand of its round was sent, so a delayed reply can't extend it.
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
    /// Creates a session without demand; `session` must be new to the broker.
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

    /// The session number.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// When the grant on `pool` expires.
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

    /// True if the broker may not have the latest demand of a pool.
    pub fn has_unsent_demand(&self) -> bool {
        self.pools
            .values()
            .any(|held| self.applied < held.demand_changed_in)
    }

    /// Adds a pool to the session, or marks its demand as changed.
    pub fn mark_demand_changed(&mut self, pool: &PoolId) {
        let next = self.round + 1;
        self.pools
            .entry(pool.clone())
            .or_default()
            .demand_changed_in = next;
    }

    /// Removes a pool that has moved to another broker.
    pub fn remove_pool(&mut self, pool: &PoolId) {
        self.pools.remove(pool);
    }

    /// Begins a round at `now`. Returns its number and the pools whose latest demand the broker may
    /// not have.
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

    /// Applies the grant of `round`; false if it is outdated or of another session.
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
    /// Keeps using the slots of an earlier session until its grants expire.
    ///
    /// The first demand of this session reports these slots, so that the new broker counts them.
    /// Without this, each change of broker would stop the pool for a moment. A grant of this
    /// session for other pools does not renew them.
    pub fn adopt_slots(&mut self, expires: BootTime, pool: &PoolId, targets: SlotMap) {
        let held = self.pools.entry(pool.clone()).or_default();
        held.offer.targets = targets;
        held.adopted_until = Some(expires);
    }
}
