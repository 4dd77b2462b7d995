use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{
    BootTime, HostId, PoolId,
    work::{FleetHost, HostCondition, HostOrderAnswer, MaintenanceWave, WaveId},
};

use super::{DemandMeter, DeskTime, HostDrainState, JobTable, WorkDesk};

/// Pause after an order that was refused because the host was busy.
const BUSY_PAUSE: Duration = Duration::from_millis(700);
/// Pause after an order that was not answered or refused for now.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time after which a host that was ordered is believed to be back though the list has not
/// shown it, so that a list that lags for ever does not block its wave.
const RETURN_TIMEOUT: Duration = Duration::from_secs(10);

/// How far the clocks of day of two owners may be apart: they are set within milliseconds, and
/// jump by some seconds at times.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(5);

/// Arrivals before that count for next to nothing in the rates that are compared.
const RECENT_ARRIVALS: Duration = Duration::from_secs(10);

/// An order to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrder {
    /// Move it to a pool.
    Move(HostId, PoolId),
    /// Take it down for the maintenance of a wave.
    Maintain(HostId, WaveId),
}

impl HostOrder {
    /// The host that it is for.
    pub fn host(&self) -> &HostId {
        match self {
            Self::Move(host, _) | Self::Maintain(host, _) => host,
        }
    }
}

/// Decides which hosts are moved and maintained, and when.
///
/// No order ends work: a host is kept free of new tasks first, and ordered once it is empty.
#[derive(Clone, Debug, Default)]
pub struct HostPlanner {
    /// The hosts as they were listed last.
    pub(super) hosts: BTreeMap<HostId, HostView>,
    pub(super) waves: BTreeMap<WaveId, WaveView>,
    /// What the pools need.
    pub meter: DemandMeter,
    pub(super) refused_moves: BTreeSet<(HostId, PoolId)>,
    /// Whether the orders of earlier owners have been taken in.
    pub(super) earlier_orders_applied: bool,
    /// Hosts that an idle pool keeps.
    pub(super) min_idle_hosts: usize,
    /// Hosts that pools need for tasks that may not share one.
    pub(super) anti_affinity_hosts: BTreeMap<PoolId, usize>,
}

/// What is known of a host.
#[derive(Clone, Debug, Default)]
pub(super) struct HostView {
    pub(super) fleet: FleetHost,
    pub(super) operation: Option<HostOperation>,
    /// Since when nothing has run on it; `None` while something does.
    pub(super) idle_since: Option<BootTime>,
    pub(super) not_before: BootTime,
    /// Until then an earlier owner's order to it may still show.
    pub(super) earlier_order_until: BootTime,
}

/// What a host is being used for.
#[derive(Clone, Debug)]
pub(super) struct HostOperation {
    pub(super) order: HostOrder,
    pub(super) state: OperationState,
    /// Its life as a target before the order.
    pub(super) target: HostId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OperationState {
    /// It is being emptied.
    Draining,
    /// The order is under way, or was not answered and may still be carried out.
    Sent,
    /// The order was carried out at this time.
    Done(BootTime),
}

/// What is known of a wave.
#[derive(Clone, Debug, Default)]
pub(super) struct WaveView {
    pub(super) wave: MaintenanceWave,
    pub(super) first_seen: BootTime,
    pub(super) maintained: BTreeSet<HostId>,
    pub(super) published: Option<bool>,
}

impl HostPlanner {
    /// Takes in what earlier owners accepted lately, so that a rise of demand does not go unseen for
    /// as long as it takes to measure the arrivals anew.
    pub fn replay_arrivals(&mut self, board: &JobTable, now: BootTime) {
        let jobs = board.jobs.values();
        let mut lately: Vec<_> = jobs
            .filter(|job| now.saturating_sub(job.arrived) < RECENT_ARRIVALS)
            .collect();
        lately.sort_by_key(|job| job.arrived);
        for job in lately {
            self.meter
                .record_arrival(&job.pool, job.plan.core_seconds(), job.arrived);
        }
    }

