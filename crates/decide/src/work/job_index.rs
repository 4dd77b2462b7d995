use std::collections::{BTreeMap, BTreeSet, HashMap};

use compact_str::CompactString;
use model::{
    BootTime, JobId, PoolId, WorkspaceId,
    work::{FleetTerms, HostRoom},
};

use super::{
    OccurrenceState, StepState, WorkJob, WorkPhase,
    objective::{RankClass, rank},
    ranked_steps::{RankedSteps, WaitingStep},
    step_key::StepKey,
};

/// Jobs by what decisions ask for, so that none walks over all of them.
///
/// It says nothing that the books of jobs don't: it can be made anew from them at any time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct JobIndex {
    facts: HashMap<JobId, JobFacts>,
    /// What waits in each pool.
    pools: BTreeMap<PoolId, BTreeMap<WaitingGroup, RankedSteps>>,
    /// Open jobs of each queue that have not begun.
    pending: BTreeMap<CompactString, u64>,
    needs: BTreeMap<PoolId, PoolNeed>,
    /// What is to be started in each pool: of predecessors' jobs, and of others.
    backlogs: BTreeMap<(PoolId, bool), PoolBacklog>,
    /// What tasks of predecessors' jobs that are not known to run would take, for each pool.
    doubts: BTreeMap<PoolId, BTreeMap<WorkspaceId, HostRoom>>,
    /// How many open jobs of each pool need so many hosts for tasks that may not share one.
    apart: BTreeMap<PoolId, BTreeMap<usize, usize>>,
    /// When the rank of a job's steps changes.
    reranks: BTreeSet<(BootTime, JobId)>,
    /// Open jobs with occurrences that are not due yet.
    pub(super) repeating: BTreeSet<JobId>,
    /// Open jobs with steps that start whole.
    pub(super) gangs: BTreeSet<JobId>,
    /// Jobs that have ended and hold nothing, by the time of their end.
    ended: BTreeSet<(BootTime, JobId)>,
}

/// Steps that are started or passed over together.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingGroup {
    /// Whose limit counts.
    pub(super) workspace: WorkspaceId,
    /// Whether a predecessor may have started tasks of them.
    pub(super) inherited: bool,
}

/// What open jobs of a pool need, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PoolNeed {
    /// For what runs or could start now.
    pub(super) present: u64,
    /// For tasks that last.
    pub(super) lasting: u64,
}

/// Tasks of open jobs of a pool that have not been started, also those of steps that wait for others.
/// Tasks that last are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PoolBacklog {
    /// Those within the share of their workspace that can still be in time, or late and count.
    pub(super) owed: u64,
    /// Those within the share that are too late to count.
    pub(super) overdue: u64,
    /// Those beyond the share.
    pub(super) beyond: u64,
}

impl PoolBacklog {
    fn plus(self, other: Self) -> Self {
        Self {
            owed: self.owed + other.owed,
            overdue: self.overdue + other.overdue,
            beyond: self.beyond + other.beyond,
        }
    }

    /// Those within the share of their workspace.
    pub(super) fn within_share(&self) -> u64 {
        self.owed + self.overdue
    }

    /// All of them.
    pub(super) fn all(&self) -> u64 {
        self.within_share() + self.beyond
    }
}

/// What the index knows of a job.
#[derive(Clone, Debug, Default, PartialEq)]
struct JobFacts {
    pool: PoolId,
    group: WaitingGroup,
    waiting: Vec<WaitingStep>,
    rerank: Option<BootTime>,
    /// Its queue, if it is open and has not begun.
    pending: Option<CompactString>,
    need: PoolNeed,
    backlog: PoolBacklog,
    doubt: HostRoom,
    apart: usize,
    repeats: bool,
    gang: bool,
    ended: Option<BootTime>,
}

