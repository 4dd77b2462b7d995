use std::cmp::Ordering;

use model::work::ResourceVector;

use super::{objective::StartRank, step_key::StepKey};

/// Maximum number of steps in a block; a larger block is split in two.
const MAX_BLOCK_STEPS: usize = 64;

/// A step with waiting tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WaitingStep {
    /// Rank that decides the order in which steps get resources.
    pub(super) rank: StartRank,
    /// The step.
    pub(super) step: StepKey,
    /// Resources that a target must have free for the step to be considered.
    pub(super) resources: ResourceVector,
    /// Resources that its workspace must have left for the step to be considered.
    pub(super) charged: ResourceVector,
}

impl WaitingStep {
    /// Returns the key that steps are ordered by.
    pub(super) fn key(&self) -> StepRank {
        (self.rank, self.step.clone())
    }

    /// Returns the order in which this step and `other` get resources.
    pub(super) fn order(&self, other: &Self) -> Ordering {
        (&self.rank, &self.step).cmp(&(&other.rank, &other.step))
    }

    fn is_before(&self, key: &StepRank) -> bool {
        (&self.rank, &self.step) < (&key.0, &key.1)
    }

    fn has_key(&self, key: &StepRank) -> bool {
        (&self.rank, &self.step) == (&key.0, &key.1)
    }
}

/// Key that steps are ordered by.
pub(super) type StepRank = (StartRank, StepKey);

/// Filter for steps that may start: skips steps that fit on no target of the pool or that exceed
/// their workspace's limit.
#[derive(Clone, Debug)]
pub(super) struct StepFilter<'a> {
    /// Maximum free resources of any target of the pool, component by component.
    pub(super) max_free: ResourceVector,
    /// Resources that the workspace may still use.
    pub(super) workspace_left: ResourceVector,
    /// Amounts of resources for which no target was found.
    pub(super) unplaceable: &'a [ResourceVector],
}

impl StepFilter<'_> {
    fn admits(&self, resources: ResourceVector, charged: ResourceVector) -> bool {
        resources.fits_in(self.max_free)
            && charged.fits_in(self.workspace_left)
            && !self
                .unplaceable
                .iter()
                .any(|amount| amount.fits_in(resources))
    }
}

/// Waiting steps of one workspace in one pool, in starting order.
///
/// In a burst a pool is full and thousands of steps wait. Each block stores the minimum that any of
/// its steps needs, so that the first step that may fit is found without visiting all steps before
/// it.
#[derive(Clone, Debug, Default)]
pub(super) struct RankedSteps {
    blocks: Vec<StepBlock>,
}

#[derive(Clone, Debug)]
struct StepBlock {
    steps: Vec<WaitingStep>,
    min_resources: ResourceVector,
    min_charged: ResourceVector,
}

impl RankedSteps {
    /// Adds a step.
    pub(super) fn insert(&mut self, step: WaitingStep) {
        let key = step.key();
        let at = self
            .block_index(&key)
            .min(self.blocks.len().saturating_sub(1));
        let Some(block) = self.blocks.get_mut(at) else {
            self.blocks.push(StepBlock::new(vec![step]));
            return;
        };
        block.insert(step, &key);
        if block.steps.len() > MAX_BLOCK_STEPS {
            let rest = block.steps.split_off(MAX_BLOCK_STEPS / 2);
            block.recompute_minimums();
            self.blocks.insert(at + 1, StepBlock::new(rest));
        }
    }

    /// Removes a step.
    pub(super) fn remove(&mut self, key: &StepRank) {
        let at = self.block_index(key);
        let Some(block) = self.blocks.get_mut(at) else {
            return;
        };
        block.remove(key);
        if block.steps.is_empty() {
            self.blocks.remove(at);
        }
    }

    /// Returns the first step after `after` that the filter admits, and the number of steps and
    /// blocks visited.
    pub(super) fn next(
        &self,
        after: Option<&StepRank>,
        filter: &StepFilter<'_>,
    ) -> (Option<&WaitingStep>, u64) {
        let mut visited = 0;
        let first = after.map_or(0, |key| self.block_index(key));
        for block in self.blocks.iter().skip(first) {
            visited += 1;
            if !filter.admits(block.min_resources, block.min_charged) {
                continue;
            }
            for step in &block.steps {
                let is_passed = after.is_some_and(|key| step.is_before(key) || step.has_key(key));
                if is_passed {
                    continue;
                }
                visited += 1;
                if filter.admits(step.resources, step.charged) {
                    return (Some(step), visited);
                }
            }
        }
        (None, visited)
    }

    /// Returns true if no step waits.
    pub(super) fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns all steps in starting order.
    fn steps(&self) -> impl Iterator<Item = &WaitingStep> {
        self.blocks.iter().flat_map(|block| &block.steps)
    }

    /// Returns the index of the block that holds a key, or that would hold it.
    fn block_index(&self, key: &StepRank) -> usize {
        let ends_before = |block: &StepBlock| {
            let last = block.steps.last();
            last.is_some_and(|last| last.is_before(key))
        };
        self.blocks.partition_point(ends_before)
    }
}

impl PartialEq for RankedSteps {
    fn eq(&self, other: &Self) -> bool {
        self.steps().eq(other.steps())
    }
}

impl StepBlock {
    fn new(steps: Vec<WaitingStep>) -> Self {
        let mut block = Self {
            steps,
            min_resources: ResourceVector::default(),
            min_charged: ResourceVector::default(),
        };
        block.recompute_minimums();
        block
    }

    fn insert(&mut self, step: WaitingStep, key: &StepRank) {
        self.min_resources = self.min_resources.min_each(step.resources);
        self.min_charged = self.min_charged.min_each(step.charged);
        let at = self.steps.partition_point(|other| other.is_before(key));
        self.steps.insert(at, step);
    }

    fn remove(&mut self, key: &StepRank) {
        let at = self.steps.partition_point(|other| other.is_before(key));
        if self.steps.get(at).is_some_and(|step| step.has_key(key)) {
            self.steps.remove(at);
            self.recompute_minimums();
        }
    }

    fn recompute_minimums(&mut self) {
        let mut resources = self.steps.iter().map(|step| step.resources);
        let first = resources.next().unwrap_or_default();
        self.min_resources = resources.fold(first, ResourceVector::min_each);
        let mut charged = self.steps.iter().map(|step| step.charged);
        let first = charged.next().unwrap_or_default();
        self.min_charged = charged.fold(first, ResourceVector::min_each);
    }
}