    /// Takes the list of hosts that was asked for at `asked`.
    pub fn apply_host_list(&mut self, hosts: Vec<FleetHost>, asked: BootTime) {
        let present: BTreeSet<HostId> = hosts.iter().map(|host| host.host.clone()).collect();
        self.hosts.retain(|host, _| present.contains(host));
        for fleet in hosts {
            let view = self.hosts.entry(fleet.host.clone()).or_default();
            view.fleet = fleet;
            let Some(errand) = &view.operation else {
                continue;
            };
            let OperationState::Done(at) = errand.state else {
                continue;
            };
            // A host that is switched off has no life as a target, before and after.
            let another = view.fleet.target != errand.target || errand.target.is_empty();
            let arrived = match &errand.order {
                HostOrder::Move(_, pool) => view.fleet.pool == *pool,
                HostOrder::Maintain(..) => another,
            };
            let back = view.fleet.condition == HostCondition::Up && arrived;
            if asked > at && (back || asked > at + RETURN_TIMEOUT) {
                view.operation = None;
                view.idle_since = None;
            }
        }
    }

    /// Takes the waves that operators ask for, and which hosts of them are recorded as begun.
    pub fn apply_waves(
        &mut self,
        waves: &[MaintenanceWave],
        begun: &BTreeSet<(WaveId, String)>,
        now: BootTime,
    ) {
        for wave in waves {
            let view = self.waves.entry(wave.wave).or_insert_with(|| WaveView {
                first_seen: now,
                ..WaveView::default()
            });
            view.wave = wave.clone();
            let recorded = begun.iter().filter(|(id, _)| *id == wave.wave);
            view.maintained
                .extend(recorded.map(|(_, host)| HostId::from(host.as_str())));
        }
    }

    /// Takes when hosts were ordered by earlier owners; each is left alone for `pause` after,
    /// and one that was ordered lately for at least `least` from now.
    pub fn apply_earlier_orders(
        &mut self,
        ordered: &BTreeMap<String, Duration>,
        pause: Duration,
        least: Duration,
        now: DeskTime,
    ) {
        if std::mem::replace(&mut self.earlier_orders_applied, !self.hosts.is_empty()) {
            return;
        }
        for (host, &at) in ordered {
            let age = now.unix.saturating_sub(at);
            let least = if age < pause + MAX_CLOCK_DIFFERENCE {
                least
            } else {
                Duration::ZERO
            };
            let left = pause.saturating_sub(age).max(least);
            if let Some(view) = self.hosts.get_mut(host.as_str()) {
                view.earlier_order_until = now.boot + left;
                view.not_before = view.not_before.max(view.earlier_order_until);
            }
        }
    }

    /// What to order now. Keeps hosts free on `desk` that are to be ordered next.
    pub fn plan(&mut self, desk: &mut WorkDesk, now: BootTime) -> Vec<HostOrder> {
        desk.sync(now);
        self.update_idle(desk, now);
        self.plan_waves(desk, now);
        self.plan_moves(desk, now);
        let orders = self.ready_orders(desk, now);
        self.drain_hosts(desk);
        orders
    }