impl JobFacts {
    fn of(job: &WorkJob, terms: &FleetTerms, now: BootTime) -> Self {
        let mut facts = Self {
            pool: job.pool.clone(),
            ..Self::default()
        };
        facts.group = WaitingGroup {
            workspace: job.workspace.clone(),
            inherited: job.inherited,
        };
        // Tasks of a job that was cancelled or failed run on until they can be stopped there.
        if job.inherited && job.phase != WorkPhase::Completed {
            facts.doubt = doubt_of(job);
        }
        if !job.is_open() {
            facts.ended = (job.unstored == 0).then_some(job.ended);
            return facts;
        }
        facts.pending = (!job.begun).then(|| job.queue.clone());
        facts.repeats = job.opened < job.plan.occurrences();
        facts.gang = job.plan.steps.iter().any(|step| step.gang);
        let apart = job.plan.steps.iter().filter(|step| step.anti_affinity > 0);
        let hosts = apart.map(|step| step.count.div_ceil(step.anti_affinity));
        facts.apart = hosts.max().unwrap_or_default() as usize;
        facts.take_steps(job, terms, now);
        facts
    }

    fn take_steps(&mut self, job: &WorkJob, terms: &FleetTerms, now: BootTime) {
        let queue = terms.queue(&job.queue);
        let advised = queue.is_some_and(|queue| queue.advice.is_some());
        for (&number, occurrence) in &job.occurrences {
            let mut ranked = None;
            let unstarted = unstarted(job, occurrence);
            if unstarted > 0 && job.phase != WorkPhase::Held {
                let (rank, until) =
                    *ranked.get_or_insert_with(|| rank(job, occurrence, queue, now));
                self.rerank = until.into_iter().chain(self.rerank).min();
                match rank.class {
                    _ if job.beyond_share => self.backlog.beyond += unstarted,
                    RankClass::Overdue => self.backlog.overdue += unstarted,
                    _ => self.backlog.owed += unstarted,
                }
            }
            for (step, state) in occurrence.steps.iter().enumerate() {
                if state.is_done() || !occurrence.is_ready(&job.plan, step) {
                    continue;
                }
                let plan = &job.plan.steps[step];
                let left = u64::from(plan.count.saturating_sub(state.done));
                let cpu = plan.footprint().cpu * left;
                if plan.long_running {
                    self.need.lasting += cpu;
                } else {
                    self.need.present += cpu;
                }
                let busy = (state.done + state.placed) as usize >= state.tasks.len();
                if busy || job.phase == WorkPhase::Held {
                    continue;
                }
                let (rank, until) =
                    *ranked.get_or_insert_with(|| rank(job, occurrence, queue, now));
                self.rerank = until.into_iter().chain(self.rerank).min();
                // Tasks that last may take a target that is being emptied or pauses, and advice is
                // asked for early: they are looked at whatever room there is.
                let needs_room = !plan.long_running && !advised;
                let (room, need) = match needs_room {
                    true => (plan.footprint(), plan.need),
                    false => Default::default(),
                };
                self.waiting.push(WaitingStep {
                    rank,
                    step: StepKey {
                        job: job.id.clone(),
                        occurrence: number,
                        step: u32::try_from(step).unwrap_or(u32::MAX),
                    },
                    room,
                    need,
                });
            }
        }
    }

    /// True if something may be started by what has changed since `before`.
    fn brings_work(&self, before: &Self) -> bool {
        let new = |step: &WaitingStep| !before.waiting.contains(step);
        self.waiting.iter().any(new)
            || before.pool != self.pool
            || before.group.inherited != self.group.inherited
    }
}

impl JobIndex {
    /// Takes in what became of a job; the pool in which something may be started by that is added to
    /// `due`.
    pub(super) fn update(
        &mut self,
        id: &JobId,
        job: Option<&WorkJob>,
        terms: &FleetTerms,
        now: BootTime,
        due: &mut BTreeSet<PoolId>,
    ) {
        let new = job.map(|job| JobFacts::of(job, terms, now));
        if self.facts.get(id) == new.as_ref() {
            return;
        }
        let old = self.facts.remove(id).unwrap_or_default();
        self.take_out(id, &old);
        let Some(new) = new else {
            return;
        };
        if new.brings_work(&old) {
            due.insert(new.pool.clone());
        }
        self.put_in(id, &new);
        self.facts.insert(id.clone(), new);
    }

