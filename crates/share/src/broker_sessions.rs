use std::{collections::BTreeMap, sync::Arc};

use decide::share::{ByteBudget, HolderOptions, SlotHolder, SlotMap};
use model::{BootTime, MemberId, PoolId, TeamId};
use ports::{PoolDemand, SlotLease, TargetSlots, TeamUse};
use prost::Message as _;
use wire::peer::{SlotDemand, SlotGrant};

use crate::{
    ShareTimes,
    convert::{demand_to_wire, offer_from_wire},
};

// Network budget for the sessions of a host, including the responses of its brokers, in bytes
// per second. The host's own role as broker costs about as much again. The rest of the 6 KB/s of
// a node is for heartbeats, store and host list. With many full pools, reports are less frequent.
const BYTES_PER_SECOND: u32 = 2000;
const BYTES_BURST: u32 = 8000;
// Bytes of the headers and the acknowledgement of a message.
const MESSAGE_HEADER: usize = 104;

/// This entry host's sessions with the brokers of all pools.
#[derive(Debug)]
pub struct BrokerSessions {
    options: HolderOptions,
    next_session: u64,
    brokers: BTreeMap<PoolId, MemberId>,
    sessions: BTreeMap<MemberId, SessionState>,
    demands: BTreeMap<PoolId, PoolDemand>,
    budget: ByteBudget,
    // Slot time used since the session of the pool started, in milliseconds.
    used: BTreeMap<(PoolId, TeamId), u64>,
}

#[derive(Debug)]
struct SessionState {
    holder: SlotHolder,
    last_demand: BootTime,
    // Requests began to queue since the last demand, or slots must be returned.
    urgent: bool,
}

impl BrokerSessions {
    /// Creates an empty set; `first_session` must exceed the session numbers of earlier
    /// incarnations of this host.
    pub fn new(first_session: u64, options: HolderOptions) -> Self {
        Self {
            options,
            next_session: first_session,
            brokers: BTreeMap::new(),
            sessions: BTreeMap::new(),
            demands: BTreeMap::new(),
            budget: ByteBudget::new(BYTES_PER_SECOND, BYTES_BURST),
            used: BTreeMap::new(),
        }
    }

    /// Replaces the brokers of the pools.
    ///
    /// A broker that gains pools gets a new session. Its first demand reports the slots that
    /// this host holds, so that no slot is granted twice and none is lost in the change.
    pub fn set_brokers(&mut self, broker_of_pool: BTreeMap<PoolId, MemberId>) {
        if self.brokers == broker_of_pool {
            return;
        }
        let gaining: Vec<MemberId> = broker_of_pool
            .iter()
            .filter(|(pool, broker)| self.brokers.get(*pool) != Some(*broker))
            .map(|(_, broker)| broker.clone())
            .collect();
        let held = self.held_slots();
        for (pool, broker) in &self.brokers {
            let session = self.sessions.get_mut(broker);
            if broker_of_pool.get(pool) != Some(broker)
                && let Some(session) = session
            {
                session.holder.remove_pool(pool);
            }
        }
        self.brokers = broker_of_pool;
        for broker in gaining {
            self.start_session(&broker, &held);
        }
        let broker_of_pool = &self.brokers;
        self.sessions
            .retain(|broker, _| broker_of_pool.values().any(|other| other == broker));
    }

    /// Replaces this host's demand on a pool; true if requests began to queue.
    pub fn report(&mut self, demand: PoolDemand) -> bool {
        for team in &demand.teams {
            let key = (demand.pool.clone(), team.team.clone());
            *self.used.entry(key).or_default() += team.used_ms;
        }
        let last = self.demands.get(&demand.pool);
        let queued_before = last.is_some_and(is_queued);
        let begins_queueing = is_queued(&demand) && !queued_before;
        // The broker sums used time, so an equal value must be sent again.
        let used = demand.teams.iter().any(|team| 0 < team.used_ms);
        let changed = used || last.is_none_or(|last| *last != demand);
        if let Some(broker) = self.brokers.get(&demand.pool)
            && let Some(session) = self.sessions.get_mut(broker)
            && changed
        {
            session.holder.mark_demand_changed(&demand.pool);
            session.urgent |= begins_queueing;
        }
        self.demands.insert(demand.pool.clone(), demand);
        begins_queueing
    }

    /// Returns the demands that are due at `now`, with their brokers.
    pub fn due(&mut self, now: BootTime, times: &ShareTimes) -> Vec<(MemberId, SlotDemand)> {
        let within_budget = self.budget.allows(now);
        let is_due = |broker: &MemberId, session: &SessionState| {
            let wait = if session.urgent {
                times.min_gap
            } else if session.holder.has_unsent_demand() || self.is_backlogged(broker) {
                times.interval
            } else {
                times.idle_interval
            };
            session.last_demand + wait <= now
        };
        let is_renewal_due =
            |session: &SessionState| session.last_demand + times.idle_interval <= now;
        let brokers: Vec<MemberId> = self
            .sessions
            .iter()
            .filter(|(broker, session)| is_due(broker, session))
            .filter(|(_, session)| within_budget || is_renewal_due(session))
            .map(|(broker, _)| broker.clone())
            .collect();
        let next_due = |broker: MemberId| {
            let demand = self.next_demand(now, &broker, within_budget)?;
            Some((broker, demand))
        };
        brokers.into_iter().filter_map(next_due).collect()
    }

