use std::time::Duration;

use model::HostId;
use rand::Rng;

use super::{
    world::{DeskWorld, OWNER_LEASE},
    world_list::FRESH_ID,
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
    pub store_away: f64,
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
        store_away: 0.0,
        lost_writes: 0.0,
        short_log: false,
        lanes: false,
        lists: false,
    };

    /// Some of everything that happens to targets, owners and calls.
    pub const SOME: Self = Self {
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
        ..Self::SOME
    };

    /// The store fails besides.
    pub const LOG: Self = Self {
        store_away: 0.06,
        lost_writes: 0.1,
        ..Self::CANCELS
    };

    /// The same world without faults to come.
    pub(super) fn calmed(self) -> Self {
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
        Self::SOME
    }
}

impl DeskWorld {
    pub(super) fn draw_faults(&mut self) {
        if self.chance(self.faults.owner_kill) && self.next_owner.is_none() {
            self.owners.retain(|owner| owner.alone_since.is_some());
            self.next_owner = Some(self.now.boot + OWNER_LEASE);
            self.note_core("the owner is killed");
        }
        if self.chance(self.faults.owner_cut) && self.next_owner.is_none() {
            let now = self.now.boot;
            for owner in &mut self.owners {
                owner.alone_since.get_or_insert(now);
            }
            self.next_owner = Some(now + OWNER_LEASE);
            self.note_core("the owner is cut off");
        }
        self.draw_target_faults();
        let part = self.faults.store_away * super::world::TICK.as_secs_f64();
        if self.store_away.is_none() && self.more.random::<f64>() < part {
            let length = Duration::from_millis(self.more.random_range(300..6000));
            self.store_away = Some((self.now.boot, self.now.boot + length));
            self.note_core("the store goes away");
        }
    }

    fn draw_target_faults(&mut self) {
        let names: Vec<HostId> = self.targets.keys().cloned().collect();
        for name in names {
            let (crash, cut) = (self.faults.target_crash, self.faults.target_cut);
            let (crash, cut) = (self.chance(crash), self.chance(cut));
            let away = Duration::from_millis(self.dice.random_range(300..9000));
            let now = self.now.boot;
            let Some(state) = self.targets.get_mut(&name) else {
                continue;
            };
            if !state.up || state.cut {
                continue;
            }
            if crash {
                state.up = false;
                state.runs.clear();
            }
            state.cut |= cut;
            state.down_since = now;
            state.back_at = now + away;
            if crash && self.faults.lists {
                // Many come back at once, before anybody has missed them.
                let soon = self.more.random_bool(0.5);
                let wait = Duration::from_millis(self.more.random_range(20..400));
                state.back_at = if soon { now + wait } else { state.back_at };
                state.hidden = self.more.random_bool(0.5);
                state.replaced = self.more.random_bool(FRESH_ID);
            }
            if crash || cut {
                let what = if crash { "crashes" } else { "is cut off" };
                self.note(&format!("{name} {what}"));
            }
        }
    }

    /// The store is back: leases have been paused, or have lapsed meanwhile.
    pub(super) fn return_store(&mut self) {
        let now = self.now.boot;
        if self.store_away.is_none_or(|(_, until)| now < until) {
            return;
        }
        self.store_away = None;
        self.store_back = now;
        self.note_core("the store is back");
        if self.more.random_bool(0.5) {
            self.lapse_entries();
        }
        if self.more.random_bool(0.4) && self.next_owner.is_none() {
            for owner in &mut self.owners {
                let heard = Duration::from_millis(self.more.random_range(0..300));
                owner.over_at.get_or_insert(now + heard);
            }
            let wait = Duration::from_millis(self.more.random_range(0..600));
            self.next_owner = Some(now + wait);
        }
    }
}
