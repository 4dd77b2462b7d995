use std::collections::VecDeque;

use decide::work::{EarlierRun, LossCause, PlacementInputs, SchedulerEvent, TargetLoss};
use model::{
    HostId, PoolId,
    event::{self as log_event, EventInfo},
    work::{AttemptNumber, FencingToken, TaskKey},
};

use crate::{event, metric};

/// Maximum number of pools that one line names.
const MAX_LOGGED_POOLS: usize = 4;

/// Logs each decision of the scheduler and each change in its view of targets and tasks.
///
/// `dropped` is the number of further events that the scheduler discarded because they came too
/// fast; `token` is that of the owner.
pub(crate) fn log_events(events: VecDeque<SchedulerEvent>, dropped: u64, token: FencingToken) {
    if dropped > 0 {
        log_event::warn(
            &event::DECISIONS_DROPPED,
            format_args!("decisions={dropped}"),
        );
    }
    for event in events {
        log_decision(&event, token);
    }
}

fn log_decision(event: &SchedulerEvent, token: FencingToken) {
    match event {
        SchedulerEvent::Placed(task, attempt, target, inputs) => {
            log_placement(task, *attempt, target, inputs);
        }
        SchedulerEvent::Adopted(task, attempt, target, over) => {
            log_found_run(&event::TASK_ADOPTED, task, *attempt, target, *over);
        }
        SchedulerEvent::Unwanted(task, attempt, target, over) => {
            log_found_run(&event::TASK_UNWANTED, task, *attempt, target, *over);
        }
        SchedulerEvent::Unconfirmed(task, attempt, target) => {
            log_run(&event::TASK_UNSURE, task, *attempt, target, "");
        }
        SchedulerEvent::Vanished(task, attempt, target) => {
            metrics::counter!(metric::RUNS_GIVEN_UP, "cause" => "vanished").increment(1);
            log_run(&event::TASK_VANISHED, task, *attempt, target, "");
        }
        SchedulerEvent::Stalled(task, attempt, target) => {
            log_run(&event::TASK_STALLED, task, *attempt, target, "");
        }
        SchedulerEvent::Ended(task, attempt, target, how) => {
            metrics::counter!(metric::ENDS, "how" => *how).increment(1);
            log_run(&event::TASK_ENDED, task, *attempt, target, how);
        }
        SchedulerEvent::StartRefused(task, attempt, target, why) => {
            log_run(&event::TASK_REFUSED, task, *attempt, target, why);
        }
        SchedulerEvent::JobEnded(job, how) => {
            log_event::info(&event::JOB_ENDED, format_args!("job={job} how={how}"));
        }
        SchedulerEvent::TargetUsable(target) => {
            log_event::info(&event::TARGET_RAISED, format_args!("target={target}"));
        }
        SchedulerEvent::TargetLost(target, loss) => log_loss(target, loss, token),
        SchedulerEvent::TargetUnreachable(target, runs) => log_event::info(
            &event::TARGET_MISSED,
            format_args!("target={target} runs={runs}"),
        ),
        SchedulerEvent::QueueMoved(queue, pool) => log_event::info(
            &event::QUEUE_MOVED,
            format_args!("queue={queue} pool={pool}"),
        ),
        SchedulerEvent::UnpolledPools(pools) => {
            let names = pools.iter().take(MAX_LOGGED_POOLS);
            let names: Vec<&str> = names.map(PoolId::as_str).collect();
            log_event::info(
                &event::POOLS_UNPOLLED,
                format_args!("pools={} names={}", pools.len(), names.join(",")),
            );
        }
        SchedulerEvent::MassUnresponsive(listed) => {
            log_event::warn(&event::SILENCE_AWAITED, format_args!("listed={listed}"));
        }
        SchedulerEvent::TargetUnresponsive(target) => {
            log_event::warn(&event::TARGET_SILENT, format_args!("target={target}"));
        }
    }
}

fn log_placement(
    task: &TaskKey,
    attempt: AttemptNumber,
    target: &HostId,
    inputs: &PlacementInputs,
) {
    let earlier = match &inputs.earlier {
        EarlierRun::Never => "never".to_owned(),
        EarlierRun::Unseen => "unseen".to_owned(),
        EarlierRun::Last(run) => format!(
            "{} prev_attempt={} prev_target={}",
            run.cause, run.attempt, run.target
        ),
    };
    log_event::info(
        &event::TASK_PLACED,
        format_args!(
            "task={task} attempt={attempt} target={target} class={:?} heard_ms={} free_cpu={} after={earlier}",
            inputs.class,
            inputs.last_response_age.as_millis(),
            inputs.free_cpu
        ),
    );
}

fn log_loss(target: &HostId, loss: &TargetLoss, token: FencingToken) {
    let (why, fact, runs) = (loss.cause.why(), loss.cause.fact(), loss.runs);
    metrics::counter!(metric::RUNS_GIVEN_UP, "cause" => why).increment(runs as u64);
    if let Some(elapsed) = loss.since_grant {
        metrics::histogram!(metric::SINCE_GRANT_SECONDS, "cause" => why)
            .record(elapsed.as_secs_f64());
    }
    let since_grant = match loss.since_grant {
        Some(elapsed) => format!(" since_grant_ms={}", elapsed.as_millis()),
        None => String::new(),
    };
    let grounds = match &loss.cause {
        LossCause::LeaseLapsed(lapsed) => format!(
            " inherited={} polled={} handed_over={} reached={} listed={}",
            lapsed.inherited, lapsed.polled, lapsed.handed_over, lapsed.reached, lapsed.listed
        ),
        LossCause::AddressTaken(other) => format!(" by={other}"),
        _ => String::new(),
    };
    log_event::warn(
        &event::TARGET_LOST,
        format_args!(
            "target={target} why={why} fact={fact} runs={runs} token={token}{since_grant}{grounds}"
        ),
    );
}

fn log_found_run(
    info: &EventInfo,
    task: &TaskKey,
    attempt: AttemptNumber,
    target: &HostId,
    over: Option<&'static str>,
) {
    let given_up = over.map(|cause| format!(" given_up={cause}"));
    let given_up = given_up.unwrap_or_default();
    log_event::info(
        info,
        format_args!("task={task} attempt={attempt} target={target}{given_up}"),
    );
}

fn log_run(info: &EventInfo, task: &TaskKey, attempt: AttemptNumber, target: &HostId, how: &str) {
    if how.is_empty() {
        log_event::info(
            info,
            format_args!("task={task} attempt={attempt} target={target}"),
        );
    } else {
        log_event::info(
            info,
            format_args!("task={task} attempt={attempt} target={target} how={how}"),
        );
    }
}
