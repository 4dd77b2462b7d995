use std::time::Duration;

use decide::work::SchedulerTuning;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::fault_plan::{FaultKind, PlannedFault, plan_faults};

/// A cut of the network into groups. Nothing passes between two groups, and nothing between the
/// store and the groups that don't reach it.
#[derive(Clone, Debug)]
pub struct PlannedPartition {
    /// When it begins.
    pub begin: Duration,
    /// When it ends.
    pub end: Duration,
    /// Group of each process, counted from the owner at the beginning, which is the first.
    pub process_groups: Vec<usize>,
    /// Group of each target.
    pub target_groups: Vec<usize>,
    /// Groups that reach the store.
    pub store_groups: Vec<usize>,
    /// Faults meanwhile. Their processes are counted from the owner too.
    pub strikes: Vec<PlannedFault>,
}

/// Groups of a partition that took place.
#[derive(Clone, Debug)]
pub struct PartitionPeriod {
    /// Boot time of its begin.
    pub from_ns: u64,
    /// Boot time of its end.
    pub to_ns: u64,
    /// Group of each process.
    pub process_groups: Vec<usize>,
    /// Group of each target.
    pub target_groups: Vec<usize>,
    /// Groups that reached the store.
    pub store_groups: Vec<usize>,
}

/// All that strikes from outside, and the work that callers hand in beside short tasks.
#[derive(Clone, Debug, Default)]
pub struct SoakSchedule {
    /// Faults, by their begin.
    pub faults: Vec<PlannedFault>,
    /// Partitions, one after the other.
    pub partitions: Vec<PlannedPartition>,
    /// Shortest and longest time of long tasks, in milliseconds; `None` for short ones only.
    pub long_task_ms: Option<(u64, u64)>,
}

/// Kinds of faults beside partitions. Leases that the store ends before their time are left out: an
/// owner that is cut off from the store can't learn of that.
const KINDS: [FaultKind; 12] = [
    FaultKind::Terminate,
    FaultKind::Kill,
    FaultKind::Pause,
    FaultKind::StoreRefuses,
    FaultKind::ProcessRefused,
    FaultKind::AnswersLost,
    FaultKind::StoreLinkSilent,
    FaultKind::StoreLinkUnanswered,
    FaultKind::TargetSilent,
    FaultKind::TargetApart,
    FaultKind::TargetUnanswered,
    FaultKind::TargetCrash,
];
/// Kinds of faults that strike a process within a partition.
const STRIKES: [FaultKind; 3] = [FaultKind::Terminate, FaultKind::Kill, FaultKind::Pause];
/// Time before the first partition, in which the first owner begins its work.
const QUIET_START: Duration = Duration::from_secs(4);
/// Mean pause between the beginnings of two faults beside partitions.
const FAULT_PAUSE: Duration = Duration::from_secs(8);
/// Long tasks last for several leases.
const LONG_TASK_MS: (u64, u64) = (10_000, 40_000);
/// A stopped process starts again after at most this time.
const MAX_STOP_MS: u64 = 3000;

impl SoakSchedule {
    /// The mixed faults of a seed, most of them shorter than the times that the product waits for.
    pub fn mixed(seed: u64, span: Duration, processes: usize, targets: usize) -> Self {
        Self {
            faults: plan_faults(seed, span, processes, targets),
            ..Self::default()
        }
    }

    /// Partitions and faults of a seed, with lengths a fraction below, a fraction above and several
    /// times the times that the product waits for.
    pub fn partitions(seed: u64, span: Duration, processes: usize, targets: usize) -> Self {
        let mut draw = BoundsDraw {
            dice: StdRng::seed_from_u64(seed),
            bounds: product_bounds(&SchedulerTuning::default()),
            span,
            processes,
            targets,
        };
        let partitions = draw.partitions();
        let mut faults = draw.faults();
        faults.extend(draw.hand_overs(&partitions));
        faults.sort_by_key(|fault| fault.begin);
        Self {
            faults,
            partitions,
            long_task_ms: Some(LONG_TASK_MS),
        }
    }
}

/// The times for which the product waits, or lets something go on, that a fault may outlast.
fn product_bounds(tuning: &SchedulerTuning) -> Vec<Duration> {
    let lease = tuning.lease_limit + tuning.lapse_margin;
    vec![
        tuning.unresponsive_after,
        lease,
        lease + tuning.unresponsive_after,
        tuning.lease_overhang,
        tuning.succession_wait(),
        tuning.max_delivery_delay,
    ]
}

