use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    ops::Bound,
};

use compact_str::CompactString;
use model::{
    BootTime, HostId, PoolId,
    work::{ResourceVector, TargetMode},
};

use super::{HostDrainState, TargetState};

/// Targets by what decisions ask for, so that none walks over all of them.
///
/// It says nothing that the books of targets don't: it can be made anew from them at any time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct TargetIndex {
    summaries: HashMap<HostId, TargetSummary>,
    pools: BTreeMap<PoolId, PoolTargets>,
    addresses: BTreeMap<CompactString, BTreeSet<HostId>>,
    /// When pauses end.
    pauses: BTreeSet<(BootTime, HostId)>,
    /// When calls to listed targets failed last that are heard otherwise.
    failures: BTreeSet<(BootTime, HostId)>,
    /// Targets that are leaving or kept free.
    pub(super) draining: BTreeSet<HostId>,
    /// Targets that nothing is to be done with any more.
    pub(super) forgettable: BTreeSet<HostId>,
    /// Targets whose granted time runs out, since they are silent or were never reached.
    pub(super) expiring: BTreeSet<HostId>,
    /// How many targets the host list has.
    pub(super) listed: usize,
    /// How many of these are silent, or have not been reached.
    pub(super) not_responding: usize,
    /// How many of the listed have been reached.
    pub(super) reached: usize,
}

/// Targets of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
struct PoolTargets {
    all: BTreeSet<HostId>,
    /// Those that take tasks, but for pauses, by what is free.
    by_cpu: BTreeSet<(u64, HostId)>,
    by_memory: BTreeSet<(u64, HostId)>,
    /// Targets of which nobody knows what a predecessor has started there.
    unknown: usize,
}

/// What the index knows of a target.
#[derive(Clone, Debug, Default, PartialEq)]
struct TargetSummary {
    pool: PoolId,
    address: CompactString,
    free: ResourceVector,
    /// Whether it takes tasks, but for a pause.
    open: bool,
    paused_until: BootTime,
    listed: bool,
    token_seen: bool,
    unresponsive: bool,
    /// Whether a predecessor may have used it, and no look has reached it.
    never_reached: bool,
    /// Whether nobody knows what a predecessor has started there.
    unknown: bool,
    last_failure: BootTime,
    draining: bool,
    forgettable: bool,
}

impl TargetSummary {
    fn of(target: &TargetState) -> Self {
        let never_reached = target.inherited && !target.incarnation.token_seen;
        Self {
            pool: target.entry.pool.clone(),
            address: target.entry.address.clone(),
            free: target.free(),
            open: target.can_run() && target.drain == HostDrainState::None,
            paused_until: target.paused_until,
            listed: target.listed,
            token_seen: target.incarnation.token_seen,
            unresponsive: target.unresponsive,
            never_reached,
            unknown: never_reached && !target.unreachable_recorded,
            last_failure: target.last_failure,
            draining: target.entry.mode == TargetMode::Draining
                || target.drain != HostDrainState::None,
            forgettable: !target.is_needed(),
        }
    }

    fn is_not_responding(&self) -> bool {
        self.listed && (self.unresponsive || !self.token_seen)
    }

    fn has_failed(&self) -> bool {
        self.listed && !self.is_not_responding() && !self.last_failure.is_zero()
    }

    /// True if nothing but its room has changed since `before`.
    fn differs_only_in_free(&self, before: &Self) -> bool {
        let before = Self {
            free: self.free,
            ..before.clone()
        };
        *self == before
    }

    /// True if something may be started by what has changed since `before`.
    fn frees_capacity(&self, before: &Self) -> bool {
        let opened = self.open && (!before.open || before.pool != self.pool);
        let grown = self.open && !self.free.fits_in(before.free);
        let known = before.unknown && (!self.unknown || before.pool != self.pool);
        opened || grown || known || self.paused_until < before.paused_until
    }
}

impl TargetIndex {
    /// Takes in what became of a target; the pools in which something may be started by that are
    /// added to `due`. True if the target is new.
    pub(super) fn update(
        &mut self,
        id: &HostId,
        target: Option<&TargetState>,
        now: BootTime,
        due: &mut BTreeSet<PoolId>,
    ) -> bool {
        let Some(new) = target.map(TargetSummary::of) else {
            if let Some(old) = self.summaries.remove(id) {
                self.remove(id, &old);
                due.insert(old.pool);
            }
            return false;
        };
        let Some(facts) = self.summaries.get_mut(id) else {
            due.insert(new.pool.clone());
            self.add(id, &new, now);
            self.summaries.insert(id.clone(), new);
            return true;
        };
        if *facts == new {
            return false;
        }
        let old = std::mem::replace(facts, new.clone());
        if new.frees_capacity(&old) {
            due.insert(old.pool.clone());
            due.insert(new.pool.clone());
        }
        if new.differs_only_in_free(&old) {
            self.update_free(id, &old, &new);
        } else {
            self.remove(id, &old);
            self.add(id, &new, now);
        }
        false
    }

    /// Targets of a pool.
    pub(super) fn of_pool(&self, pool: &str) -> impl Iterator<Item = &HostId> + Clone {
        self.pools.get(pool).into_iter().flat_map(|pool| &pool.all)
    }

