use std::time::Duration;

use model::HostId;
use rand::Rng;

use super::{
    sim_host_list::NEW_ID,
    simulation::{OWNER_LEASE, Simulation},
};

/// What goes wrong in a world, each as a chance a second unless something else is said.
#[derive(Clone, Copy, Debug)]
pub struct WorldFaults {
    pub target_crash: f64,
    pub target_cut: f64,
    pub owner_kill: f64,
    /// The owner loses the store and goes on alone, while a successor takes over.
    pub owner_cut: f64,
    /// Part of the calls whose request or answer is lost.
    pub lost_calls: f64,
    /// Part of the calls that are carried out seconds after they were given up.
    pub late_calls: f64,
    /// Part of the restarts of targets of which the host list tells seconds late.
    pub late_lists: f64,
    /// Part of the jobs that their callers cancel.
    pub cancels: f64,
    /// The store answers nobody for some time.
    pub store_outage: f64,
    /// Part of the writes to the store whose request or answer is lost.
    pub lost_writes: f64,
    /// Whether the log is often replaced by a shorter one.
    pub short_log: bool,
    /// Whether few orders to a target are under way at once, and the others wait.
    pub lanes: bool,
    /// Whether the host list comes late and as the store gives it.
    pub lists: bool,
}

impl WorldFaults {
    /// Nothing goes wrong.
    pub const CALM: Self = Self {
        target_crash: 0.0,
        target_cut: 0.0,
        owner_kill: 0.0,
        owner_cut: 0.0,
        lost_calls: 0.0,
        late_calls: 0.0,
        late_lists: 0.0,
        cancels: 0.0,
        store_outage: 0.0,
        lost_writes: 0.0,
        short_log: false,
        lanes: false,
        lists: false,
    };

    /// Some of everything that happens to targets, owners and calls.
    pub const BASIC: Self = Self {
        target_crash: 0.03,
        target_cut: 0.03,
        owner_kill: 0.06,
        owner_cut: 0.06,
        lost_calls: 0.03,
        late_calls: 0.02,
        ..Self::CALM
    };

    /// Callers cancel besides.
    pub const CANCELS: Self = Self {
        cancels: 0.4,
        ..Self::BASIC
    };

    /// The store fails besides.
    pub const LOG: Self = Self {
        store_outage: 0.06,
        lost_writes: 0.1,
        ..Self::CANCELS
    };

    /// The same world without faults to come.
    pub(super) fn without_new_faults(self) -> Self {
        Self {
            short_log: self.short_log,
            lanes: self.lanes,
            lists: self.lists,
            ..Self::CALM
        }
    }
}

impl Default for WorldFaults {
    fn default() -> Self {
        Self::BASIC
    }
}

impl Simulation {
    pub(super) fn draw_faults(&mut self) {
        if self.draw_event(self.faults.owner_kill) && self.next_election.is_none() {
            self.owners
                .retain(|owner| owner.partitioned_since.is_some());
            self.next_election = Some(self.now.boot + OWNER_LEASE);
            self.record_core_event("the owner is killed");
        }
        if self.draw_event(self.faults.owner_cut) && self.next_election.is_none() {
            let now = self.now.boot;
            for owner in &mut self.owners {
                owner.partitioned_since.get_or_insert(now);
            }
            self.next_election = Some(now + OWNER_LEASE);
            self.record_core_event("the owner is cut off");
        }
        self.draw_target_faults();
        let part = self.faults.store_outage * super::simulation::TICK.as_secs_f64();
        if self.store_outage.is_none() && self.extra_rng.random::<f64>() < part {
            let length = Duration::from_millis(self.extra_rng.random_range(300..6000));
            self.store_outage = Some((self.now.boot, self.now.boot + length));
            self.record_core_event("the store goes away");
        }
    }

    fn draw_target_faults(&mut self) {
        let names: Vec<HostId> = self.targets.keys().cloned().collect();
        for name in names {
            let (crash, cut) = (self.faults.target_crash, self.faults.target_cut);
            let (crash, cut) = (self.draw_event(crash), self.draw_event(cut));
            let away = Duration::from_millis(self.rng.random_range(300..9000));
            let now = self.now.boot;
            let Some(state) = self.targets.get_mut(&name) else {
                continue;
            };
            if !state.up || state.partitioned {
                continue;
            }
            if crash {
                state.up = false;
                state.runs.clear();
            }
            state.partitioned |= cut;
            state.down_since = now;
            state.back_at = now + away;
            if crash && self.faults.lists {
                // Many come back at once, before anybody has missed them.
                let soon = self.extra_rng.random_bool(0.5);
                let wait = Duration::from_millis(self.extra_rng.random_range(20..400));
                state.back_at = if soon { now + wait } else { state.back_at };
                state.hidden_while_down = self.extra_rng.random_bool(0.5);
                state.returns_with_new_id = self.extra_rng.random_bool(NEW_ID);
            }
            if crash || cut {
                let what = if crash { "crashes" } else { "is cut off" };
                self.record_event(&format!("{name} {what}"));
            }
        }
    }

    /// The store is back: leases have been paused, or have lapsed meanwhile.
    pub(super) fn end_store_outage(&mut self) {
        let now = self.now.boot;
        if self.store_outage.is_none_or(|(_, until)| now < until) {
            return;
        }
        self.store_outage = None;
        self.store_restored_at = now;
        self.record_core_event("the store is back");
        if self.extra_rng.random_bool(0.5) {
            self.expire_entries();
        }
        if self.extra_rng.random_bool(0.4) && self.next_election.is_none() {
            for owner in &mut self.owners {
                let heard = Duration::from_millis(self.extra_rng.random_range(0..300));
                owner.lease_loss_seen_at.get_or_insert(now + heard);
            }
            let wait = Duration::from_millis(self.extra_rng.random_range(0..600));
            self.next_election = Some(now + wait);
        }
    }
}
