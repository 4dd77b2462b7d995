use std::collections::{BTreeMap, BTreeSet};

use stand::{
    CallerClient, JobShown, LookReply, OwnerRecord, RenewalRecord, RunEnd, RunRecord,
    SimulatedTarget, StartOrderRecord, StrayWrite,
};

use super::{
    bounds_plan::PartitionPeriod,
    caller_jobs::{CallerJob, is_completed, is_owed},
    soak_fleet::DRAINED_DATA_CENTRE,
};
use crate::Violation;

/// A time in which orders of a process to a target may have been held up on their way.
#[derive(Clone, Copy, Debug)]
pub struct HeldUp {
    /// The target.
    pub target: usize,
    /// The process.
    pub process: usize,
    /// When the link was cut.
    pub from_ns: u64,
    /// When it carried again.
    pub to_ns: u64,
}

/// A time in which every second target was in a drained data centre.
#[derive(Clone, Copy, Debug)]
pub struct DrainPeriod {
    /// When operators requested the drain.
    pub from_ns: u64,
    /// When they withdrew the request, or could no longer be sure that it is read.
    pub to_ns: u64,
}

/// What callers, targets and store have seen of one seed.
#[derive(Clone, Debug, Default)]
pub struct SoakHistory {
    /// Jobs of the callers.
    pub jobs: Vec<CallerJob>,
    /// Runs of all targets.
    pub runs: Vec<RunRecord>,
    /// Orders to start a task, as they arrived.
    pub orders: Vec<StartOrderRecord>,
    /// Owners' entries, in the order in which they were written.
    pub owners: Vec<OwnerRecord>,
    /// Changes of the log by others than the owner.
    pub strays: Vec<StrayWrite>,
    /// Changes of the log.
    pub log_writes: usize,
    /// Most bytes that the log had.
    pub log_peak: usize,
    /// When the store ended all leases before their time.
    pub lapses: Vec<u64>,
    /// Times in which orders to a target may have been held up on their way.
    pub held_up: Vec<HeldUp>,
    /// Times in which the second data centre was drained.
    pub drains: Vec<DrainPeriod>,
    /// Processes that ended by themselves.
    pub fallen: Vec<String>,
    /// Extensions of the targets' time grants, for traces.
    pub renewals: Vec<RenewalRecord>,
    /// Partitions, for traces.
    pub partitions: Vec<PartitionPeriod>,
}

/// How often each promise was checked, and what was found.
#[derive(Clone, Debug, Default)]
pub struct SoakTally {
    /// Occasions on which a promise could have been broken.
    pub checked: BTreeMap<&'static str, usize>,
    /// Broken promises.
    pub broken: Vec<Violation>,
    /// Tasks that ran twice.
    pub twice: BTreeSet<String>,
}

const MILLI: u64 = 1_000_000;
/// After this time nothing of a cancelled job begins.
const CANCEL_NS: u64 = 3000 * MILLI;
/// After this time nothing begins in a drained data centre.
const DRAIN_NS: u64 = 5000 * MILLI;
/// After this time an accepted job is known to every process.
const VISIBLE_NS: u64 = 3000 * MILLI;
/// An order that was sent in its sender's time may arrive this much later.
const ORDER_WAY_NS: u64 = 50 * MILLI;
/// An owner whose lease the store ended before its time learns of it by its next renewal.
const RENEWAL_NS: u64 = 500 * MILLI;
/// Orders that were held up on their way may arrive this long after.
const HELD_UP_NS: u64 = 1000 * MILLI;
/// Most bytes of the log of a cell that works off what it accepts, in base64 as it is stored.
const LOG_BOUND: usize = 512 << 10;

impl SoakHistory {
    /// Whether what arrived at a target then may have been held up on its way, from a process or
    /// from any.
    fn held(&self, target: usize, process: Option<usize>, at: u64) -> bool {
        self.held_up.iter().any(|held| {
            let link =
                held.target == target && process.is_none_or(|process| process == held.process);
            link && (held.from_ns..held.to_ns + HELD_UP_NS).contains(&at)
        })
    }

    /// Until when orders of the owner before `next` may arrive.
    fn sole_until(&self, next: &OwnerRecord) -> u64 {
        let lapse = self.lapses.iter().rev().find(|at| **at <= next.written_ns);
        let told = lapse.map_or(0, |at| at + RENEWAL_NS);
        told.max(next.written_ns) + ORDER_WAY_NS
    }
}

impl SoakTally {
    fn check(&mut self, check: &'static str, holds: bool, finding: impl FnOnce() -> String) {
        *self.checked.entry(check).or_default() += 1;
        if !holds {
            let finding = finding();
            self.broken.push(Violation { check, finding });
        }
    }
}

