use std::time::Duration;

use model::{BootTime, HostId, work::JobPlan};
use rand::Rng;

use super::world::{OWNER_LEASE, Simulation, TICK};

/// Lengths of a partition in milliseconds: from less than a lease to several times the longest time
/// for which an owner sends orders without the store.
const PARTITION_MS: std::ops::Range<u64> = 2000..25_000;
/// Share of targets that are partitioned together with the owner.
const TARGET_SHARE: f64 = 0.4;
/// Share of jobs whose tasks outlast several leases.
const LONG_JOBS: f64 = 0.15;
/// Their estimate, by which they do not count as stalled although their targets report no progress.
const LONG_ESTIMATE: Duration = Duration::from_secs(120);

impl Simulation {
    /// Partitions the owner and some targets from the store and from everything else. They reach
    /// each other.
    pub(super) fn draw_owner_apart(&mut self) {
        let probability = self.faults.owner_apart * TICK.as_secs_f64();
        if probability == 0.0
            || self.next_election.is_some()
            || self.extra_rng.random::<f64>() >= probability
        {
            return;
        }
        let (now, token) = (self.now.boot, self.current_token);
        let until = now + Duration::from_millis(self.extra_rng.random_range(PARTITION_MS));
        let mut apart = Vec::new();
        for (name, state) in &mut self.targets {
            if state.up && !state.partitioned && self.extra_rng.random_bool(TARGET_SHARE) {
                state.partitioned = true;
                state.partitioned_with = Some(token);
                state.down_since = now;
                state.back_at = until;
                apart.push(name.clone());
            }
        }
        for name in apart {
            self.record_event(&format!("{name} is partitioned with owner {token}"));
        }
        self.partitioned_until.insert(token, until);
        let owners = self.owners.iter_mut();
        for owner in owners.filter(|owner| owner.token == token) {
            owner.partitioned_since.get_or_insert(now);
        }
        self.next_election = Some(now + OWNER_LEASE);
        self.record_core_event("the owner is partitioned with some targets");
    }

    /// Whether a call of an owner does not reach a target.
    pub(super) fn is_cut_off(&self, owner: u64, target: &HostId, now: BootTime) -> bool {
        let state = self.targets.get(target);
        let Some(state) = state.filter(|state| state.up) else {
            return true;
        };
        if state.partitioned {
            return state.partitioned_with != Some(owner);
        }
        let until = self.partitioned_until.get(&owner);
        until.is_some_and(|until| now < *until)
    }

    /// Makes the tasks of some jobs outlast several leases, if owners are partitioned with targets.
    pub(super) fn draw_long_tasks(&mut self, job: &str, plan: &mut JobPlan) {
        if self.faults.owner_apart > 0.0 && self.extra_rng.random_bool(LONG_JOBS) {
            self.long_jobs.insert(job.to_owned());
            for step in &mut plan.steps {
                step.estimate = LONG_ESTIMATE;
            }
        }
    }
}