    /// Takes the answer to an order; true if the host began to do what was ordered.
    pub fn apply_answer(
        &mut self,
        order: &HostOrder,
        answer: &HostOrderAnswer,
        now: BootTime,
    ) -> bool {
        let Some(view) = self.hosts.get_mut(order.host()) else {
            return false;
        };
        let Some(errand) = view
            .operation
            .as_mut()
            .filter(|errand| errand.order == *order)
        else {
            return false;
        };
        match answer {
            HostOrderAnswer::Done => {
                errand.state = OperationState::Done(now);
                if let HostOrder::Maintain(host, wave) = order
                    && let Some(view) = self.waves.get_mut(wave)
                {
                    view.maintained.insert(host.clone());
                }
                return true;
            }
            // The order may still be carried out, so the host stays free of tasks, and the
            // same order is repeated until it is known: it is idempotent.
            HostOrderAnswer::Unanswered(_) | HostOrderAnswer::Refused(_) => {
                view.not_before = now + RETRY_PAUSE;
            }
            HostOrderAnswer::Busy | HostOrderAnswer::Fenced => {
                view.not_before = now + BUSY_PAUSE;
                view.operation = None;
            }
            HostOrderAnswer::NotOfWave => {
                if let HostOrder::Maintain(host, wave) = order
                    && let Some(view) = self.waves.get_mut(wave)
                {
                    view.maintained.insert(host.clone());
                }
                view.operation = None;
            }
            HostOrderAnswer::Impossible => {
                if let HostOrder::Move(host, pool) = order {
                    self.refused_moves.insert((host.clone(), pool.clone()));
                }
                view.operation = None;
            }
        }
        false
    }

    /// The life of a host as a target that its present order ends; `None` without one.
    pub fn operation_target(&self, host: &HostId) -> Option<HostId> {
        let errand = self.hosts.get(host)?.operation.as_ref()?;
        Some(errand.target.clone()).filter(|target| !target.is_empty())
    }

    /// Waves whose state for operators has changed, and whether they are completed.
    pub fn changed_waves(&mut self) -> Vec<(WaveId, bool)> {
        let mut changed = Vec::new();
        let listed = !self.hosts.is_empty();
        for (id, view) in &mut self.waves {
            let left = view
                .wave
                .hosts
                .iter()
                .any(|host| !view.maintained.contains(host) && self.hosts.contains_key(host));
            let completed = listed && !left;
            if view.published != Some(completed) {
                changed.push((*id, completed));
            }
        }
        changed
    }

    /// A wave's state has been written for operators.
    pub fn mark_wave_published(&mut self, wave: WaveId, completed: bool) {
        if let Some(view) = self.waves.get_mut(&wave) {
            view.published = Some(completed);
        }
    }

    fn update_idle(&mut self, desk: &WorkDesk, now: BootTime) {
        for view in self.hosts.values_mut() {
            let target = desk.targets.get(&view.fleet.target);
            let busy = target.is_some_and(|target| !target.is_empty());
            if busy {
                view.idle_since = None;
            } else {
                view.idle_since.get_or_insert(now);
            }
        }
    }

    fn drain_hosts(&self, desk: &mut WorkDesk) {
        let wanted = self.hosts.values().filter_map(|view| {
            let vacancy = match view.operation.as_ref()?.state {
                OperationState::Draining => HostDrainState::Draining,
                OperationState::Sent | OperationState::Done(_) => HostDrainState::Ordered,
            };
            Some((view.fleet.target.clone(), vacancy))
        });
        desk.keep_free(&wanted.collect());
    }

    /// Orders for hosts that are empty.
    fn ready_orders(&mut self, desk: &WorkDesk, now: BootTime) -> Vec<HostOrder> {
        let mut orders = Vec::new();
        for view in self.hosts.values_mut() {
            let target = desk.targets.get(&view.fleet.target);
            let empty = target.is_none_or(super::TargetState::is_empty);
            let Some(errand) = &mut view.operation else {
                continue;
            };
            let due = match errand.state {
                OperationState::Draining => empty,
                OperationState::Sent => now >= view.not_before && !view.not_before.is_zero(),
                OperationState::Done(_) => false,
            };
            if due {
                errand.state = OperationState::Sent;
                // Until the answer comes the order is not repeated.
                view.not_before = BootTime::ZERO;
                orders.push(errand.order.clone());
            }
        }
        orders
    }

    pub(super) fn begin_operation(&mut self, host: &HostId, order: HostOrder) {
        if let Some(view) = self.hosts.get_mut(host) {
            view.operation = Some(HostOperation {
                order,
                state: OperationState::Draining,
                target: view.fleet.target.clone(),
            });
        }
    }
}
