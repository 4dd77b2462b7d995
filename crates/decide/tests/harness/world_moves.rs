use std::sync::Arc;

use model::{HostId, PoolId, work::FleetPolicy};
use rand::Rng;

use super::{
    OTHER_POOL, POOL,
    world::{SimOwner, Simulation, TICK},
    world_faults::WorldFaults,
};

/// Probability per second that operators move the queue.
const MOVES: f64 = 0.3;
/// Probability per second that an owner reads a changed policy.
const POLICY_READS: f64 = 4.0;

impl WorldFaults {
    /// Returns the pool of a target: every other one belongs to the other pool, if the queue moves.
    pub(super) fn pool_of(self, name: &HostId) -> PoolId {
        let number = name.bytes().find(u8::is_ascii_digit).unwrap_or_default();
        let pool = match self.queue_moves && number % 2 == 1 {
            true => OTHER_POOL,
            false => POOL,
        };
        pool.into()
    }
}

impl Simulation {
    /// Moves the queue to the other pool at random times.
    pub(super) fn draw_queue_move(&mut self) {
        if !self.faults.queue_moves || !self.extra_rng.random_bool(MOVES * TICK.as_secs_f64()) {
            return;
        }
        let mut policy = FleetPolicy::clone(&self.policy);
        policy.revision += 1;
        for queue in &mut policy.queues {
            let pool = match queue.pool == POOL {
                true => OTHER_POOL,
                false => POOL,
            };
            queue.pool = pool.into();
        }
        self.record_event(&format!("the queue moves to {}", policy.queues[0].pool));
        self.policy = Arc::new(policy);
    }

    /// Delivers a changed policy to an owner that reaches the store, after a random time.
    pub(super) fn deliver_policy(&mut self, owner: &mut SimOwner) {
        let is_cut_off = self.store_outage.is_some() || owner.partitioned_since.is_some();
        if is_cut_off || owner.policy_revision == self.policy.revision {
            return;
        }
        if self
            .extra_rng
            .random_bool(POLICY_READS * TICK.as_secs_f64())
        {
            owner.policy_revision = self.policy.revision;
            owner.scheduler.set_policy(self.policy.clone());
        }
    }
}