    /// Applies a grant; returns the pools whose lease changed.
    pub fn apply(&mut self, broker: &MemberId, grant: &SlotGrant) -> Vec<PoolId> {
        let Some(session) = self.sessions.get_mut(broker) else {
            return Vec::new();
        };
        if grant.session == 0 {
            let held = self.held_slots();
            self.start_session(broker, &held);
            return Vec::new();
        }
        if grant.round == 0 {
            session.urgent |= grant.session == session.holder.session();
            return Vec::new();
        }
        self.budget.spend(grant.encoded_len() + MESSAGE_HEADER);
        let slots_before = session.holder.total_slots();
        let offers = grant
            .pools
            .iter()
            .map(|pool| (pool.pool.as_str().into(), offer_from_wire(pool)));
        if !session
            .holder
            .apply_grant(grant.session, grant.round, offers.collect())
        {
            return Vec::new();
        }
        // Other holders get returned slots only after this host confirms the return.
        session.urgent |= session.holder.total_slots() < slots_before;
        session
            .holder
            .pools()
            .map(|(pool, _)| pool.clone())
            .collect()
    }

    /// The lease on a pool, expired or not; `None` if it was never granted.
    pub fn lease(&self, pool: &PoolId) -> Option<Arc<SlotLease>> {
        let session = self.sessions.get(self.brokers.get(pool)?)?;
        let (_, held) = session.holder.pools().find(|(id, _)| *id == pool)?;
        let targets = held.offer.targets.iter().map(|(host, &slots)| TargetSlots {
            host: host.clone(),
            slots,
        });
        let teams = held.offer.teams.iter().map(|(team, slots, time)| TeamUse {
            team: team.clone(),
            slots: *slots,
            virtual_ms: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        });
        Some(Arc::new(SlotLease {
            pool: pool.clone(),
            expires: session.holder.expires(pool),
            targets: targets.collect(),
            teams: teams.collect(),
        }))
    }

    /// All pools that have a broker.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.brokers.keys()
    }

    fn is_backlogged(&self, broker: &MemberId) -> bool {
        let queued = self.demands.values().filter(|demand| is_queued(demand));
        let mut backlogged = queued.filter_map(|demand| self.brokers.get(&demand.pool));
        backlogged.any(|other| other == broker)
    }

    // Above the byte budget, a demand only renews the session; the first demand of a session
    // must report in any case.
    fn next_demand(
        &mut self,
        now: BootTime,
        broker: &MemberId,
        within_budget: bool,
    ) -> Option<SlotDemand> {
        let session = self.sessions.get_mut(broker)?;
        session.last_demand = now;
        session.urgent = false;
        let (round, mut fresh) = session.holder.begin_round(now);
        let applied = session.holder.applied();
        let number = session.holder.session();
        if !within_budget && 0 < applied {
            for pool in fresh.drain(..) {
                session.holder.mark_demand_changed(&pool);
            }
        }
        let pools = fresh.iter().map(|pool| self.pool_demand(broker, pool));
        let demand = SlotDemand {
            round,
            applied,
            session: number,
            pools: pools.collect(),
        };
        self.budget.spend(demand.encoded_len() + MESSAGE_HEADER);
        Some(demand)
    }

    fn pool_demand(&self, broker: &MemberId, pool: &PoolId) -> wire::peer::PoolDemand {
        let mut demand = self.demands.get(pool).cloned().unwrap_or_default();
        demand.pool = pool.clone();
        for team in &mut demand.teams {
            let key = (pool.clone(), team.team.clone());
            team.used_ms = self.used.get(&key).copied().unwrap_or_default();
        }
        let is_new_session = self
            .sessions
            .get(broker)
            .is_some_and(|session| session.holder.applied() == 0);
        let granted = self.granted(broker, pool);
        let mut held = if is_new_session {
            granted.clone()
        } else {
            SlotMap::new()
        };
        for target in &demand.in_flight {
            let allowed = granted.get(&target.host).copied().unwrap_or_default();
            if allowed < target.slots {
                held.insert(target.host.clone(), target.slots);
            }
        }
        demand_to_wire(&demand, &held)
    }

    fn granted(&self, broker: &MemberId, pool: &PoolId) -> SlotMap {
        let session = self.sessions.get(broker);
        let held = session.and_then(|session| {
            session
                .holder
                .pools()
                .find(|(id, _)| *id == pool)
                .map(|(_, held)| held)
        });
        held.map(|held| held.offer.targets.clone())
            .unwrap_or_default()
    }

    fn start_session(&mut self, broker: &MemberId, held: &BTreeMap<PoolId, (BootTime, SlotMap)>) {
        self.next_session += 1;
        let mut holder = SlotHolder::new(self.next_session, self.options);
        for (pool, assigned) in &self.brokers {
            if assigned != broker {
                continue;
            }
            holder.mark_demand_changed(pool);
            self.used.retain(|(used_pool, _), _| used_pool != pool);
            if let Some((expires, targets)) = held.get(pool) {
                holder.adopt_slots(*expires, pool, targets.clone());
            }
        }
        let state = SessionState {
            holder,
            last_demand: BootTime::ZERO,
            urgent: true,
        };
        self.sessions.insert(broker.clone(), state);
    }

    fn held_slots(&self) -> BTreeMap<PoolId, (BootTime, SlotMap)> {
        let mut held_pools = BTreeMap::new();
        for session in self.sessions.values() {
            for (pool, held) in session.holder.pools() {
                let expires = session.holder.expires(pool);
                held_pools.insert(pool.clone(), (expires, held.offer.targets.clone()));
            }
        }
        held_pools
    }
}

fn is_queued(demand: &PoolDemand) -> bool {
    demand.teams.iter().any(|team| 0 < team.queued)
}
