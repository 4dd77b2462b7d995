use std::{collections::BTreeSet, time::Duration};

use fake::boot_nanos;

use super::{
    bounds_plan::{PartitionPeriod, PlannedPartition},
    fault_plan::PlannedFault,
    soak_check::HeldUp,
    soak_fleet::SoakFleet,
};

/// Interval at which a target tells the store that it lives.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Heartbeats after which the store removes the entry of a target that it does not hear.
const MISSED_HEARTBEATS: u32 = 3;

/// Carries out the partitions of a schedule.
pub(crate) struct PartitionDrive {
    plan: Vec<PlannedPartition>,
    begun: usize,
    active: Option<(Duration, PartitionPeriod)>,
    /// Targets whose entries the store has removed.
    unlisted: BTreeSet<usize>,
    pub(crate) over: Vec<PartitionPeriod>,
}

impl PartitionDrive {
    pub(crate) fn new(plan: Vec<PlannedPartition>) -> Self {
        Self {
            plan,
            begun: 0,
            active: None,
            unlisted: BTreeSet::new(),
            over: Vec::new(),
        }
    }

    pub(crate) fn is_over(&self) -> bool {
        self.begun == self.plan.len() && self.active.is_none()
    }

    /// Begins the partition that is due; the faults within it, of the processes that they strike.
    pub(crate) fn begin(
        &mut self,
        fleet: &SoakFleet,
        since: Duration,
    ) -> Option<Vec<PlannedFault>> {
        let planned = self.plan.get(self.begun)?;
        if planned.begin > since || self.active.is_some() {
            return None;
        }
        self.begun += 1;
        let processes = fleet.processes.len();
        let owner = fleet.store.owner().map_or(0, |owner| owner.process);
        let mut process_groups = vec![0; processes];
        for (rank, group) in planned.process_groups.iter().enumerate() {
            process_groups[(owner + rank) % processes] = *group;
        }
        let strikes = planned.strikes.iter().map(|strike| PlannedFault {
            process: strike.process.map(|rank| (owner + rank) % processes),
            ..*strike
        });
        let strikes = strikes.collect();
        let period = PartitionPeriod {
            from_ns: boot_nanos(),
            to_ns: u64::MAX,
            process_groups,
            target_groups: planned.target_groups.clone(),
            store_groups: planned.store_groups.clone(),
        };
        self.active = Some((planned.end, period));
        Some(strikes)
    }

    /// Ends the partition that is over; the times in which its orders may have been held up.
    pub(crate) fn end(&mut self, fleet: &SoakFleet, since: Duration) -> Option<Vec<HeldUp>> {
        let (_, mut period) = self.active.take_if(|(end, _)| *end <= since)?;
        period.to_ns = boot_nanos();
        let mut held_up = Vec::new();
        for (target, group) in period.target_groups.iter().enumerate() {
            let cut = period.process_groups.iter().enumerate();
            let cut = cut.filter(|(_, other)| *other != group);
            held_up.extend(cut.map(|(process, _)| HeldUp {
                target,
                process,
                from_ns: period.from_ns,
                to_ns: period.to_ns,
            }));
        }
        self.over.push(period);
        for target in std::mem::take(&mut self.unlisted) {
            fleet.put_target(target);
        }
        Some(held_up)
    }

    /// Removes the entries of targets that the store has not heard for too long.
    pub(crate) fn remove_entries(&mut self, fleet: &SoakFleet) {
        let Some((_, period)) = &self.active else {
            return;
        };
        let silent = boot_nanos().saturating_sub(period.from_ns);
        if u128::from(silent) < (HEARTBEAT * MISSED_HEARTBEATS).as_nanos() {
            return;
        }
        for target in 0..fleet.targets.len() {
            if self.misses_store(target) && self.unlisted.insert(target) {
                fleet.store.remove_target(fleet.targets[target].id());
            }
        }
    }

    /// Whether nothing passes between a target and the store.
    pub(crate) fn misses_store(&self, target: usize) -> bool {
        self.active.as_ref().is_some_and(|(_, period)| {
            let group = period.target_groups[target];
            !period.store_groups.contains(&group)
        })
    }

    /// Whether nothing passes between a process and the store.
    pub(crate) fn cuts_store(&self, process: usize) -> bool {
        self.active.as_ref().is_some_and(|(_, period)| {
            let group = period.process_groups[process];
            !period.store_groups.contains(&group)
        })
    }

    /// Whether nothing passes between a process and a target.
    pub(crate) fn cuts_target(&self, target: usize, process: usize) -> bool {
        self.active.as_ref().is_some_and(|(_, period)| {
            period.target_groups[target] != period.process_groups[process]
        })
    }

    /// Whether nothing passes between two processes.
    pub(crate) fn cuts_peers(&self, process: usize, other: usize) -> bool {
        self.active.as_ref().is_some_and(|(_, period)| {
            period.process_groups[process] != period.process_groups[other]
        })
    }
}
