use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use decide::work::{
    SchedulerAction, SchedulerEvent, SchedulerTime, SchedulerTuning, WorkScheduler, record_of_plan,
};
use model::{BootTime, HostId, work::JobPlan, work::TaskKey};
use rand::{Rng, SeedableRng, rngs::StdRng};
use wire::work::JobRecord;

use super::{
    POOL, QUEUE, SPACE, plan,
    scene::terms_with_limit,
    step, target,
    world_ask::WorldAsk,
    world_call::{WorldCall, WorldOrder},
    world_faults::WorldFaults,
    world_list::{HostList, OwnerWatch},
    world_log::{LatePage, OwnerLog, WorldLog},
    world_target::WorldTarget,
};

/// Length of a step of the world.
pub(super) const TICK: Duration = Duration::from_millis(20);
/// How long after its lapse a target leaves the host list.
pub(super) const LIST_LAPSE: Duration = Duration::from_millis(4500);
/// Lease on the ownership.
pub(super) const OWNER_LEASE: Duration = Duration::from_millis(1500);
/// Room of a target, in thousandths of a core.
pub(super) const CAPACITY: u64 = 4000;
/// Limit of the workspace.
pub(super) const LIMIT: u64 = 9000;
/// Events that are kept for the trace of a fault.
const NOTES: usize = 60;

/// Targets, a log and the owners of a cell, with faults drawn from a seed.
pub struct DeskWorld {
    pub(super) dice: StdRng,
    /// For faults that came later: the seeds of the first ones show the same as before.
    pub(super) more: StdRng,
    pub(super) now: SchedulerTime,
    pub(super) faults: WorldFaults,
    pub(super) targets: BTreeMap<HostId, WorldTarget>,
    pub(super) list: HostList,
    pub(super) log: WorldLog,
    pub(super) late_pages: Vec<LatePage>,
    /// Since when and until when the store answers nobody.
    pub(super) store_away: Option<(BootTime, BootTime)>,
    pub(super) store_back: BootTime,
    /// Token of the owner whose entry stands.
    pub(super) token: u64,
    pub(super) owners: Vec<WorldOwner>,
    pub(super) next_owner: Option<BootTime>,
    pub(super) calls: Vec<WorldCall>,
    pub(super) asks: Vec<WorldAsk>,
    pub(super) jobs: BTreeMap<String, JobPlan>,
    /// Jobs whose tasks take long.
    pub(super) long: BTreeSet<String>,
    /// Jobs whose callers were told that they are accepted.
    pub(super) accepted: BTreeSet<String>,
    /// Jobs whose cancellation is in the log, and since when.
    pub(super) cancels_stored: BTreeMap<String, BootTime>,
    /// Jobs whose callers were told that they are cancelled, and when.
    pub(super) cancelled: BTreeMap<String, BootTime>,
    pub(super) done: BTreeSet<TaskKey>,
    pub(super) noted: BTreeSet<TaskKey>,
    /// When the store or the ownership was last disturbed.
    pub(super) core_disturbed: BootTime,
    /// What broke a promise.
    pub faults_found: Vec<String>,
    /// What happened to each task, for the trace of a fault.
    pub(super) history: BTreeMap<TaskKey, Vec<String>>,
    /// What happened besides.
    pub(super) notes: VecDeque<String>,
}

pub(super) struct WorldOwner {
    pub(super) desk: WorkScheduler,
    pub(super) token: u64,
    /// Since when it has no way to the store.
    pub(super) alone_since: Option<BootTime>,
    /// When it learns that its lease has lapsed.
    pub(super) over_at: Option<BootTime>,
    pub(super) looking: BTreeSet<HostId>,
    /// Targets that are not looked at again before a time.
    pub(super) look_after: BTreeMap<HostId, BootTime>,
    pub(super) lanes: BTreeMap<HostId, VecDeque<WorldOrder>>,
    pub(super) log: OwnerLog,
    pub(super) watch: OwnerWatch,
}

impl DeskWorld {
    pub fn new(seed: u64, targets: u32, faults: WorldFaults) -> Self {
        let now = SchedulerTime {
            boot: Duration::from_secs(1000),
            unix: Duration::from_secs(1_000_000),
        };
        let names = (0..targets).map(|number| HostId::from(format!("t{number}")));
        let fresh = |name: HostId| {
            let state = WorldTarget {
                born: Duration::from_secs(1),
                shown: Duration::from_secs(1),
                address: format!("{name}:80"),
                up: true,
                listed: true,
                ..WorldTarget::default()
            };
            (name, state)
        };
        let mut world = Self {
            dice: StdRng::seed_from_u64(seed),
            more: StdRng::seed_from_u64(!seed),
            now,
            faults,
            targets: names.map(fresh).collect(),
            list: HostList::default(),
            log: WorldLog::default(),
            late_pages: Vec::new(),
            store_away: None,
            store_back: BootTime::ZERO,
            token: 0,
            owners: Vec::new(),
            next_owner: None,
            calls: Vec::new(),
            asks: Vec::new(),
            jobs: BTreeMap::new(),
            long: BTreeSet::new(),
            accepted: BTreeSet::new(),
            cancels_stored: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            core_disturbed: BootTime::ZERO,
            faults_found: Vec::new(),
            history: BTreeMap::new(),
            notes: VecDeque::new(),
        };
        world.elect();
        world
    }