    /// Targets of a pool that take tasks, or pause, and that have so much of a processor free; those
    /// with the least first.
    pub(super) fn with_capacity(
        &self,
        pool: &str,
        cpu: u64,
    ) -> impl Iterator<Item = &HostId> + Clone {
        let from = (Bound::Included((cpu, HostId::default())), Bound::Unbounded);
        let pool = self.pools.get(pool).into_iter();
        pool.flat_map(move |pool| pool.by_cpu.range(from.clone()))
            .map(|(_, id)| id)
    }

    /// The most that targets of a pool have free that take tasks, of each resource by itself.
    pub(super) fn most_free(&self, pool: &str, now: BootTime) -> ResourceVector {
        let Some(pool) = self.pools.get(pool) else {
            return ResourceVector::default();
        };
        let most = |by_room: &BTreeSet<(u64, HostId)>| {
            let mut rooms = by_room.iter().rev();
            let open = rooms.find(|(_, id)| {
                let facts = self.summaries.get(id);
                facts.is_some_and(|facts| facts.paused_until <= now)
            });
            open.map_or(0, |(free, _)| *free)
        };
        ResourceVector {
            cpu: most(&pool.by_cpu),
            memory_mb: most(&pool.by_memory),
            gpu: u64::MAX,
        }
    }

    /// Targets at an address.
    pub(super) fn at_address(&self, address: &str) -> impl Iterator<Item = &HostId> {
        self.addresses.get(address).into_iter().flatten()
    }

    /// Pools in which a task of a predecessor may run on a target that has not been reached.
    pub(super) fn unknown_pools(&self) -> BTreeSet<PoolId> {
        let unknown = self.pools.iter().filter(|(_, pool)| pool.unknown > 0);
        unknown.map(|(name, _)| name.clone()).collect()
    }

    /// Adds the pools of targets whose pause has ended to `due`.
    pub(super) fn end_pauses(&mut self, now: BootTime, due: &mut BTreeSet<PoolId>) {
        while let Some((until, id)) = self.pauses.first()
            && *until <= now
        {
            if let Some(facts) = self.summaries.get(id) {
                due.insert(facts.pool.clone());
            }
            self.pauses.pop_first();
        }
    }

    /// How many listed targets a call has failed to since a time, beside those that are unheard.
    pub(super) fn failed_since(&self, since: BootTime) -> usize {
        let after = (since, HostId::default());
        self.failures.range(after..).count()
    }

    /// What it says, less what passes with time alone.
    #[must_use]
    pub(super) fn without_pauses(&self) -> Self {
        Self {
            pauses: BTreeSet::new(),
            ..self.clone()
        }
    }

    /// Takes in that the room of a target has changed, and nothing else.
    fn update_free(&mut self, id: &HostId, old: &TargetSummary, new: &TargetSummary) {
        let Some(pool) = self.pools.get_mut(&old.pool).filter(|_| old.open) else {
            return;
        };
        pool.by_cpu.remove(&(old.free.cpu, id.clone()));
        pool.by_cpu.insert((new.free.cpu, id.clone()));
        pool.by_memory.remove(&(old.free.memory_mb, id.clone()));
        pool.by_memory.insert((new.free.memory_mb, id.clone()));
    }

    fn add(&mut self, id: &HostId, facts: &TargetSummary, now: BootTime) {
        let pool = self.pools.entry(facts.pool.clone()).or_default();
        pool.all.insert(id.clone());
        if facts.open {
            pool.by_cpu.insert((facts.free.cpu, id.clone()));
            pool.by_memory.insert((facts.free.memory_mb, id.clone()));
        }
        pool.unknown += usize::from(facts.unknown);
        let address = self.addresses.entry(facts.address.clone()).or_default();
        address.insert(id.clone());
        if facts.paused_until > now {
            self.pauses.insert((facts.paused_until, id.clone()));
        }
        if facts.has_failed() {
            self.failures.insert((facts.last_failure, id.clone()));
        }
        if facts.draining {
            self.draining.insert(id.clone());
        }
        if facts.forgettable {
            self.forgettable.insert(id.clone());
        }
        if facts.unresponsive || facts.never_reached {
            self.expiring.insert(id.clone());
        }
        self.listed += usize::from(facts.listed);
        self.not_responding += usize::from(facts.is_not_responding());
        self.reached += usize::from(facts.listed && facts.token_seen);
    }

    fn remove(&mut self, id: &HostId, facts: &TargetSummary) {
        if let Some(pool) = self.pools.get_mut(&facts.pool) {
            pool.all.remove(id);
            pool.by_cpu.remove(&(facts.free.cpu, id.clone()));
            pool.by_memory.remove(&(facts.free.memory_mb, id.clone()));
            pool.unknown -= usize::from(facts.unknown);
            if pool.all.is_empty() {
                self.pools.remove(&facts.pool);
            }
        }
        if let Some(address) = self.addresses.get_mut(&facts.address) {
            address.remove(id);
            if address.is_empty() {
                self.addresses.remove(&facts.address);
            }
        }
        self.pauses.remove(&(facts.paused_until, id.clone()));
        self.failures.remove(&(facts.last_failure, id.clone()));
        self.draining.remove(id);
        self.forgettable.remove(id);
        self.expiring.remove(id);
        self.listed -= usize::from(facts.listed);
        self.not_responding -= usize::from(facts.is_not_responding());
        self.reached -= usize::from(facts.listed && facts.token_seen);
    }
}
