use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{BootTime, PoolId, WorkspaceId};

use super::{decaying_sum::DecayingSum, ranked_steps::StepRank, step_key::StepKey};

/// Time constant in seconds of the service time that counts for a workspace's turn.
const USAGE_WINDOW_SECS: f64 = 3.0;
/// Service time in seconds below which a workspace's usage is forgotten.
const MIN_USAGE: f64 = 0.001;
/// Number of steps of a pool that get tickets before there is room for their tasks.
const MAX_READY_STEPS: usize = 4;
/// Minimum time between two examinations of a step for which there is nothing to request.
const EXAMINE_INTERVAL: Duration = Duration::from_millis(100);
/// The same if there are more such steps than can be examined that often.
const MAX_EXAMINE_INTERVAL: Duration = Duration::from_secs(1);
/// Examinations of such steps in one second.
const MAX_EXAMINATIONS: u32 = 100;

/// One call of so many is for the step that has waited longest.
const OLDEST_STEP_INTERVAL: u32 = 8;

/// Steps that wait for a call to the advice service.
///
/// All queues share one service. The workspace that has recently used least of its time, by weight,
/// goes next, with its first step by rank; so a workspace with many waiting steps does not shut
/// others out. Now and then the step that has waited longest goes next, so that steps whose job is
/// too late to count are not shut out by others for good.
#[derive(Clone, Debug, Default)]
pub(super) struct AdviceQueue {
    steps: BTreeMap<StepKey, QueuedStep>,
    ranked: BTreeMap<WorkspaceId, BTreeSet<StepRank>>,
    /// The waiting steps by the time since which their tasks wait.
    by_age: BTreeSet<(BootTime, StepKey)>,
    /// Since when the tasks of a step wait for advice, with interruptions by calls for it.
    waiting_since: BTreeMap<StepKey, BootTime>,
    /// Number of steps that had their turn.
    turns: u32,
    /// Steps that are worth a call only if no other step waits, those with the fewest answers
    /// without a ticket first.
    spare: BTreeSet<(u32, StepRank)>,
    /// Steps with tickets that wait for room, with their pool and the expiry of the tickets.
    ready: BTreeMap<StepKey, (PoolId, BootTime)>,
    /// Steps that were examined without a request, and until when they don't wait.
    postponed: BTreeMap<StepKey, BootTime>,
    /// Service time of recent calls, in seconds.
    usages: BTreeMap<WorkspaceId, DecayingSum>,
}

#[derive(Clone, Debug)]
struct QueuedStep {
    workspace: WorkspaceId,
    key: StepRank,
}

impl AdviceQueue {
    /// Adds a step, or updates the rank of one that waits already.
    pub(super) fn push(&mut self, workspace: &WorkspaceId, key: StepRank, now: BootTime) {
        if let Some(&until) = self.postponed.get(&key.1) {
            if now < until {
                return;
            }
            self.postponed.remove(&key.1);
        }
        if let Some(queued) = self.steps.get(&key.1) {
            if queued.key == key {
                return;
            }
            self.remove(&key.1);
        }
        let since = self.waiting_since.entry(key.1.clone()).or_insert(now);
        self.by_age.insert((*since, key.1.clone()));
        let ranked = self.ranked.entry(workspace.clone()).or_default();
        ranked.insert(key.clone());
        let queued = QueuedStep {
            workspace: workspace.clone(),
            key: key.clone(),
        };
        self.steps.insert(key.1, queued);
    }

    /// Returns true if a step waits, was postponed, or has tickets that may expire.
    pub(super) fn has_steps(&self) -> bool {
        !(self.steps.is_empty() && self.postponed.is_empty() && self.ready.is_empty())
    }

    /// Returns the steps that wait or were postponed.
    pub(super) fn waiting_steps(&self) -> impl Iterator<Item = &StepKey> {
        self.postponed.keys().chain(self.steps.keys())
    }

    /// Removes the step whose turn it is; `weights` are those of the workspaces.
    pub(super) fn pop(
        &mut self,
        weights: &BTreeMap<WorkspaceId, u32>,
        now: BootTime,
    ) -> Option<StepRank> {
        self.turns = self.turns.wrapping_add(1);
        let next = match self.turns.is_multiple_of(OLDEST_STEP_INTERVAL) {
            true => self.oldest(),
            false => self.first_by_rank(weights, now),
        }?;
        self.remove(&next.1);
        Some(next)
    }

    fn oldest(&self) -> Option<StepRank> {
        let (_, step) = self.by_age.first()?;
        self.steps.get(step).map(|queued| queued.key.clone())
    }

    fn first_by_rank(
        &self,
        weights: &BTreeMap<WorkspaceId, u32>,
        now: BootTime,
    ) -> Option<StepRank> {
        let usage = |workspace: &WorkspaceId| {
            let usage = self.usages.get(workspace);
            usage.map_or(0.0, |usage| usage.at(now)) / f64::from(weight_of(workspace, weights))
        };
        let first = |ranked: &BTreeSet<StepRank>| ranked.first().cloned();
        let turns = self.ranked.iter();
        let turns =
            turns.filter_map(|(workspace, ranked)| Some((usage(workspace), first(ranked)?)));
        let (_, next) = turns.min_by(|(usage, step), (other_usage, other)| {
            let order = usage.total_cmp(other_usage);
            order.then_with(|| step.cmp(other))
        })?;
        Some(next)
    }

