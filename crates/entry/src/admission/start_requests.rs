use std::collections::{BTreeSet, HashMap};

use decide::share::{PickOptions, pick_next_team};
use model::{BootTime, PoolId, TeamId};

use super::{
    admission_loop::{AdmissionLoop, LoopCommand},
    pool_state::PoolSnapshot,
    resource_hold::deadline_problem,
    target_table::connection_share,
};
use crate::dispatch::DispatchJob;

/// Starting of queued requests.
impl AdmissionLoop {
    /// Starts as many queued requests as possible in every pool.
    pub(super) fn start_waiting(&mut self, now: BootTime) {
        let refuse = self.finish.is_some_and(|command| {
            let LoopCommand::Finish { refuse_at, .. } = command;
            now >= refuse_at
        });
        if refuse {
            self.refuse_queued("this entry host shuts down");
            return;
        }
        let mut blocked = BTreeSet::new();
        let pools: Vec<PoolId> = self
            .pools
            .iter()
            .filter(|(_, state)| !state.queue.is_empty())
            .map(|(pool, _)| pool.clone())
            .collect();
        for pool in pools {
            self.start_pool(&pool, &mut blocked, now);
        }
        self.update_quota_waits(&blocked);
    }

    /// Starts requests of one pool until there are no free slots, no team below its limit
    /// or no queued requests left.
    fn start_pool(&mut self, pool: &PoolId, blocked: &mut BTreeSet<TeamId>, now: BootTime) {
        let snapshot = self.pool_snapshot(pool);
        let view = snapshot.view();
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        state.queue.queue_due_retries(now);
        state.update_lease(&snapshot.lease);
        let mut candidates = state.team_candidates(&snapshot, now);
        for candidate in &mut candidates {
            candidate.blocked = blocked.contains(&candidate.team);
        }
        while self.dispatch.has_capacity() {
            let Some(target) = self.table.choose(&view, self.tie_break, now) else {
                return;
            };
            let Some(index) = pick_next_team(&candidates, &PickOptions::default()) else {
                return;
            };
            let candidate = &mut candidates[index];
            let Some(next) = state.queue.front(&candidate.team) else {
                return;
            };
            let length = next.deadline.saturating_sub(now);
            let Some(permit) = self.config.quotas.try_take_for(&candidate.team, length) else {
                blocked.insert(candidate.team.clone());
                candidate.blocked = true;
                continue;
            };
            let Some(mut request) = state.queue.pop(&candidate.team) else {
                return;
            };
            if state.service_estimate().would_miss_deadline(&request, now) {
                candidate.queued -= 1;
                candidate.urgent_wait = state.queue.urgent_wait(&candidate.team, now);
                request.refuse(deadline_problem(false));
                continue;
            }
            self.tie_break = self.tie_break.wrapping_add(1);
            metrics::histogram!("lws_queue_seconds")
                .record(now.saturating_sub(request.arrived).as_secs_f64());
            let connection = self.table.acquire(target);
            let job = DispatchJob {
                request,
                connection,
                permit,
            };
            if let Err(job) = self.dispatch.start(job) {
                self.table.release_slot(&target.host);
                state.queue.restore_front(job.request);
                return;
            }
            state.meter.record_start(&candidate.team, now);
            candidate.queued -= 1;
            candidate.urgent_wait = state.queue.urgent_wait(&candidate.team, now);
            candidate.virtual_time = state.virtual_time(&snapshot, &candidate.team, now);
        }
    }

    /// Reports how many requests wait for a unit of their team's limit, so that units are
    /// granted to this host.
    fn update_quota_waits(&mut self, blocked: &BTreeSet<TeamId>) {
        let mut quota_waits = HashMap::new();
        for team in blocked {
            let starts: u32 = self
                .pools
                .iter()
                .map(|(pool, state)| {
                    state.slot_limited_starts(team, &self.config.slots.lease(pool))
                })
                .sum();
            quota_waits.insert(team.clone(), starts);
        }
        for team in self.quota_waits.keys() {
            if !quota_waits.contains_key(team) {
                self.config.quotas.report_waiting(team, 0);
            }
        }
        for (team, count) in &quota_waits {
            if self.quota_waits.get(team) != Some(count) {
                self.config.quotas.report_waiting(team, *count);
            }
        }
        self.quota_waits = quota_waits;
    }

    /// Collects the inputs about a pool from other subsystems.
    pub(super) fn pool_snapshot(&self, pool: &PoolId) -> PoolSnapshot {
        let config = self.config.config.current();
        let spec = config.manifest.pools.get(pool);
        let members = self.config.members.members().len();
        PoolSnapshot {
            targets: self.config.targets.pool_targets(pool),
            lease: self.config.slots.lease(pool),
            max_connections: connection_share(spec.map_or(1, |spec| spec.connections), members),
            budget: spec.map_or(1, |spec| spec.budget),
            config,
        }
    }
}
