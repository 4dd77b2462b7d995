use std::collections::{BTreeMap, BTreeSet};

use decide::share::{BrokerOptions, SlotBroker, SlotMap};
use model::{BootTime, MemberId, PoolId, TeamId};
use wire::peer::{SlotDemand, SlotGrant};

use crate::convert::{demand_from_wire, offer_to_wire};

/// What the desk says to a demand.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandResponse {
    /// The grant.
    pub grant: SlotGrant,
    /// Holders that should ask again at once, because they hold more than their due.
    pub nudges: BTreeMap<MemberId, SlotGrant>,
}

/// One pool as the desk needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BrokeredPool {
    /// Slots of each target that takes new work.
    pub targets: SlotMap,
}

/// The brokers of all pools that this entry host owns.
#[derive(Debug)]
pub struct PoolBrokers {
    options: BrokerOptions,
    brokers: BTreeMap<PoolId, SlotBroker>,
    sessions: BTreeMap<MemberId, u64>,
}

impl PoolBrokers {
    /// A desk that owns nothing yet.
    pub fn new(options: BrokerOptions) -> Self {
        Self {
            options,
            brokers: BTreeMap::new(),
            sessions: BTreeMap::new(),
        }
    }

    /// Number of pools brokered here.
    pub fn pool_count(&self) -> usize {
        self.brokers.len()
    }

    /// Replaces the pools that this host brokers.
    ///
    /// When a pool comes or goes, all sessions end, and holders begin new ones. A holder
    /// that has not noticed a loss must not have its slots of that pool renewed by grants
    /// for the others; and one that asked for a pool before this host brokered it believes
    /// its demand known, so it would wait for slots for ever.
    pub fn set_pools(&mut self, now: BootTime, pools: &BTreeMap<PoolId, BrokeredPool>) {
        if !self.brokers.keys().eq(pools.keys()) {
            self.sessions.clear();
        }
        self.brokers.retain(|pool, _| pools.contains_key(pool));
        for (pool, brokered_pool) in pools {
            let broker = self
                .brokers
                .entry(pool.clone())
                .or_insert_with(|| SlotBroker::new(pool.clone(), now, self.options));
            broker.set_targets(brokered_pool.targets.clone());
        }
    }

    /// Replaces the weights of the teams and the members that may hold slots.
    pub fn set_weights_and_members(
        &mut self,
        weights: &BTreeMap<TeamId, f64>,
        members: &BTreeSet<MemberId>,
    ) {
        for broker in self.brokers.values_mut() {
            broker.set_weights(weights.clone());
            broker.set_members(members.clone());
        }
    }

    /// Answers a demand; `None` for one that a later one overtook.
    ///
    /// A grant of session 0 tells the holder that its session is unknown here.
    pub fn answer(
        &mut self,
        now: BootTime,
        from: &MemberId,
        demand: &SlotDemand,
    ) -> Option<DemandResponse> {
        let known = self.sessions.get(from).copied();
        if known.is_some_and(|known| demand.session < known) {
            return None;
        }
        let opening = known != Some(demand.session);
        if opening && 0 < demand.applied {
            let grant = SlotGrant {
                round: demand.round,
                ..SlotGrant::default()
            };
            return Some(DemandResponse {
                grant,
                ..DemandResponse::default()
            });
        }
        self.sessions.insert(from.clone(), demand.session);
        let reported = self.apply_reports(now, from, demand, opening);
        self.confirm_unreported(now, from, demand, opening, &reported);
        let grant = self.grant(now, from, demand);
        let nudges = self.nudges(from);
        Some(DemandResponse { grant, nudges })
    }

    // A grant of round 0 asks its holder to ask again.
    fn nudges(&self, from: &MemberId) -> BTreeMap<MemberId, SlotGrant> {
        let backlogged = self
            .brokers
            .values()
            .filter(|broker| broker.is_backlogged(from));
        let holders = backlogged.flat_map(|broker| broker.holders_above_share(from));
        holders
            .filter_map(|holder| {
                let session = *self.sessions.get(&holder)?;
                let grant = SlotGrant {
                    session,
                    ..SlotGrant::default()
                };
                Some((holder, grant))
            })
            .collect()
    }

    /// Forgets holders that went silent.
    pub fn expire(&mut self, now: BootTime) {
        for broker in self.brokers.values_mut() {
            broker.expire_holders(now);
        }
    }

    fn apply_reports(
        &mut self,
        now: BootTime,
        from: &MemberId,
        demand: &SlotDemand,
        opening: bool,
    ) -> BTreeSet<PoolId> {
        let mut reported = BTreeSet::new();
        for pool in &demand.pools {
            let id = PoolId::from(pool.pool.as_str());
            let Some(broker) = self.brokers.get_mut(&id) else {
                continue;
            };
            let load = demand_from_wire(pool);
            if opening || !broker.has_session(from) {
                broker.open(now, from, demand.round, load);
            } else if broker.confirm(now, from, demand.round, demand.applied) {
                broker.update_load(from, load);
            }
            reported.insert(id);
        }
        reported
    }

    fn confirm_unreported(
        &mut self,
        now: BootTime,
        from: &MemberId,
        demand: &SlotDemand,
        opening: bool,
        reported: &BTreeSet<PoolId>,
    ) {
        for (pool, broker) in &mut self.brokers {
            if reported.contains(pool) {
                continue;
            }
            if opening {
                broker.close(from);
            } else {
                broker.confirm(now, from, demand.round, demand.applied);
            }
        }
    }

    fn grant(&mut self, now: BootTime, from: &MemberId, demand: &SlotDemand) -> SlotGrant {
        let mut pools = Vec::new();
        for (pool, broker) in &mut self.brokers {
            let fresh = broker.offer_may_change(now, from)
                || broker.has_unconfirmed_offer(from, demand.applied);
            if !fresh && !broker.is_backlogged(from) {
                continue;
            }
            let Some(offer) = broker.offer(now, from, demand.round) else {
                continue;
            };
            if broker.has_unconfirmed_offer(from, demand.applied) || broker.is_backlogged(from) {
                pools.push(offer_to_wire(pool, &offer));
            }
        }
        SlotGrant {
            round: demand.round,
            session: demand.session,
            pools,
        }
    }
}
