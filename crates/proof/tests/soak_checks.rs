//! The checks of the soak find each broken promise in a history made by hand, and nothing in a
//! sound one. Times are in seconds here.

use std::time::Duration;

use decide::work::SchedulerTuning;
use proof::{
    CallerJob, DrainPeriod, FaultKind, SoakHistory, SoakSchedule, check_soak, plan_faults,
    trace_task,
};
use rstest::rstest;
use stand::{
    JobShown, LookReply, OwnerRecord, RenewalRecord, RunEnd, RunRecord, SoakJob, StartOrderRecord,
    StrayWrite, SubmitReply,
};

const JOB: &str = "00000000000000a1";

fn s(seconds: u64) -> u64 {
    seconds * 1_000_000_000
}

fn run(task: &str, from: u64, to: u64, how: RunEnd) -> RunRecord {
    RunRecord {
        target: 0,
        task: format!("{JOB}.0.{task}"),
        attempt: 1,
        token: 9,
        start_ns: s(from),
        end: Some((s(to), how)),
        noted: true,
        late: false,
        over_room: false,
    }
}

fn order(token: u64, at: u64) -> StartOrderRecord {
    StartOrderRecord {
        target: 0,
        token,
        arrived_ns: s(at),
        expired: false,
        task: format!("{JOB}.0.0.0"),
    }
}

/// A job of two steps with a task each that was accepted, run and shown as completed, under an
/// owner that was succeeded.
fn sound() -> SoakHistory {
    let owner = |token, at| OwnerRecord {
        token,
        process: 0,
        written_ns: s(at),
    };
    SoakHistory {
        jobs: vec![CallerJob {
            job: SoakJob {
                id: JOB.to_owned(),
                steps: vec![(1, 1000), (1, 1000)],
                padding: String::new(),
            },
            replies: vec![SubmitReply::Unknown, SubmitReply::Accepted],
            accepted_ns: Some(s(2)),
            cancel_sent_ns: None,
            cancelled_ns: None,
            shown: vec![(s(9), LookReply::Shown(JobShown::Completed))],
        }],
        runs: vec![
            run("0.0", 2, 3, RunEnd::Lapsed),
            run("0.0", 3, 4, RunEnd::Done),
            run("1.0", 5, 6, RunEnd::Done),
        ],
        log_writes: 4,
        orders: vec![order(7, 2), order(9, 5)],
        owners: vec![owner(7, 1), owner(9, 4)],
        ..SoakHistory::default()
    }
}

/// A run whose lease a former owner extended until after its task was done elsewhere.
fn run_on_cut_off_target() -> RunRecord {
    RunRecord {
        target: 1,
        token: 7,
        noted: false,
        ..run("1.0", 3, 7, RunEnd::Lapsed)
    }
}

#[test]
fn check_soak_sound() {
    let tally = check_soak(&sound());
    assert!(tally.broken.is_empty(), "{:?}", tally.broken);
    assert!(tally.checked.values().all(|count| *count > 0));
}

/// An end that nobody took note of before the lease lapsed is not known to anyone, so the task has
/// to run again.
#[test]
fn check_soak_end_not_noted() {
    let mut history = sound();
    history.runs[0] = RunRecord {
        noted: false,
        ..run("0.0", 2, 3, RunEnd::Done)
    };
    assert!(check_soak(&history).broken.is_empty());
}

/// A sender that was suspended may send an order on waking, after its time limit.
#[test]
fn check_soak_expired_order() {
    let mut history = sound();
    history.orders.push(StartOrderRecord {
        expired: true,
        ..order(7, 5)
    });
    assert!(check_soak(&history).broken.is_empty());
}

