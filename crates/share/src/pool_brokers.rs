use std::collections::{BTreeMap, BTreeSet};

use decide::share::{BrokerOptions, SlotBroker, SlotMap};
use model::{BootTime, MemberId, PoolId, TeamId};
use wire::peer::{SlotDemand, SlotGrant};

use crate::convert::{demand_from_wire, offer_to_wire};

/// Response of the brokers to a demand message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandResponse {
    /// Grant for the member that sent the demand.
    pub grant: SlotGrant,
    /// Grants of round 0 for holders above their share: they make the holder send a new demand.
    pub nudges: BTreeMap<MemberId, SlotGrant>,
}

/// Input of the broker of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BrokeredPool {
    /// Number of slots of each target that accepts new work.
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
    /// Creates a set without any pools.
    pub fn new(options: BrokerOptions) -> Self {
        Self {
            options,
            brokers: BTreeMap::new(),
            sessions: BTreeMap::new(),
        }
    }

    /// Number of pools that this host brokers.
    pub fn pool_count(&self) -> usize {
        self.brokers.len()
    }

    /// Replaces the pools that this host brokers.
    ///
    /// When a pool is added or removed, all sessions end and holders start new ones, for two
    /// reasons. A holder that still lists a removed pool must not have its slots of that pool
    /// renewed by grants for other pools. And a holder that sent its demand for a pool before
    /// this host brokered it would not send it again and would wait for slots forever.
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

    /// Replaces the weights of teams and the set of members that may hold slots.
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

    /// Responds to a demand; `None` if it belongs to an older session than the current one.
    ///
    /// A grant of session 0 means that the session is unknown to this broker.
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
        let is_new_session = known != Some(demand.session);
        if is_new_session && 0 < demand.applied {
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
        let reported = self.apply_reports(now, from, demand, is_new_session);
        self.confirm_unreported(now, from, demand, is_new_session, &reported);
        let grant = self.grant(now, from, demand);
        let nudges = self.nudges(from);
        Some(DemandResponse { grant, nudges })
    }

    // A grant of round 0 makes its holder send a new demand.
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

    /// Removes holders whose leases have expired.
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
        is_new_session: bool,
    ) -> BTreeSet<PoolId> {
        let mut reported = BTreeSet::new();
        for pool in &demand.pools {
            let id = PoolId::from(pool.pool.as_str());
            let Some(broker) = self.brokers.get_mut(&id) else {
                continue;
            };
            let load = demand_from_wire(pool);
            if is_new_session || !broker.has_session(from) {
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
        is_new_session: bool,
        reported: &BTreeSet<PoolId>,
    ) {
        for (pool, broker) in &mut self.brokers {
            if reported.contains(pool) {
                continue;
            }
            if is_new_session {
                broker.close(from);
            } else {
                broker.confirm(now, from, demand.round, demand.applied);
            }
        }
    }

    fn grant(&mut self, now: BootTime, from: &MemberId, demand: &SlotDemand) -> SlotGrant {
        let mut pools = Vec::new();
        for (pool, broker) in &mut self.brokers {
            let has_news = broker.offer_may_change(now, from)
                || broker.has_unconfirmed_offer(from, demand.applied);
            if !has_news && !broker.is_backlogged(from) {
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
