use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::{BootTime, HostId, TeamId};

use super::terms::{BrokerSwitch, SlotMap, TeamLoad};

// Factor by which remembered demand decays per round, so that slots don't follow every gap between
// two requests.
const DEMAND_DECAY: f64 = 0.6;
// A decayed demand below this counts as zero.
const DEMAND_FLOOR: f64 = 0.1;

#[derive(Debug, Default)]
pub(super) struct HolderState {
    pub(super) last_report_at: BootTime,
    // The epoch of the last offer.
    pub(super) offered_epoch: u64,
    // True if the holder's session no longer includes this pool.
    pub(super) closed: bool,
    // The newest round that was answered.
    pub(super) round: u64,
    pub(super) loads: BTreeMap<TeamId, LoadState>,
    pub(super) held: SlotMap,
    // Offers since the newest confirmed one, which comes first, each with its round.
    pub(super) offers: VecDeque<(u64, SlotMap)>,
}

#[derive(Debug, Default)]
pub(super) struct LoadState {
    pub(super) queued: u32,
    // Running plus queued requests, as last reported.
    pub(super) reported: f64,
    pub(super) demand: f64,
    pub(super) used: Duration,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct TeamShare {
    pub(super) demand: f64,
    pub(super) slots: f64,
}

impl HolderState {
    // The most slots of `target` that the holder may use.
    pub(super) fn outstanding(&self, target: &HostId, switch: BrokerSwitch) -> u32 {
        let held = self.held.get(target).copied().unwrap_or_default();
        let offered = |offer: &(u64, SlotMap)| offer.1.get(target).copied().unwrap_or_default();
        if switch == BrokerSwitch::SkipConfirm {
            return self.offers.back().map_or(held, offered);
        }
        self.offers
            .iter()
            .map(offered)
            .max()
            .unwrap_or_default()
            .max(held)
    }

    pub(super) fn team_slots<'a>(
        &'a self,
        team_shares: &'a BTreeMap<TeamId, TeamShare>,
    ) -> impl Iterator<Item = (&'a TeamId, f64)> {
        self.loads.iter().filter_map(|(team, load)| {
            let due = team_shares.get(team)?;
            let part = if 0.0 < due.demand {
                load.demand / due.demand
            } else {
                0.0
            };
            Some((team, due.slots * part))
        })
    }
}

impl HolderState {
    // True before the first offer of the session.
    pub(super) fn has_made_no_offer(&self) -> bool {
        self.offers.iter().all(|(round, _)| *round == 0)
    }

    // Decays the remembered demand; true if any of it changed.
    pub(super) fn decay_demand(&mut self) -> bool {
        let mut decayed = false;
        for load in self.loads.values_mut() {
            let floor = load.reported;
            if floor < load.demand {
                load.demand = decayed_demand(load.demand).max(floor);
                decayed = true;
            }
        }
        decayed
    }
}

impl LoadState {
    pub(super) fn next(load: &TeamLoad, last: &Self) -> Self {
        let reported = f64::from(load.running) + f64::from(load.queued);
        Self {
            queued: load.queued,
            reported,
            demand: reported.max(decayed_demand(last.demand)),
            used: load.used.max(last.used),
        }
    }
}

fn decayed_demand(demand: f64) -> f64 {
    let decayed = demand * DEMAND_DECAY;
    if decayed < DEMAND_FLOOR { 0.0 } else { decayed }
}

// Moves `last` towards `wanted` slots in total within `headroom`, with few changes: removes slots
// where the holder has most, adds slots where most are free.
pub(super) fn adjust_offer(last: &SlotMap, wanted: u32, headroom: &SlotMap) -> SlotMap {
    let mut next: SlotMap = headroom
        .iter()
        .map(|(target, &limit)| {
            (
                target.clone(),
                last.get(target).copied().unwrap_or(0).min(limit),
            )
        })
        .collect();
    let mut total: u32 = next.values().sum();
    while wanted < total {
        let Some((_, slots)) = next.iter_mut().max_by_key(|(_, slots)| **slots) else {
            break;
        };
        *slots -= 1;
        total -= 1;
    }
    while total < wanted {
        let remaining_capacity = |target: &HostId, slots: u32| headroom[target] - slots;
        let best = next
            .iter_mut()
            .max_by_key(|(target, slots)| remaining_capacity(target, **slots));
        let Some((target, slots)) = best else {
            break;
        };
        if remaining_capacity(target, *slots) == 0 {
            break;
        }
        *slots += 1;
        total += 1;
    }
    next.retain(|_, slots| 0 < *slots);
    next
}