/// A check that finds nothing in a history with a broken promise would let every soak pass.
#[rstest]
#[case::two_at_once("once-at-a-time", |h: &mut SoakHistory| h.runs.push(run("1.0", 5, 7, RunEnd::Lapsed)))]
#[case::cut_off_and_elsewhere("once-at-a-time", |h: &mut SoakHistory| h.runs.push(run_on_cut_off_target()))]
#[case::again_after_end("done-once", |h: &mut SoakHistory| h.runs.push(run("1.0", 7, 8, RunEnd::Done)))]
#[case::step_too_early("steps-in-order", |h: &mut SoakHistory| h.runs[2].start_ns = s(3))]
#[case::token_of_nobody("token-of-owner", |h: &mut SoakHistory| h.orders.push(order(0, 6)))]
#[case::order_of_former_owner("one-holder", |h: &mut SoakHistory| h.orders.push(order(7, 5)))]
#[case::begun_for_former_owner("begun-by-owner", |h: &mut SoakHistory| h.runs[2].token = 7)]
#[case::refused_ran("refused-never-runs", |h: &mut SoakHistory| {
    h.jobs[0].replies = vec![SubmitReply::Refused, SubmitReply::Unheard];
})]
#[case::cancelled_begun("cancelled-not-begun", |h: &mut SoakHistory| {
    h.jobs[0].cancel_sent_ns = Some(s(1));
    h.jobs[0].cancelled_ns = Some(s(1));
})]
#[case::never_completed("accepted-completes", |h: &mut SoakHistory| h.jobs[0].shown.clear())]
#[case::forgotten("shown-as-is", |h: &mut SoakHistory| h.jobs[0].shown.push((s(8), LookReply::Gone)))]
#[case::completed_too_early("shown-as-is", |h: &mut SoakHistory| h.jobs[0].shown[0].0 = s(5))]
#[case::cancelled_by_nobody("shown-as-is", |h: &mut SoakHistory| {
    h.jobs[0].shown.push((s(8), LookReply::Shown(JobShown::Cancelled)));
})]
#[case::sent_by_nobody("asked-for", |h: &mut SoakHistory| h.runs[0].task = "00000000000000b2.0.0.0".to_owned())]
#[case::beyond_limit("workspace-limit", |h: &mut SoakHistory| {
    h.runs = (0..60).map(|index| run(&format!("0.{index}"), 2, 3, RunEnd::Done)).collect();
})]
#[case::beyond_room("room", |h: &mut SoakHistory| h.runs[0].over_room = true)]
#[case::log_of_former_owner("one-writer", |h: &mut SoakHistory| {
    h.strays.push(StrayWrite { process: 1, key: "log/1".to_owned(), written_ns: s(5) });
})]
#[case::log_grows("log-bounded", |h: &mut SoakHistory| h.log_peak = 4 << 20)]
#[case::drained_begun("drained-not-begun", |h: &mut SoakHistory| {
    h.drains.push(DrainPeriod { from_ns: 0, to_ns: s(20) });
    h.runs[2].target = 1;
})]
#[case::process_fell("stays-up", |h: &mut SoakHistory| h.fallen.push("process 1".to_owned()))]
fn check_soak_finds(#[case] check: &str, #[case] spoil: fn(&mut SoakHistory)) {
    let mut history = sound();
    spoil(&mut history);
    let broken = check_soak(&history).broken;
    let found = broken.iter().any(|violation| violation.check == check);
    assert!(found, "{check} is not among {broken:?}");
}

/// A failed seed is only of use if it gives the same schedule again.
#[test]
fn plan_faults_repeats() {
    let plan = |seed| format!("{:?}", plan_faults(seed, Duration::from_secs(60), 5, 12));
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3), plan(4));
}

/// A failed seed of partitions is only of use if it gives the same schedule again.
#[test]
fn partitions_repeats() {
    let span = Duration::from_secs(60);
    let plan = |seed| format!("{:?}", SoakSchedule::partitions(seed, span, 5, 12));
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3), plan(4));
}

/// Faults that are all shorter than what the product waits for show nothing of what happens once
/// these times are over.
#[test]
fn partitions_lengths_around_bounds() {
    let tuning = SchedulerTuning::default();
    let span = Duration::from_secs(120);
    let plans: Vec<_> = (0..20)
        .map(|seed| SoakSchedule::partitions(seed, span, 5, 12))
        .collect();
    let lengths = plans.iter().flat_map(|plan| &plan.partitions);
    let mut lengths: Vec<_> = lengths.map(|cut| cut.end - cut.begin).collect();
    lengths.sort();
    let lease = tuning.lease_limit + tuning.lapse_margin;
    let bounds = [
        lease,
        tuning.lease_overhang,
        tuning.owner_lease + tuning.lease_overhang + tuning.lapse_margin,
    ];
    for bound in bounds {
        let within = |from: f64, to: f64| {
            let range = bound.mul_f64(from)..bound.mul_f64(to);
            lengths.iter().any(|length| range.contains(length))
        };
        let all = within(0.6, 1.0) && within(1.0, 1.4) && within(2.0, 4.0);
        assert!(all, "no lengths around {bound:?}: {lengths:?}");
    }
}

/// A partition that leaves its owner in touch with all others can't show an owner that nobody tells
/// of its successor.
#[test]
fn partitions_cut_owners_off_with_targets() {
    let span = Duration::from_secs(120);
    let plans = (0..20).map(|seed| SoakSchedule::partitions(seed, span, 5, 12));
    let cuts: Vec<_> = plans.flat_map(|plan| plan.partitions).collect();
    let apart = cuts.iter().filter(|cut| !cut.store_groups.contains(&0));
    assert!(apart.count() * 2 > cuts.len());
    let struck = cuts.iter().flat_map(|cut| &cut.strikes);
    for kind in [FaultKind::Terminate, FaultKind::Kill, FaultKind::Pause] {
        assert!(struck.clone().any(|strike| strike.kind == kind), "{kind:?}");
    }
    for cut in &cuts {
        assert!(cut.target_groups.contains(&0) && cut.process_groups[0] == 0);
        assert!(cut.process_groups.contains(&1), "{cut:?}");
    }
}

/// Without the former owner's renewals a trace doesn't show why a task ran twice.
#[test]
fn trace_task_tells_renewals() {
    let mut history = sound();
    history.runs.push(run_on_cut_off_target());
    history.renewals.push(RenewalRecord {
        target: 1,
        token: 7,
        from_ns: s(3),
        last_ns: s(5),
        until_ns: s(7),
        count: 4,
    });
    let text = trace_task(&history, &format!("{JOB}.0.1.0"));
    let renewed = "lease on t1 extended by token 7 4 times from 2.000 to 4.000, until 6.000";
    assert!(text.contains(renewed), "{text}");
}
