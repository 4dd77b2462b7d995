use std::collections::{BTreeSet, HashMap};

use decide::share::{PickOptions, pick_next_team};
use model::{BootTime, PoolId, TeamId};

use super::{
    admission_loop::{AdmissionLoop, LoopCommand},
    held_work::expired,
    pool_desk::PoolParts,
    target_table::connection_part,
};
use crate::dispatch::DispatchJob;

/// Starting what is queued.
impl AdmissionLoop {
    /// Starts what can start, in every pool.
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
            .desks
            .iter()
            .filter(|(_, desk)| !desk.queue.is_empty())
            .map(|(pool, _)| pool.clone())
            .collect();
        for pool in pools {
            self.start_pool(&pool, &mut blocked, now);
        }
        self.note_waiting(&blocked);
    }

    /// Starts requests of one pool until its slots, its teams' limits or the queue end.
    fn start_pool(&mut self, pool: &PoolId, blocked: &mut BTreeSet<TeamId>, now: BootTime) {
        let parts = self.pool_parts(pool);
        let view = parts.view();
        let Some(desk) = self.desks.get_mut(pool) else {
            return;
        };
        desk.queue.wake_retries(now);
        desk.note_lease(&parts.lease);
        let mut turns = desk.turns(&parts, now);
        for turn in &mut turns {
            turn.blocked = blocked.contains(&turn.team);
        }
        while self.dispatch.has_room() {
            let Some(target) = self.table.choose(&view, self.turn, now) else {
                return;
            };
            let Some(index) = pick_next_team(&turns, &PickOptions::default()) else {
                return;
            };
            let turn = &mut turns[index];
            let Some(next) = desk.queue.front(&turn.team) else {
                return;
            };
            let length = next.deadline.saturating_sub(now);
            let Some(permit) = self.config.quotas.try_take_for(&turn.team, length) else {
                blocked.insert(turn.team.clone());
                turn.blocked = true;
                continue;
            };
            let Some(mut request) = desk.queue.pop(&turn.team) else {
                return;
            };
            if desk.outlook().waited_too_long(&request, now) {
                turn.queued -= 1;
                turn.urgent_wait = desk.queue.urgent_wait(&turn.team, now);
                request.refuse(expired(false));
                continue;
            }
            self.turn = self.turn.wrapping_add(1);
            metrics::histogram!("lws_queue_seconds")
                .record(now.saturating_sub(request.arrived).as_secs_f64());
            let lane = self.table.start(target);
            let job = DispatchJob {
                request,
                lane,
                permit,
            };
            if let Err(job) = self.dispatch.start(job) {
                self.table.end(&target.host);
                desk.queue.unpop(job.request);
                return;
            }
            desk.meter.note_start(&turn.team, now);
            turn.queued -= 1;
            turn.urgent_wait = desk.queue.urgent_wait(&turn.team, now);
            turn.virtual_time = desk.virtual_time(&parts, &turn.team, now);
        }
    }

    /// Tells the quotas how many starts wait for a unit, so that grants move here.
    fn note_waiting(&mut self, blocked: &BTreeSet<TeamId>) {
        let mut waiting = HashMap::new();
        for team in blocked {
            let starts: u32 = self
                .desks
                .iter()
                .map(|(pool, desk)| desk.useful_starts(team, &self.config.slots.lease(pool)))
                .sum();
            waiting.insert(team.clone(), starts);
        }
        for team in self.waiting.keys() {
            if !waiting.contains_key(team) {
                self.config.quotas.report_waiting(team, 0);
            }
        }
        for (team, count) in &waiting {
            if self.waiting.get(team) != Some(count) {
                self.config.quotas.report_waiting(team, *count);
            }
        }
        self.waiting = waiting;
    }

    /// What the other areas say of a pool now.
    pub(super) fn pool_parts(&self, pool: &PoolId) -> PoolParts {
        let config = self.config.config.current();
        let spec = config.manifest.pools.get(pool);
        let members = self.config.members.members().len();
        PoolParts {
            targets: self.config.targets.pool_targets(pool),
            lease: self.config.slots.lease(pool),
            connections: connection_part(spec.map_or(1, |spec| spec.connections), members),
            budget: spec.map_or(1, |spec| spec.budget),
            config,
        }
    }
}
