use std::collections::VecDeque;

use decide::work::SchedulerEvent;
use model::{
    PoolId,
    event::{self as log_event, EventInfo},
};

use crate::{event, metric};

/// Maximum number of pools that one line names.
const MAX_LOGGED_POOLS: usize = 4;

/// Logs each decision of the scheduler and each change in its view of targets and tasks.
///
/// `dropped` is the number of further events that the scheduler discarded because they came too
/// fast.
pub(crate) fn log_events(events: VecDeque<SchedulerEvent>, dropped: u64) {
    if dropped > 0 {
        log_event::warn(
            &event::DECISIONS_DROPPED,
            format_args!("decisions={dropped}"),
        );
    }
    for event in events {
        log_decision(&event);
    }
}

fn log_decision(event: &SchedulerEvent) {
    match event {
        SchedulerEvent::Placed(task, attempt, target, inputs) => log_event::info(
            &event::TASK_PLACED,
            format_args!(
                "task={task} attempt={attempt} target={target} class={:?} heard_ms={} free_cpu={}",
                inputs.class,
                inputs.last_response_age.as_millis(),
                inputs.free_cpu
            ),
        ),
        SchedulerEvent::Adopted(task, attempt, target) => {
            log_run(&event::TASK_ADOPTED, task, *attempt, target, "");
        }
        SchedulerEvent::Unwanted(task, attempt, target) => {
            log_run(&event::TASK_UNWANTED, task, *attempt, target, "");
        }
        SchedulerEvent::Unconfirmed(task, attempt, target) => {
            log_run(&event::TASK_UNSURE, task, *attempt, target, "");
        }
        SchedulerEvent::Vanished(task, attempt, target) => {
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
        SchedulerEvent::TargetLost(target, why, runs) => log_event::warn(
            &event::TARGET_LOST,
            format_args!("target={target} why={why} runs={runs}"),
        ),
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

fn log_run(
    info: &EventInfo,
    task: &model::work::TaskKey,
    attempt: u64,
    target: &model::HostId,
    how: &str,
) {
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
