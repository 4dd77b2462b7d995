use std::collections::BTreeMap;

use model::{BootTime, HostId, PoolId, work::HostRoom};

use super::TargetState;

/// The most room that targets of each pool have, of each resource by itself.
///
/// The pattern it answers: in its turn a pool is full and hundreds of steps wait. Each end frees
/// the room of one task, and asking each target for each waiting step would take an owner of 300
/// targets more time than the ends leave. What does not fit here fits no target of the pool.
///
/// It counts for one plan, in which room only shrinks, so that an older sum is too high at worst.
#[derive(Default)]
pub(super) struct PoolRooms {
    rooms: BTreeMap<PoolId, HostRoom>,
}

impl PoolRooms {
    /// True if a target of the pool may have room for a task that takes `need`.
    pub(super) fn may_fit(
        &mut self,
        pool: &PoolId,
        need: HostRoom,
        targets: &BTreeMap<HostId, TargetState>,
        now: BootTime,
    ) -> bool {
        if let Some(most) = self.rooms.get(pool) {
            return need.fits(*most);
        }
        let of_pool = targets
            .values()
            .filter(|target| target.entry.pool == *pool && target.takes_tasks(now));
        let most = of_pool
            .map(TargetState::free)
            .fold(HostRoom::default(), HostRoom::larger);
        self.rooms.insert(pool.clone(), most);
        need.fits(most)
    }

    /// Takes in that tasks were given room in a pool.
    pub(super) fn used(&mut self, pool: &PoolId) {
        self.rooms.remove(pool);
    }
}