    /// Jobs whose rank has changed by time.
    pub(super) fn take_reranked(&mut self, now: BootTime) -> Vec<JobId> {
        let mut due = Vec::new();
        while let Some((until, _)) = self.reranks.first()
            && *until < now
        {
            due.extend(self.reranks.pop_first().map(|(_, id)| id));
        }
        due
    }

    /// Pools in which something waits.
    pub(super) fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// What waits in a pool.
    pub(super) fn groups(&self, pool: &str) -> impl Iterator<Item = (&WaitingGroup, &RankedSteps)> {
        self.pools.get(pool).into_iter().flatten()
    }

    /// Open jobs of a queue that have not begun.
    pub(super) fn pending(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or_default()
    }

    /// What open jobs of a pool need.
    pub(super) fn need(&self, pool: &str) -> PoolNeed {
        self.needs.get(pool).copied().unwrap_or_default()
    }

    /// What is to be started in a pool; `inherited` adds what predecessors have accepted.
    pub(super) fn backlog(&self, pool: &PoolId, inherited: bool) -> PoolBacklog {
        let of = |inherited| {
            let backlog = self.backlogs.get(&(pool.clone(), inherited));
            backlog.copied().unwrap_or_default()
        };
        let (own, before): (PoolBacklog, PoolBacklog) = (of(false), of(true));
        match inherited {
            true => own.plus(before),
            false => own,
        }
    }

    /// What is to be started in all pools.
    pub(super) fn backlog_of_all(&self) -> PoolBacklog {
        let backlogs = self.backlogs.values().copied();
        backlogs.fold(PoolBacklog::default(), PoolBacklog::plus)
    }

    /// What workspaces may have running on targets of some pools that have not been reached.
    pub(super) fn doubt(&self, pools: &BTreeSet<PoolId>) -> BTreeMap<WorkspaceId, HostRoom> {
        let mut usage: BTreeMap<WorkspaceId, HostRoom> = BTreeMap::new();
        let doubts = pools.iter().filter_map(|pool| self.doubts.get(pool));
        for (workspace, doubt) in doubts.flatten() {
            let used = usage.entry(workspace.clone()).or_default();
            *used = used.plus(*doubt);
        }
        usage
    }

    /// Hosts that an open job of a pool needs for tasks that may not share one; 0 if none does.
    pub(super) fn apart(&self, pool: &str) -> usize {
        let hosts = self.apart.get(pool).and_then(BTreeMap::last_key_value);
        hosts.map_or(0, |(hosts, _)| *hosts)
    }

    /// Jobs that ended before a time and hold nothing.
    pub(super) fn ended_before(&self, before: BootTime) -> Vec<JobId> {
        let ended = self.ended.range(..(before, JobId::default()));
        ended.map(|(_, id)| id.clone()).collect()
    }

    fn put_in(&mut self, id: &JobId, facts: &JobFacts) {
        if !facts.waiting.is_empty() {
            let pool = self.pools.entry(facts.pool.clone()).or_default();
            let steps = pool.entry(facts.group.clone()).or_default();
            for step in &facts.waiting {
                steps.insert(step.clone());
            }
        }
        if let Some(queue) = &facts.pending {
            *self.pending.entry(queue.clone()).or_default() += 1;
        }
        if facts.need != PoolNeed::default() {
            let need = self.needs.entry(facts.pool.clone()).or_default();
            need.present += facts.need.present;
            need.lasting += facts.need.lasting;
        }
        if facts.backlog != PoolBacklog::default() {
            let key = (facts.pool.clone(), facts.group.inherited);
            let backlog = self.backlogs.entry(key).or_default();
            *backlog = backlog.plus(facts.backlog);
        }
        if facts.doubt != HostRoom::default() {
            let pool = self.doubts.entry(facts.pool.clone()).or_default();
            let doubt = pool.entry(facts.group.workspace.clone()).or_default();
            *doubt = doubt.plus(facts.doubt);
        }
        if facts.apart > 0 {
            let apart = self.apart.entry(facts.pool.clone()).or_default();
            *apart.entry(facts.apart).or_default() += 1;
        }
        if let Some(until) = facts.rerank {
            self.reranks.insert((until, id.clone()));
        }
        if facts.repeats {
            self.repeating.insert(id.clone());
        }
        if facts.gang {
            self.gangs.insert(id.clone());
        }
        if let Some(ended) = facts.ended {
            self.ended.insert((ended, id.clone()));
        }
    }