    /// Lets a step with this many answers without a ticket wait until no other step does.
    pub(super) fn push_spare(&mut self, misses: u32, key: StepRank) {
        self.spare.insert((misses, key));
    }

    /// Removes the first step that is worth a call now that no other step waits; `None` if one does.
    pub(super) fn pop_spare(&mut self) -> Option<StepRank> {
        if !self.steps.is_empty() {
            return None;
        }
        let (_, key) = self.spare.pop_first()?;
        Some(key)
    }

    /// Records that a step has tickets until `expires_at`.
    pub(super) fn set_ready(&mut self, step: StepKey, pool: PoolId, expires_at: BootTime) {
        self.ready.insert(step, (pool, expires_at));
    }

    /// Records that all tasks of a step have started.
    pub(super) fn mark_started(&mut self, step: &StepKey) {
        self.ready.remove(step);
        self.postponed.remove(step);
        self.remove(step);
        self.waiting_since.remove(step);
    }

    /// Returns true if so many steps of a pool have tickets that further ones would expire unused.
    pub(super) fn has_enough_ready(&self, pool: &PoolId, now: BootTime) -> bool {
        let ready = self.ready.values();
        let ready = ready.filter(|(of_pool, expires_at)| of_pool == pool && now < *expires_at);
        ready.count() >= MAX_READY_STEPS
    }

    /// Returns how many steps go before the next one of a workspace that starts to wait now: its own,
    /// and those of the others that have their turns meanwhile.
    pub(super) fn steps_ahead(
        &self,
        workspace: &WorkspaceId,
        weights: &BTreeMap<WorkspaceId, u32>,
    ) -> usize {
        let weight = |workspace: &WorkspaceId| weight_of(workspace, weights) as usize;
        let own = self.ranked.get(workspace).map_or(0, BTreeSet::len);
        let others = self.ranked.iter().filter(|(other, _)| *other != workspace);
        let others = others.map(|(other, ranked)| {
            let turns = (own + 1).saturating_mul(weight(other)) / weight(workspace);
            ranked.len().min(turns)
        });
        own + others.sum::<usize>()
    }

    /// Charges a workspace for a call that takes the service `call_time`.
    pub(super) fn record_call(
        &mut self,
        workspace: &WorkspaceId,
        call_time: Duration,
        now: BootTime,
    ) {
        let usage = self.usages.entry(workspace.clone());
        let usage = usage.or_insert_with(|| DecayingSum::new(USAGE_WINDOW_SECS));
        usage.add(call_time.as_secs_f64(), now);
        self.usages.retain(|_, usage| usage.at(now) >= MIN_USAGE);
    }

    /// Skips a step for which there is nothing to request for some time, so that others are examined.
    pub(super) fn postpone(&mut self, step: StepKey, now: BootTime) {
        self.remove(&step);
        let steps = u32::try_from(self.postponed.len()).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1).saturating_mul(steps) / MAX_EXAMINATIONS;
        let interval = interval.clamp(EXAMINE_INTERVAL, MAX_EXAMINE_INTERVAL);
        self.postponed.insert(step, now + interval);
    }

    /// Removes a step, if it waits.
    pub(super) fn remove(&mut self, step: &StepKey) {
        let Some(queued) = self.steps.remove(step) else {
            return;
        };
        if let Some(since) = self.waiting_since.get(step) {
            self.by_age.remove(&(*since, step.clone()));
        }
        if let Some(ranked) = self.ranked.get_mut(&queued.workspace) {
            ranked.remove(&queued.key);
            if ranked.is_empty() {
                self.ranked.remove(&queued.workspace);
            }
        }
    }

    /// Removes the steps that no longer wait, and what has expired.
    pub(super) fn retain(&mut self, is_waiting: impl Fn(&StepKey) -> bool, now: BootTime) {
        let ended = self.steps.keys().filter(|step| !is_waiting(step));
        let ended: Vec<StepKey> = ended.cloned().collect();
        for step in &ended {
            self.remove(step);
        }
        self.spare.retain(|(_, (_, step))| is_waiting(step));
        self.waiting_since.retain(|step, _| is_waiting(step));
        self.postponed
            .retain(|step, until| is_waiting(step) && now < *until);
        self.ready
            .retain(|step, (_, expires_at)| is_waiting(step) && now < *expires_at);
    }
}

/// Weight of a workspace; 1 if the policy sets none.
pub(super) fn weight_of(workspace: &WorkspaceId, weights: &BTreeMap<WorkspaceId, u32>) -> u32 {
    weights.get(workspace).copied().unwrap_or_default().max(1)
}
