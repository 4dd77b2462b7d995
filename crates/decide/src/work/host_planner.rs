use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{
    BootTime, DataCentreId, HostId, PoolId,
    work::{FleetHost, HostCondition, HostOrderAnswer, MaintenanceWave, WaveId},
};

use super::{DemandMeter, HostDrainState, JobTable, SchedulerTime, WorkScheduler};

/// Pause after an order that was refused because the host was busy.
const BUSY_PAUSE: Duration = Duration::from_millis(700);
/// Pause after an order that was not answered or that was refused for now.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time after which an ordered host is assumed to be back although the host list does not show it,
/// so that a list that never catches up does not block its wave.
const RETURN_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum assumed difference between the wall clocks of two owners: they are synchronized to
/// within milliseconds, but jump by some seconds at times.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(5);

/// Age beyond which an arrival has almost no weight in the arrival rates.
const RECENT_ARRIVALS: Duration = Duration::from_secs(10);

/// An order to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrder {
    /// Move the host to a pool.
    Move(HostId, PoolId),
    /// Take the host down for the maintenance of a wave.
    Maintain(HostId, WaveId),
}

impl HostOrder {
    /// Returns the host that the order is for.
    pub fn host(&self) -> &HostId {
        match self {
            Self::Move(host, _) | Self::Maintain(host, _) => host,
        }
    }
}

/// Decides which hosts are moved and maintained, and when.
///
/// Orders never interrupt tasks: a host is drained first and is only ordered once it is empty.
#[derive(Clone, Debug, Default)]
pub struct HostPlanner {
    /// Hosts of the latest host list.
    pub(super) hosts: BTreeMap<HostId, HostView>,
    pub(super) waves: BTreeMap<WaveId, WaveView>,
    /// Demand of the pools.
    pub meter: DemandMeter,
    pub(super) refused_moves: BTreeSet<(HostId, PoolId)>,
    /// Whether the orders of earlier owners have been applied.
    pub(super) earlier_orders_applied: bool,
    /// Data centres that operators have drained; their hosts are no capacity.
    pub(super) drained_data_centres: BTreeSet<DataCentreId>,
    /// Number of hosts that an idle pool keeps.
    pub(super) min_idle_hosts: usize,
    /// Cores that each pool wants, if the fleet is divided fairly.
    pub(super) wanted_cores: BTreeMap<PoolId, f64>,
    /// Cores due to each pool while the pools want more than there is; empty otherwise.
    pub(super) parts: BTreeMap<PoolId, f64>,
    /// Since when a pool has been above its part and another one below.
    pub(super) unequal_since: Option<BootTime>,
    /// Number of hosts that each pool needs for tasks with anti-affinity, and for steps that were
    /// denied its targets.
    pub(super) required_hosts: BTreeMap<PoolId, usize>,
}

/// State of a host.
#[derive(Clone, Debug, Default)]
pub(super) struct HostView {
    pub(super) fleet: FleetHost,
    pub(super) operation: Option<HostOperation>,
    /// Time since which nothing has run on the host; `None` while something does.
    pub(super) idle_since: Option<BootTime>,
    pub(super) not_before: BootTime,
    /// Since when tasks are to leave the host so that it can be moved to another pool.
    pub(super) vacating_since: Option<BootTime>,
    /// Time until which an earlier owner's order to the host may still take effect.
    pub(super) earlier_order_until: BootTime,
}

/// A move or maintenance of a host that is in progress.
#[derive(Clone, Debug)]
pub(super) struct HostOperation {
    pub(super) order: HostOrder,
    pub(super) state: OperationState,
    /// Target id of the host before the order.
    pub(super) target: HostId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OperationState {
    /// The host is draining.
    Draining,
    /// The order was sent. It is unanswered and may still be carried out.
    Sent,
    /// The order was carried out; with the time of the answer.
    Done(BootTime),
}

/// State of a maintenance wave.
#[derive(Clone, Debug, Default)]
pub(super) struct WaveView {
    pub(super) wave: MaintenanceWave,
    pub(super) first_seen: BootTime,
    pub(super) maintained: BTreeSet<HostId>,
    pub(super) published: Option<bool>,
}

impl HostPlanner {
    /// Replays recent arrivals that earlier owners accepted, so that a rise in demand is noticed
    /// without first measuring the arrival rate anew.
    pub fn replay_arrivals(&mut self, board: &JobTable, now: BootTime) {
        let jobs = board.jobs.values();
        let mut recent: Vec<_> = jobs
            .filter(|job| now.saturating_sub(job.arrived) < RECENT_ARRIVALS)
            .collect();
        recent.sort_by_key(|job| job.arrived);
        for job in recent {
            self.meter
                .record_arrival(&job.pool, job.plan.core_seconds(), job.arrived);
        }
    }

    /// Applies a host list that was requested at `requested_at`.
    pub fn apply_host_list(&mut self, hosts: Vec<FleetHost>, requested_at: BootTime) {
        let present: BTreeSet<HostId> = hosts.iter().map(|host| host.host.clone()).collect();
        self.hosts.retain(|host, _| present.contains(host));
        for fleet in hosts {
            let view = self.hosts.entry(fleet.host.clone()).or_default();
            view.fleet = fleet;
            let Some(operation) = &view.operation else {
                continue;
            };
            let OperationState::Done(done_at) = operation.state else {
                continue;
            };
            // A host that is switched off has no target id, neither before nor after the operation.
            let is_new_target =
                view.fleet.target != operation.target || operation.target.is_empty();
            let is_in_place = match &operation.order {
                HostOrder::Move(_, pool) => view.fleet.pool == *pool,
                HostOrder::Maintain(..) => is_new_target,
            };
            let is_back = view.fleet.condition == HostCondition::Up && is_in_place;
            if requested_at > done_at && (is_back || requested_at > done_at + RETURN_TIMEOUT) {
                view.operation = None;
                view.idle_since = None;
            }
        }
    }

