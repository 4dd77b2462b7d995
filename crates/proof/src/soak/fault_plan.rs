use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

/// What strikes from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A process is told to stop, and starts again.
    Terminate,
    /// A process is killed, and starts again.
    Kill,
    /// A process stands still.
    Pause,
    /// The store refuses every process; leases lapse.
    StoreRefuses,
    /// The store answers nobody; leases pause.
    StoreSilent,
    /// The store refuses one process.
    ProcessRefused,
    /// Answers of the store to one process are lost.
    AnswersLost,
    /// Changes of one process are carried out late.
    ChangesLate,
    /// The store is slow.
    StoreSlow,
    /// The store forgets its history.
    HistoryGone,
    /// All leases lapse.
    LeasesLapse,
    /// Nothing passes between a process and the store.
    StoreLinkSilent,
    /// A process's calls reach the store, and no answer comes back.
    StoreLinkUnanswered,
    /// Connections between a process and the store are reset.
    StoreLinkReset,
    /// Few bytes a second pass between a process and the store.
    StoreLinkNarrow,
    /// Nothing passes between the processes and a target.
    TargetSilent,
    /// A target is reached by one process only.
    TargetApart,
    /// A target's answers don't come back.
    TargetUnanswered,
    /// A target crashes and lives on.
    TargetCrash,
    /// Targets carry starts out late.
    StartsLate,
    /// Operators drain a data centre, and restore it at the end.
    DataCentreDrained,
}

/// All kinds of faults that strike at random. Drains have a schedule of their own.
pub const FAULT_KINDS: [FaultKind; 20] = [
    FaultKind::Terminate,
    FaultKind::Kill,
    FaultKind::Pause,
    FaultKind::StoreRefuses,
    FaultKind::StoreSilent,
    FaultKind::ProcessRefused,
    FaultKind::AnswersLost,
    FaultKind::ChangesLate,
    FaultKind::StoreSlow,
    FaultKind::HistoryGone,
    FaultKind::LeasesLapse,
    FaultKind::StoreLinkSilent,
    FaultKind::StoreLinkUnanswered,
    FaultKind::StoreLinkReset,
    FaultKind::StoreLinkNarrow,
    FaultKind::TargetSilent,
    FaultKind::TargetApart,
    FaultKind::TargetUnanswered,
    FaultKind::TargetCrash,
    FaultKind::StartsLate,
];

/// One fault of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// What strikes.
    pub kind: FaultKind,
    /// When it begins.
    pub begin: Duration,
    /// When it ends.
    pub end: Duration,
    /// The process that it strikes; `None` for the owner at that time.
    pub process: Option<usize>,
    /// The target that it strikes.
    pub target: usize,
}

/// Mean pause between the beginnings of two faults; they last longer than that at times.
const FAULT_PAUSE: Duration = Duration::from_millis(1600);
/// Time before the first fault, in which the first owner begins its work.
const QUIET_START: Duration = Duration::from_secs(2);

/// Mean pause between two drains of a data centre.
const DRAIN_PAUSE: Duration = Duration::from_secs(6);
/// Longest drain, in milliseconds.
const MAX_DRAIN_MS: u64 = 9000;

/// The schedule of a seed: faults in series, and overlapping by chance, beside drains of a data
/// centre.
pub fn plan_faults(
    seed: u64,
    span: Duration,
    processes: usize,
    targets: usize,
) -> Vec<PlannedFault> {
    let mut dice = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut begin = QUIET_START;
    while begin < span {
        let kind = FAULT_KINDS[dice.random_range(0..FAULT_KINDS.len())];
        let process = dice.random_range(0..processes);
        let length = Duration::from_millis(dice.random_range(200..5000));
        plan.push(PlannedFault {
            kind,
            begin,
            end: (begin + length).min(span),
            process: dice.random_bool(0.5).then_some(process),
            target: dice.random_range(0..targets),
        });
        begin += FAULT_PAUSE.mul_f64(dice.random_range(0.1..1.9));
    }
    plan.extend(plan_drains(seed, span));
    plan.sort_by_key(|fault| fault.begin);
    plan
}

/// Drains of a data centre, drawn apart from the faults, so that these stay the same for a seed.
fn plan_drains(seed: u64, span: Duration) -> Vec<PlannedFault> {
    let mut dice = StdRng::seed_from_u64(!seed);
    let mut plan = Vec::new();
    let mut begin = QUIET_START;
    while begin < span {
        let length = Duration::from_millis(dice.random_range(500..MAX_DRAIN_MS));
        let end = (begin + length).min(span);
        plan.push(PlannedFault {
            kind: FaultKind::DataCentreDrained,
            begin,
            end,
            process: None,
            target: 0,
        });
        begin = end + DRAIN_PAUSE.mul_f64(dice.random_range(0.1..1.9));
    }
    plan
}
