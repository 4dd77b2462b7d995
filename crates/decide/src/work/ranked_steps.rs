use model::work::ResourceVector;

use super::{objective::StartRank, step_key::StepKey};

/// Steps that are kept together; a larger block is split into two.
const MAX_BLOCK_STEPS: usize = 64;

/// A step with tasks that wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WaitingStep {
    /// When it gets room, compared with others.
    pub(super) rank: StartRank,
    /// The step.
    pub(super) step: StepKey,
    /// Room that a target must have for it to be looked at.
    pub(super) resources: ResourceVector,
    /// What its workspace must have left for it to be looked at.
    pub(super) charged: ResourceVector,
}

impl WaitingStep {
    /// What it is ordered by.
    pub(super) fn key(&self) -> StepRank {
        (self.rank, self.step.clone())
    }

    /// True if it gets room before another.
    pub(super) fn is_before_step(&self, other: &Self) -> bool {
        (&self.rank, &self.step) < (&other.rank, &other.step)
    }

    fn is_before(&self, key: &StepRank) -> bool {
        (&self.rank, &self.step) < (&key.0, &key.1)
    }

    fn has_key(&self, key: &StepRank) -> bool {
        (&self.rank, &self.step) == (&key.0, &key.1)
    }
}

/// What steps are ordered by.
pub(super) type StepRank = (StartRank, StepKey);

/// What may be looked at: what fits nowhere in the pool, or goes beyond its workspace's limit, is
/// passed over.
#[derive(Clone, Debug)]
pub(super) struct StepFilter<'a> {
    /// The most that a target of the pool has, of each resource by itself.
    pub(super) max_free: ResourceVector,
    /// What the workspace may still take.
    pub(super) workspace_left: ResourceVector,
    /// Rooms that were looked for in vain.
    pub(super) unplaceable: &'a [ResourceVector],
}

impl StepFilter<'_> {
    fn admits(&self, room: ResourceVector, need: ResourceVector) -> bool {
        room.fits_in(self.max_free)
            && need.fits_in(self.workspace_left)
            && !self.unplaceable.iter().any(|refused| refused.fits_in(room))
    }
}

/// Steps of one workspace that wait for one pool, the next to be started first.
///
/// The pattern it answers: in its turn a pool is full and thousands of steps wait. Blocks know the
/// least that one of their steps needs, so that the first step that may fit is found without
/// looking at all before it.
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

    /// The first step after a place that a filter admits, and how many steps and blocks of steps
    /// were looked at.
    pub(super) fn next(
        &self,
        after: Option<&StepRank>,
        filter: &StepFilter<'_>,
    ) -> (Option<&WaitingStep>, u64) {
        let mut looked = 0;
        let first = after.map_or(0, |key| self.block_index(key));
        for block in self.blocks.iter().skip(first) {
            looked += 1;
            if !filter.admits(block.min_resources, block.min_charged) {
                continue;
            }
            for step in &block.steps {
                let passed = after.is_some_and(|key| step.is_before(key) || step.has_key(key));
                if passed {
                    continue;
                }
                looked += 1;
                if filter.admits(step.resources, step.charged) {
                    return (Some(step), looked);
                }
            }
        }
        (None, looked)
    }

    /// True if nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// All steps, the first to be started first.
    fn steps(&self) -> impl Iterator<Item = &WaitingStep> {
        self.blocks.iter().flat_map(|block| &block.steps)
    }

    /// The block that holds a key, or would.
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
        let mut rooms = self.steps.iter().map(|step| step.resources);
        let first = rooms.next().unwrap_or_default();
        self.min_resources = rooms.fold(first, ResourceVector::min_each);
        let mut needs = self.steps.iter().map(|step| step.charged);
        let first = needs.next().unwrap_or_default();
        self.min_charged = needs.fold(first, ResourceVector::min_each);
    }
}