/// Checks each promise on what was seen.
pub fn check_soak(history: &SoakHistory) -> SoakTally {
    let mut tally = SoakTally::default();
    let mut runs: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in &history.runs {
        runs.entry(run.task.as_str()).or_default().push(run);
    }
    for task in runs.values_mut() {
        task.sort_by_key(|run| run.start_ns);
        check_once(&mut tally, task);
    }
    check_orders(&mut tally, history);
    check_begun(&mut tally, history);
    check_limit(&mut tally, &history.runs);
    check_drains(&mut tally, history);
    for job in &history.jobs {
        check_job(&mut tally, history, job, &runs);
    }
    let known: BTreeSet<&str> = history.jobs.iter().map(|job| job.job.id.as_str()).collect();
    for run in &history.runs {
        let asked = known.contains(job_of(&run.task));
        tally.check("asked-for", asked, || format!("{run:?}"));
        tally.check("room", !run.over_room, || format!("{run:?}"));
    }
    let bounded = history.log_peak <= LOG_BOUND;
    tally.check("log-bounded", bounded, || {
        format!("{} bytes", history.log_peak)
    });
    tally
        .checked
        .insert("one-writer", history.log_writes - history.strays.len());
    for stray in &history.strays {
        tally.check("one-writer", false, || format!("{stray:?}"));
    }
    tally.check("stays-up", history.fallen.is_empty(), || {
        format!("{:?}", history.fallen)
    });
    tally
}

/// No task runs twice at once, or again after an end that was taken note of.
fn check_once(tally: &mut SoakTally, runs: &[&RunRecord]) {
    for (index, run) in runs.iter().enumerate() {
        let earlier = &runs[..index];
        let beside = earlier
            .iter()
            .find(|other| other.end.is_none_or(|(at, _)| at > run.start_ns));
        if beside.is_some() {
            tally.twice.insert(run.task.clone());
        }
        tally.check("once-at-a-time", beside.is_none(), || {
            format!("{run:?} beside {beside:?}")
        });
        let done = earlier.iter().find(|other| {
            let ended = matches!(other.end, Some((at, RunEnd::Done)) if at < run.start_ns);
            ended && other.noted
        });
        if done.is_some() {
            tally.twice.insert(run.task.clone());
        }
        tally.check("done-once", done.is_none(), || {
            format!("{run:?} after {done:?}")
        });
    }
}

/// At no start the workspace has more running than its limit, a tenth and one task.
fn check_limit(tally: &mut SoakTally, runs: &[RunRecord]) {
    let most = CallerClient::core_limit() + CallerClient::core_limit() / 10 + 1;
    let mut ends: Vec<u64> = runs
        .iter()
        .filter_map(|run| run.end)
        .map(|(at, _)| at)
        .collect();
    let mut starts: Vec<u64> = runs.iter().map(|run| run.start_ns).collect();
    ends.sort_unstable();
    starts.sort_unstable();
    for (index, start) in starts.iter().enumerate() {
        let running = index + 1 - ends.partition_point(|end| end <= start);
        tally.check("workspace-limit", running <= most, || {
            format!("{running} tasks run at {start}, {most} may")
        });
    }
}

/// Nothing begins in a data centre that was drained long before.
fn check_drains(tally: &mut SoakTally, history: &SoakHistory) {
    let drained = |run: &&RunRecord| SimulatedTarget::is_in(run.target, DRAINED_DATA_CENTRE);
    for run in history.runs.iter().filter(drained) {
        let held = history.held(run.target, None, run.start_ns);
        let drain = history
            .drains
            .iter()
            .find(|drain| (drain.from_ns + DRAIN_NS..drain.to_ns).contains(&run.start_ns));
        let kept = drain.is_none() || run.late || held;
        tally.check("drained-not-begun", kept, || {
            format!("{run:?} in {drain:?}")
        });
    }
}

/// No task begins by an order of an owner that has a successor, however late the order arrives.
fn check_begun(tally: &mut SoakTally, history: &SoakHistory) {
    for run in &history.runs {
        let sender = |owner: &OwnerRecord| owner.token == run.token;
        let place = history.owners.iter().position(sender);
        let next = place.and_then(|place| history.owners.get(place + 1));
        let late = next.is_some_and(|next| run.start_ns > history.sole_until(next));
        tally.check("begun-by-owner", !late, || {
            format!("{run:?} after {next:?}")
        });
    }
}