    /// Runs with faults and arrivals for a time, then calmly until all jobs should be done.
    pub fn run(&mut self, busy: Duration, calm: Duration) {
        let end = self.now.boot + busy;
        while self.now.boot < end {
            if self.chance(1.2) {
                self.submit();
            }
            self.draw_faults();
            self.advance();
        }
        self.faults = self.faults.calmed();
        let end = self.now.boot + calm;
        while self.now.boot < end && !self.is_done() {
            self.advance();
        }
        self.check_done();
    }

    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn chance(&mut self, a_second: f64) -> bool {
        let part = a_second * TICK.as_secs_f64();
        self.dice.random::<f64>() < part
    }

    fn advance(&mut self) {
        self.now.boot += TICK;
        self.now.unix += TICK;
        self.move_targets();
        self.return_store();
        self.land_late_pages();
        self.write_entries();
        self.deliver_calls();
        self.return_answers();
        self.ask_owner();
        self.run_owners();
        self.check_cancelled();
    }

    /// Hands a job in at the present owner, if it is sure of its lease.
    fn submit(&mut self) {
        let Some(index) = self
            .owners
            .iter()
            .position(|owner| owner.token == self.token)
        else {
            return;
        };
        let steps = self.dice.random_range(1..=3_u32);
        let steps = (0..steps).map(|number| {
            let mut step = step(
                self.dice.random_range(1..=4),
                self.dice.random_range(1..=8) * 250,
            );
            step.after = (0..number).collect();
            step.gang = self.dice.random_bool(0.2) && step.count * 1000 <= 4000;
            step
        });
        let plan = plan(steps.collect());
        let job = format!("job{}", self.jobs.len());
        let record = JobRecord {
            job: job.clone(),
            queue: QUEUE.to_owned(),
            pool: POOL.to_owned(),
            workspace: SPACE.to_owned(),
            accepted_unix_ms: u64::try_from(self.now.unix.as_millis()).unwrap_or_default(),
            ..record_of_plan(&plan)
        };
        self.jobs.insert(job.clone(), plan);
        self.hand_in(index, record);
        self.draw_cancels(&job);
    }

    fn move_targets(&mut self) {
        let now = self.now.boot;
        let unix = self.now.unix;
        let mut born = Vec::new();
        let (late, dice) = (self.faults.late_lists, &mut self.dice);
        for (name, state) in &mut self.targets {
            let away = !state.up || state.cut;
            if away && now >= state.back_at {
                if state.replaced {
                    born.push((state.address.clone(), state.successor(name, self.now)));
                    state.back_at = BootTime::MAX;
                } else if !state.up {
                    let late = late > 0.0 && dice.random_bool(late);
                    let delay = late.then(|| dice.random_range(100..4000));
                    *state = WorldTarget {
                        born: unix,
                        shown: state.shown,
                        shown_until: now + Duration::from_millis(delay.unwrap_or(0)),
                        // Where lives begin unnoticed their clocks matter.
                        zero: if self.faults.lists {
                            now
                        } else {
                            BootTime::ZERO
                        },
                        address: state.address.clone(),
                        up: true,
                        ..WorldTarget::default()
                    };
                }
                state.cut = false;
            }
            if now >= state.shown_until {
                state.shown = state.born;
            }
            let away = !state.up || state.cut;
            state.listed = !away || now < state.down_since + LIST_LAPSE;
            state.finish(now);
        }
        for (_, (name, state)) in born {
            self.note(&format!("{name} begins at {}", state.address));
            self.targets.insert(name, state);
        }
        let ended: Vec<_> = self
            .targets
            .values()
            .flat_map(|state| state.ended.iter().cloned())
            .collect();
        for end in ended
            .iter()
            .filter(|end| end.kind == model::work::EndKind::Done)
        {
            self.done.insert(end.task.clone());
        }
    }

    fn elect(&mut self) {
        self.token += 7;
        let mut desk = WorkScheduler::new(SchedulerTuning::default(), self.token);
        for entry in self.log.entries() {
            desk.replay(entry, self.now);
        }
        desk.finish_replay(self.now);
        desk.set_policy(std::sync::Arc::new(terms_with_limit(LIMIT)));
        self.owners.push(WorldOwner {
            desk,
            token: self.token,
            alone_since: None,
            over_at: None,
            looking: BTreeSet::new(),
            look_after: BTreeMap::new(),
            lanes: BTreeMap::new(),
            log: OwnerLog::found(&self.log),
            watch: OwnerWatch::default(),
        });
        self.next_owner = None;
        self.note_core(&format!("owner {} begins", self.token));
        self.check_elected();
    }

