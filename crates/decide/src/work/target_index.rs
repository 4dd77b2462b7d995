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

/// Index of targets by what scheduling decisions look up, so that no decision iterates over all
/// targets.
///
/// It holds no information of its own and can be rebuilt from the state of the targets at any time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct TargetIndex {
    summaries: HashMap<HostId, TargetSummary>,
    pools: BTreeMap<PoolId, PoolTargets>,
    addresses: BTreeMap<CompactString, BTreeSet<HostId>>,
    /// Ends of pauses.
    pauses: BTreeSet<(BootTime, HostId)>,
    /// Times of the last failed calls to listed targets that otherwise respond.
    failures: BTreeSet<(BootTime, HostId)>,
    /// Targets that are draining: by their mode, for an operation on their host, or with their data
    /// centre.
    pub(super) draining: BTreeSet<HostId>,
    /// Targets that can be forgotten.
    pub(super) forgettable: BTreeSet<HostId>,
    /// Targets whose leases will expire, because they are unresponsive or were never reached.
    pub(super) expiring: BTreeSet<HostId>,
    /// Number of targets in the host list.
    pub(super) listed: usize,
    /// Number of these that are unresponsive or have not been reached.
    pub(super) not_responding: usize,
    /// Number of listed targets that have been reached.
    pub(super) reached: usize,
}

/// Targets of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
struct PoolTargets {
    all: BTreeSet<HostId>,
    /// Targets that accept tasks or are paused, by free processor time and by free memory.
    by_cpu: BTreeSet<(u64, HostId)>,
    by_memory: BTreeSet<(u64, HostId)>,
    /// Number of targets on which a predecessor may have started unknown tasks.
    unknown: usize,
}

/// Summary of a target for the index.
#[derive(Clone, Debug, Default, PartialEq)]
struct TargetSummary {
    pool: PoolId,
    address: CompactString,
    free: ResourceVector,
    /// Whether it accepts tasks or is only paused.
    open: bool,
    paused_until: BootTime,
    listed: bool,
    token_seen: bool,
    unresponsive: bool,
    /// Whether a predecessor may have used it, and no poll has reached it.
    never_reached: bool,
    /// Whether a predecessor may have started unknown tasks there.
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
            unknown: !target.is_state_known() && !target.unreachable_recorded,
            last_failure: target.last_failure,
            draining: target.entry.mode == TargetMode::Draining
                || target.drain != HostDrainState::None
                || target.data_centre_drained,
            forgettable: !target.is_needed(),
        }
    }

    fn is_not_responding(&self) -> bool {
        self.listed && (self.unresponsive || !self.token_seen)
    }

    fn has_failed(&self) -> bool {
        self.listed && !self.is_not_responding() && !self.last_failure.is_zero()
    }

    /// Returns true if only its free resources differ from `before`.
    fn differs_only_in_free(&self, before: &Self) -> bool {
        let before = Self {
            free: self.free,
            ..before.clone()
        };
        *self == before
    }

    /// Returns true if a task may be able to start because of the changes since `before`.
    fn frees_capacity(&self, before: &Self) -> bool {
        let has_opened = self.open && (!before.open || before.pool != self.pool);
        let has_grown = self.open && !self.free.fits_in(before.free);
        let became_known = before.unknown && (!self.unknown || before.pool != self.pool);
        has_opened || has_grown || became_known || self.paused_until < before.paused_until
    }
}

impl TargetIndex {
    /// Updates the summary of a target. If a task may be able to start because of the change, adds
    /// the pools to `due`. Returns true if the target is new.
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
        let Some(summary) = self.summaries.get_mut(id) else {
            due.insert(new.pool.clone());
            self.add(id, &new, now);
            self.summaries.insert(id.clone(), new);
            return true;
        };
        if *summary == new {
            return false;
        }
        let old = std::mem::replace(summary, new.clone());
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

    /// Returns all targets of a pool.
    pub(super) fn of_pool(&self, pool: &str) -> impl Iterator<Item = &HostId> + Clone {
        self.pools.get(pool).into_iter().flat_map(|pool| &pool.all)
    }

    /// Returns the targets of a pool that accept tasks or are paused and have at least `cpu` free,
    /// least free first.
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

    /// Returns the maximum free resources of the targets of a pool that accept tasks, component by
    /// component.
    pub(super) fn most_free(&self, pool: &str, now: BootTime) -> ResourceVector {
        let Some(pool) = self.pools.get(pool) else {
            return ResourceVector::default();
        };
        let most = |by_amount: &BTreeSet<(u64, HostId)>| {
            let mut amounts = by_amount.iter().rev();
            let candidate = amounts.find(|(_, id)| {
                let summary = self.summaries.get(id);
                summary.is_some_and(|summary| summary.paused_until <= now)
            });
            candidate.map_or(0, |(free, _)| *free)
        };
        ResourceVector {
            cpu: most(&pool.by_cpu),
            memory_mb: most(&pool.by_memory),
            gpu: u64::MAX,
        }
    }