struct BoundsDraw {
    dice: StdRng,
    bounds: Vec<Duration>,
    span: Duration,
    processes: usize,
    targets: usize,
}

impl BoundsDraw {
    /// A length against one of the bounds, and half of the span at most.
    fn length(&mut self) -> Duration {
        let bound = self.bounds[self.dice.random_range(0..self.bounds.len())];
        let factor = match self.dice.random_range(0..10) {
            0..3 => self.dice.random_range(0.6..1.0),
            3..8 => self.dice.random_range(1.0..1.4),
            _ => self.dice.random_range(2.0..4.0),
        };
        bound.mul_f64(factor).min(self.span / 2)
    }

    fn partitions(&mut self) -> Vec<PlannedPartition> {
        let mut partitions = Vec::new();
        let mut begin = QUIET_START;
        while begin < self.span {
            let end = (begin + self.length()).min(self.span);
            partitions.push(self.partition(begin, end));
            begin = end + self.bounds[1].mul_f64(self.dice.random_range(0.2..1.5));
        }
        partitions
    }

    /// The owner is in the first group, which misses the store in most cases, and a process that may
    /// succeed it in the second.
    fn partition(&mut self, begin: Duration, end: Duration) -> PlannedPartition {
        let groups = if self.dice.random_bool(0.35) { 3 } else { 2 };
        let alone = self.dice.random_bool(0.5);
        let mut process_groups = vec![0, 1];
        for _ in 2..self.processes {
            process_groups.push(self.dice.random_range(usize::from(alone)..groups));
        }
        let part = [0.1, 0.25, 0.4, 0.6][self.dice.random_range(0..4)];
        let mut target_groups = Vec::new();
        for _ in 0..self.targets {
            let with_owner = self.dice.random_bool(part);
            let other = self.dice.random_range(1..groups);
            target_groups.push(if with_owner { 0 } else { other });
        }
        target_groups[self.dice.random_range(0..self.targets)] = 0;
        let store_groups = match self.dice.random_range(0..10) {
            0..7 => vec![1],
            7 => (0..groups).collect(),
            8 => vec![0],
            _ => Vec::new(),
        };
        PlannedPartition {
            begin,
            end,
            process_groups,
            target_groups,
            store_groups,
            strikes: self.strikes(begin, end),
        }
    }

    fn strikes(&mut self, begin: Duration, end: Duration) -> Vec<PlannedFault> {
        let mut strikes = Vec::new();
        while strikes.len() < 2 && self.dice.random_bool(0.4) {
            let from = begin + (end - begin).mul_f64(self.dice.random());
            let kind = STRIKES[self.dice.random_range(0..STRIKES.len())];
            let any = self.dice.random_range(0..self.processes);
            let rank = if self.dice.random_bool(0.5) { 0 } else { any };
            strikes.push(self.fault(kind, from, Some(rank)));
        }
        strikes.sort_by_key(|strike| strike.begin);
        strikes
    }

    fn faults(&mut self) -> Vec<PlannedFault> {
        let mut faults = Vec::new();
        let mut begin = QUIET_START + FAULT_PAUSE.mul_f64(self.dice.random());
        while begin < self.span {
            let kind = KINDS[self.dice.random_range(0..KINDS.len())];
            let process = self.dice.random_range(0..self.processes);
            let process = self.dice.random_bool(0.5).then_some(process);
            faults.push(self.fault(kind, begin, process));
            begin += FAULT_PAUSE.mul_f64(self.dice.random_range(0.1..1.9));
        }
        faults
    }

    /// Owners that are told to stop shortly before a partition begins.
    fn hand_overs(&mut self, partitions: &[PlannedPartition]) -> Vec<PlannedFault> {
        let mut faults = Vec::new();
        for partition in partitions {
            if self.dice.random_bool(0.25) {
                let ahead = Duration::from_millis(self.dice.random_range(0..MAX_STOP_MS));
                let begin = partition.begin.saturating_sub(ahead);
                faults.push(self.fault(FaultKind::Terminate, begin, None));
            }
        }
        faults
    }

    fn fault(&mut self, kind: FaultKind, begin: Duration, process: Option<usize>) -> PlannedFault {
        let length = match kind {
            FaultKind::Terminate | FaultKind::Kill => {
                Duration::from_millis(self.dice.random_range(200..MAX_STOP_MS))
            }
            _ => self.length(),
        };
        PlannedFault {
            kind,
            begin,
            end: (begin + length).min(self.span),
            process,
            target: self.dice.random_range(0..self.targets),
        }
    }
}
