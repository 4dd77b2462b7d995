use std::collections::BTreeSet;

use model::{DataCentreId, HostId};

use super::WorkScheduler;

impl WorkScheduler {
    /// Sets the data centres that operators have drained.
    ///
    /// Nothing is started there until they are restored. What runs there continues;
    /// `docs/design/17-shifted-work.md` says how its long-running tasks move away.
    pub fn set_drained_data_centres(&mut self, drained: BTreeSet<DataCentreId>) {
        if self.drained_data_centres == drained {
            return;
        }
        let changed: Vec<(HostId, bool)> = self
            .targets
            .values()
            .map(|target| (target, drained.contains(&target.entry.data_centre)))
            .filter(|(target, is_drained)| target.data_centre_drained != *is_drained)
            .map(|(target, is_drained)| (target.entry.target.clone(), is_drained))
            .collect();
        for (id, is_drained) in changed {
            if let Some(target) = self.targets.get_mut(&id) {
                target.data_centre_drained = is_drained;
            }
        }
        self.drained_data_centres = drained;
        self.replan_needed = true;
    }

    /// Returns true if a target is in a drained data centre, so that a start that was decided
    /// before the drain may not be sent any more.
    pub fn is_data_centre_drained(&self, id: &HostId) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| target.data_centre_drained)
    }
}