/// Orders carry the token of an owner, and none that can still take effect comes from one that has
/// a successor.
fn check_orders(tally: &mut SoakTally, history: &SoakHistory) {
    for order in &history.orders {
        let place = history
            .owners
            .iter()
            .position(|owner| owner.token == order.token);
        tally.check("token-of-owner", place.is_some(), || format!("{order:?}"));
        let Some(place) = place else {
            continue;
        };
        let sender = Some(history.owners[place].process);
        if history.held(order.target, sender, order.arrived_ns) {
            continue;
        }
        let next = history.owners.get(place + 1);
        let late = next.is_some_and(|next| order.arrived_ns > history.sole_until(next));
        tally.check("one-holder", !late || order.expired, || {
            format!("{order:?} after {next:?}")
        });
    }
}

fn check_job(
    tally: &mut SoakTally,
    history: &SoakHistory,
    job: &CallerJob,
    runs: &BTreeMap<&str, Vec<&RunRecord>>,
) {
    use stand::SubmitReply::{Refused, Unheard};
    let id = job.job.id.as_str();
    let own = runs
        .range(id..)
        .take_while(|(task, _)| job_of(task) == id)
        .flat_map(|(_, runs)| runs.iter().copied());
    let own: Vec<&RunRecord> = own.collect();
    let refused = job.replies.contains(&Refused)
        && job
            .replies
            .iter()
            .all(|reply| matches!(reply, Refused | Unheard));
    if refused {
        tally.check("refused-never-runs", own.is_empty(), || {
            format!("{id} was refused: {own:?}")
        });
    }
    if let Some(cancelled_ns) = job.cancelled_ns {
        let begun = own.iter().find(|run| {
            let held = history.held(run.target, None, run.start_ns);
            run.start_ns > cancelled_ns + CANCEL_NS && !run.late && !held
        });
        tally.check("cancelled-not-begun", begun.is_none(), || {
            format!("{id} cancelled at {cancelled_ns}: {begun:?}")
        });
    }
    check_steps(tally, job, runs);
    if is_owed(job) {
        check_owed(tally, job, runs);
    }
}

/// A step begins once all tasks of the step before it are done.
fn check_steps(tally: &mut SoakTally, job: &CallerJob, runs: &BTreeMap<&str, Vec<&RunRecord>>) {
    let mut before = Some(0);
    for (step, (count, _)) in job.job.steps.iter().enumerate() {
        let tasks = || (0..*count).map(|index| format!("{}.0.{step}.{index}", job.job.id));
        for task in tasks() {
            let first = runs.get(task.as_str()).and_then(|runs| runs.first());
            if let Some(first) = first {
                let turn = before.is_some_and(|before| before <= first.start_ns);
                tally.check("steps-in-order", turn, || format!("{first:?}"));
            }
        }
        let done = tasks().map(|task| done_at(runs, &task));
        before = done
            .collect::<Option<Vec<_>>>()
            .and_then(|done| done.into_iter().max());
    }
}

/// What was accepted is shown, gets done, and is shown as completed only then.
fn check_owed(tally: &mut SoakTally, job: &CallerJob, runs: &BTreeMap<&str, Vec<&RunRecord>>) {
    let id = &job.job.id;
    tally.check("accepted-completes", is_completed(job), || {
        format!("{id}: {:?} {:?}", job.replies, job.shown.last())
    });
    let accepted_ns = job.accepted_ns.unwrap_or(u64::MAX);
    let steps = job.job.steps.iter().enumerate();
    let names = steps.flat_map(|(step, (count, _))| {
        (0..*count).map(move |index| format!("{id}.0.{step}.{index}"))
    });
    let done: Option<Vec<u64>> = names.map(|task| done_at(runs, &task)).collect();
    let done_ns = done.and_then(|done| done.into_iter().max());
    for (at, shown) in &job.shown {
        let true_state = match shown {
            LookReply::Gone => *at <= accepted_ns.saturating_add(VISIBLE_NS),
            LookReply::Shown(JobShown::Completed) => done_ns.is_some_and(|done| done <= *at),
            LookReply::Shown(JobShown::Failed | JobShown::Cancelled) => false,
            LookReply::Shown(_) | LookReply::Unknown => true,
        };
        tally.check("shown-as-is", true_state, || {
            format!("{id} shown as {shown:?} at {at}, done at {done_ns:?}")
        });
    }
}

/// When a task was first done.
fn done_at(runs: &BTreeMap<&str, Vec<&RunRecord>>, task: &str) -> Option<u64> {
    let ends = runs.get(task)?.iter().filter_map(|run| run.end);
    let done = ends.filter(|(_, how)| *how == RunEnd::Done);
    done.map(|(at, _)| at).min()
}

fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}