    fn take_out(&mut self, id: &JobId, facts: &JobFacts) {
        self.take_out_steps(facts);
        if let Some(queue) = &facts.pending
            && let Some(pending) = self.pending.get_mut(queue)
        {
            *pending -= 1;
            if *pending == 0 {
                self.pending.remove(queue);
            }
        }
        if let Some(need) = self.needs.get_mut(&facts.pool) {
            need.present -= facts.need.present;
            need.lasting -= facts.need.lasting;
            if *need == PoolNeed::default() {
                self.needs.remove(&facts.pool);
            }
        }
        if facts.backlog != PoolBacklog::default() {
            self.take_out_backlog(facts);
        }
        if facts.doubt != HostRoom::default() {
            self.take_out_doubt(facts);
        }
        if facts.apart > 0 {
            self.take_out_apart(facts);
        }
        if let Some(until) = facts.rerank {
            self.reranks.remove(&(until, id.clone()));
        }
        if facts.repeats {
            self.repeating.remove(id);
        }
        if facts.gang {
            self.gangs.remove(id);
        }
        if let Some(ended) = facts.ended {
            self.ended.remove(&(ended, id.clone()));
        }
    }

    fn take_out_steps(&mut self, facts: &JobFacts) {
        let Some(pool) = self.pools.get_mut(&facts.pool) else {
            return;
        };
        if let Some(steps) = pool.get_mut(&facts.group) {
            for step in &facts.waiting {
                steps.remove(&step.key());
            }
            if steps.is_empty() {
                pool.remove(&facts.group);
            }
        }
        if pool.is_empty() {
            self.pools.remove(&facts.pool);
        }
    }

    fn take_out_doubt(&mut self, facts: &JobFacts) {
        let Some(pool) = self.doubts.get_mut(&facts.pool) else {
            return;
        };
        if let Some(doubt) = pool.get_mut(&facts.group.workspace) {
            *doubt = doubt.minus(facts.doubt);
            if *doubt == HostRoom::default() {
                pool.remove(&facts.group.workspace);
            }
        }
        if pool.is_empty() {
            self.doubts.remove(&facts.pool);
        }
    }

    fn take_out_backlog(&mut self, facts: &JobFacts) {
        let key = (facts.pool.clone(), facts.group.inherited);
        let Some(backlog) = self.backlogs.get_mut(&key) else {
            return;
        };
        backlog.owed -= facts.backlog.owed;
        backlog.overdue -= facts.backlog.overdue;
        backlog.beyond -= facts.backlog.beyond;
        if *backlog == PoolBacklog::default() {
            self.backlogs.remove(&key);
        }
    }

    fn take_out_apart(&mut self, facts: &JobFacts) {
        let Some(apart) = self.apart.get_mut(&facts.pool) else {
            return;
        };
        if let Some(jobs) = apart.get_mut(&facts.apart) {
            *jobs -= 1;
            if *jobs == 0 {
                apart.remove(&facts.apart);
            }
        }
        if apart.is_empty() {
            self.apart.remove(&facts.pool);
        }
    }
}

/// Tasks of an occurrence that have not been started, but for those that last.
fn unstarted(job: &WorkJob, occurrence: &OccurrenceState) -> u64 {
    let steps = occurrence.steps.iter().zip(&job.plan.steps);
    let steps = steps.filter(|(_, plan)| !plan.long_running);
    let left = |state: &StepState| {
        let taken = u64::from(state.done) + u64::from(state.placed);
        (state.tasks.len() as u64).saturating_sub(taken)
    };
    steps.map(|(state, _)| left(state)).sum()
}

/// What tasks of a job that are neither done nor known to run would take.
fn doubt_of(job: &WorkJob) -> HostRoom {
    let steps = job
        .occurrences
        .values()
        .flat_map(|occurrence| occurrence.steps.iter().zip(&job.plan.steps));
    let rooms = steps.map(|(state, plan)| plan.need.times(u64::from(state.waiting())));
    rooms.fold(HostRoom::default(), HostRoom::plus)
}