    fn run_owners(&mut self) {
        let elects = self.next_owner.is_some_and(|at| self.now.boot >= at);
        if elects && self.store_away.is_none() {
            self.elect();
        }
        let mut owners = std::mem::take(&mut self.owners);
        let alone = SchedulerTuning::default().store_outage_limit + OWNER_LEASE;
        owners.retain(|owner| {
            let over = owner.over_at.is_some_and(|at| self.now.boot >= at);
            let since = self.lonely_since(owner);
            !over && since.is_none_or(|since| self.now.boot < since + alone)
        });
        let mut kept = Vec::new();
        for mut owner in owners {
            if self.run_owner(&mut owner) {
                kept.push(owner);
            } else if owner.token == self.token && self.next_owner.is_none() {
                self.next_owner = Some(self.now.boot + OWNER_LEASE);
            }
        }
        let stands = kept.iter().any(|owner| owner.token == self.token);
        if !stands && self.next_owner.is_none() {
            self.next_owner = Some(self.now.boot + OWNER_LEASE);
        }
        self.owners = kept;
    }

    /// Since when an owner has not renewed its lease.
    fn lonely_since(&self, owner: &WorldOwner) -> Option<BootTime> {
        let away = self.store_away.map(|(since, _)| since);
        [owner.alone_since, away].into_iter().flatten().min()
    }

    /// True if another may own the cell, as far as an owner knows.
    pub(super) fn is_lapsed(&self, owner: &WorldOwner) -> bool {
        // A lease is not counted on in its last part.
        let lapse = OWNER_LEASE - Duration::from_millis(100);
        self.lonely_since(owner)
            .is_some_and(|since| self.now.boot >= since + lapse)
    }

    /// Lets an owner decide; false if it has resigned.
    fn run_owner(&mut self, owner: &mut WorldOwner) -> bool {
        let now = self.now;
        let alone = self.is_lapsed(owner);
        owner.desk.set_ownership_uncertain(alone);
        if self.faults.lists {
            self.follow_list(owner);
            self.follow_lives(owner);
        } else {
            self.list_at_once(owner);
        }
        if !self.write_log(owner) {
            return false;
        }
        owner.desk.tick(now);
        owner.desk.plan_starts(now);
        let known: Vec<HostId> = owner.desk.targets.keys().cloned().collect();
        for name in known {
            let paused = owner.look_after.get(&name);
            if owner.looking.contains(&name) || paused.is_some_and(|until| now.boot < *until) {
                continue;
            }
            if let Some(order) = owner.desk.poll_order(&name, now) {
                owner.looking.insert(name.clone());
                self.send(owner.token, name, WorldOrder::Look(order));
            }
        }
        for order in owner.desk.take_actions() {
            match order {
                SchedulerAction::AppendLog(record) => owner.log.add(record, now.boot + TICK),
                SchedulerAction::Start(name, order) => {
                    self.give(owner, name, WorldOrder::Start(order));
                }
                SchedulerAction::Stop(name, order) => {
                    self.give(owner, name, WorldOrder::Stop(order));
                }
                SchedulerAction::StepDown(_) => return false,
                SchedulerAction::Poll(name) if self.faults.lists => {
                    if let Some(mut order) = owner.desk.poll_order(&name, now) {
                        order.wait = Duration::ZERO;
                        self.send(owner.token, name, WorldOrder::LookNow(order));
                    }
                }
                SchedulerAction::Poll(_)
                | SchedulerAction::Throttle(..)
                | SchedulerAction::RequestAdvice(..) => {}
            }
        }
        self.send_waiting(owner, alone);
        let broken = owner.desk.index_mismatches(now.boot);
        assert!(
            broken.is_empty(),
            "indexes that differ from the books: {broken:?}"
        );
        for event in owner.desk.take_events() {
            if let SchedulerEvent::TargetLost(..) | SchedulerEvent::TargetUsable(..) = event {
                self.note(&format!("owner {}: {event:?}", owner.token));
            }
        }
        true
    }

    /// Shows the host list as it is.
    fn list_at_once(&self, owner: &mut WorldOwner) {
        for (name, state) in &self.targets {
            let listed = owner
                .desk
                .targets
                .get(name)
                .is_some_and(|known| known.listed);
            let known = owner
                .desk
                .targets
                .get(name)
                .map(|known| known.incarnation.started_at);
            if state.listed && (!listed || (state.up && known != Some(state.shown))) {
                let mut entry = target(name, CAPACITY);
                entry.started_at = state.shown;
                owner.desk.upsert_target(entry, self.now);
            } else if !state.listed && listed {
                owner.desk.mark_target_unlisted(name);
            }
        }
    }

    pub(super) fn note(&mut self, what: &str) {
        if self.notes.len() == NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back(format!("{:?} {what}", self.now.boot));
    }

    /// Notes a disturbance of the store or of the ownership.
    pub(super) fn note_core(&mut self, what: &str) {
        self.core_disturbed = self.now.boot;
        self.note(what);
    }

    pub(super) fn tell(&mut self, task: &TaskKey, what: &str) {
        let at = self.now.boot;
        let told = self.history.entry(task.clone()).or_default();
        told.push(format!("{at:?} {what}"));
    }
}