    /// Applies the waves that operators request. `begun` lists the hosts whose maintenance is
    /// recorded as begun.
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

    /// Applies the times at which earlier owners last ordered hosts. A host gets no order until
    /// `pause` after the last one, and if that was recent, for at least `min_pause` from now.
    pub fn apply_earlier_orders(
        &mut self,
        ordered: &BTreeMap<String, Duration>,
        pause: Duration,
        min_pause: Duration,
        now: SchedulerTime,
    ) {
        if std::mem::replace(&mut self.earlier_orders_applied, !self.hosts.is_empty()) {
            return;
        }
        for (host, &ordered_at) in ordered {
            let age = now.unix.saturating_sub(ordered_at);
            let min_pause = if age < pause + MAX_CLOCK_DIFFERENCE {
                min_pause
            } else {
                Duration::ZERO
            };
            let remaining = pause.saturating_sub(age).max(min_pause);
            if let Some(view) = self.hosts.get_mut(host.as_str()) {
                view.earlier_order_until = now.boot + remaining;
                view.not_before = view.not_before.max(view.earlier_order_until);
            }
        }
    }

    /// Returns the orders to send now, and drains hosts on `scheduler` that are to be ordered next.
    pub fn plan(&mut self, scheduler: &mut WorkScheduler, now: BootTime) -> Vec<HostOrder> {
        scheduler.sync_indexes(now);
        self.drained_data_centres
            .clone_from(&scheduler.drained_data_centres);
        self.update_idle(scheduler, now);
        self.plan_waves(scheduler, now);
        self.plan_moves(scheduler, now);
        let orders = self.ready_orders(scheduler, now);
        self.drain_hosts(scheduler);
        orders
    }

    /// Applies the answer to an order; returns true if the host began to carry it out.
    pub fn apply_answer(
        &mut self,
        order: &HostOrder,
        answer: &HostOrderAnswer,
        now: BootTime,
    ) -> bool {
        let Some(view) = self.hosts.get_mut(order.host()) else {
            return false;
        };
        let Some(operation) = view
            .operation
            .as_mut()
            .filter(|operation| operation.order == *order)
        else {
            return false;
        };
        match answer {
            HostOrderAnswer::Done => {
                operation.state = OperationState::Done(now);
                if let HostOrder::Maintain(host, wave) = order
                    && let Some(view) = self.waves.get_mut(wave)
                {
                    view.maintained.insert(host.clone());
                }
                return true;
            }
            // The order may still be carried out, so the host stays drained. The same order, which
            // is idempotent, is repeated until its outcome is known.
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

    /// Returns the target id that the host's current operation ends; `None` without one.
    pub fn operation_target(&self, host: &HostId) -> Option<HostId> {
        let operation = self.hosts.get(host)?.operation.as_ref()?;
        Some(operation.target.clone()).filter(|target| !target.is_empty())
    }

    /// Returns the waves whose published state has changed, and whether they are completed.
    pub fn changed_waves(&mut self) -> Vec<(WaveId, bool)> {
        let mut changed = Vec::new();
        let listed = !self.hosts.is_empty();
        for (id, view) in &mut self.waves {
            let any_left = view
                .wave
                .hosts
                .iter()
                .any(|host| !view.maintained.contains(host) && self.hosts.contains_key(host));
            let completed = listed && !any_left;
            if view.published != Some(completed) {
                changed.push((*id, completed));
            }
        }
        changed
    }

    /// Marks the state of a wave as published to operators.
    pub fn mark_wave_published(&mut self, wave: WaveId, completed: bool) {
        if let Some(view) = self.waves.get_mut(&wave) {
            view.published = Some(completed);
        }
    }

    /// Returns true if the host is in a data centre that operators have drained.
    pub(super) fn is_drained(&self, view: &HostView) -> bool {
        self.drained_data_centres.contains(&view.fleet.data_centre)
    }

    fn update_idle(&mut self, scheduler: &WorkScheduler, now: BootTime) {
        for view in self.hosts.values_mut() {
            let target = scheduler.targets.get(&view.fleet.target);
            let busy = target.is_some_and(|target| !target.is_empty());
            if busy {
                view.idle_since = None;
            } else {
                view.idle_since.get_or_insert(now);
            }
        }
    }

    fn drain_hosts(&self, scheduler: &mut WorkScheduler) {
        let drains = self.hosts.values().filter_map(|view| {
            let drain = match view.operation.as_ref()?.state {
                OperationState::Draining => HostDrainState::Draining,
                OperationState::Sent | OperationState::Done(_) => HostDrainState::Ordered,
            };
            Some((view.fleet.target.clone(), drain))
        });
        scheduler.set_drains(&drains.collect());
    }

    /// Returns the orders for hosts that are empty.
    fn ready_orders(&mut self, scheduler: &WorkScheduler, now: BootTime) -> Vec<HostOrder> {
        let mut orders = Vec::new();
        for view in self.hosts.values_mut() {
            let target = scheduler.targets.get(&view.fleet.target);
            let empty = target.is_none_or(super::TargetState::is_empty);
            let Some(operation) = &mut view.operation else {
                continue;
            };
            let due = match operation.state {
                OperationState::Draining => empty,
                OperationState::Sent => now >= view.not_before && !view.not_before.is_zero(),
                OperationState::Done(_) => false,
            };
            if due {
                operation.state = OperationState::Sent;
                // The order is not repeated before its answer or timeout.
                view.not_before = BootTime::ZERO;
                orders.push(operation.order.clone());
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