    /// Returns the targets at an address.
    pub(super) fn at_address(&self, address: &str) -> impl Iterator<Item = &HostId> {
        self.addresses.get(address).into_iter().flatten()
    }

    /// Returns the pools in which tasks of a predecessor may run on a target that has not been
    /// reached.
    pub(super) fn unknown_pools(&self) -> BTreeSet<PoolId> {
        let unknown = self.pools.iter().filter(|(_, pool)| pool.unknown > 0);
        unknown.map(|(name, _)| name.clone()).collect()
    }

    /// Adds the pools of targets whose pause has ended to `due`.
    pub(super) fn end_pauses(&mut self, now: BootTime, due: &mut BTreeSet<PoolId>) {
        while let Some((until, id)) = self.pauses.first()
            && *until <= now
        {
            if let Some(summary) = self.summaries.get(id) {
                due.insert(summary.pool.clone());
            }
            self.pauses.pop_first();
        }
    }

    /// Returns the number of responding listed targets to which a call has failed since a time.
    pub(super) fn failed_since(&self, since: BootTime) -> usize {
        let after = (since, HostId::default());
        self.failures.range(after..).count()
    }

    /// Returns a copy without the pauses, which end by time alone.
    #[must_use]
    pub(super) fn without_pauses(&self) -> Self {
        Self {
            pauses: BTreeSet::new(),
            ..self.clone()
        }
    }

    /// Updates the free resources of a target of which nothing else has changed.
    fn update_free(&mut self, id: &HostId, old: &TargetSummary, new: &TargetSummary) {
        let Some(pool) = self.pools.get_mut(&old.pool).filter(|_| old.open) else {
            return;
        };
        pool.by_cpu.remove(&(old.free.cpu, id.clone()));
        pool.by_cpu.insert((new.free.cpu, id.clone()));
        pool.by_memory.remove(&(old.free.memory_mb, id.clone()));
        pool.by_memory.insert((new.free.memory_mb, id.clone()));
    }

    fn add(&mut self, id: &HostId, summary: &TargetSummary, now: BootTime) {
        let pool = self.pools.entry(summary.pool.clone()).or_default();
        pool.all.insert(id.clone());
        if summary.open {
            pool.by_cpu.insert((summary.free.cpu, id.clone()));
            pool.by_memory.insert((summary.free.memory_mb, id.clone()));
        }
        pool.unknown += usize::from(summary.unknown);
        let address = self.addresses.entry(summary.address.clone()).or_default();
        address.insert(id.clone());
        if summary.paused_until > now {
            self.pauses.insert((summary.paused_until, id.clone()));
        }
        if summary.has_failed() {
            self.failures.insert((summary.last_failure, id.clone()));
        }
        if summary.draining {
            self.draining.insert(id.clone());
        }
        if summary.forgettable {
            self.forgettable.insert(id.clone());
        }
        if summary.unresponsive || summary.never_reached {
            self.expiring.insert(id.clone());
        }
        self.listed += usize::from(summary.listed);
        self.not_responding += usize::from(summary.is_not_responding());
        self.reached += usize::from(summary.listed && summary.token_seen);
    }

    fn remove(&mut self, id: &HostId, summary: &TargetSummary) {
        if let Some(pool) = self.pools.get_mut(&summary.pool) {
            pool.all.remove(id);
            pool.by_cpu.remove(&(summary.free.cpu, id.clone()));
            pool.by_memory.remove(&(summary.free.memory_mb, id.clone()));
            pool.unknown -= usize::from(summary.unknown);
            if pool.all.is_empty() {
                self.pools.remove(&summary.pool);
            }
        }
        if let Some(address) = self.addresses.get_mut(&summary.address) {
            address.remove(id);
            if address.is_empty() {
                self.addresses.remove(&summary.address);
            }
        }
        self.pauses.remove(&(summary.paused_until, id.clone()));
        self.failures.remove(&(summary.last_failure, id.clone()));
        self.draining.remove(id);
        self.forgettable.remove(id);
        self.expiring.remove(id);
        self.listed -= usize::from(summary.listed);
        self.not_responding -= usize::from(summary.is_not_responding());
        self.reached -= usize::from(summary.listed && summary.token_seen);
    }
}
