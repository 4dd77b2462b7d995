use std::time::Duration;

use model::work::{JobPlan, RepeatPlan, ResourceVector, StepPlan};
use wire::work::{JobRecord, ResourceRecord, StepRecord};

/// Converts a plan to its log record. The caller fills in ids and times.
pub fn record_of_plan(plan: &JobPlan) -> JobRecord {
    let repeat = plan.repeat.unwrap_or_default();
    JobRecord {
        payload: plan.payload.to_string(),
        steps: plan.steps.iter().map(record_of_step).collect(),
        repeat_count: repeat.count,
        first_unix_ms: millis(repeat.first),
        period_ms: millis(repeat.period),
        ..JobRecord::default()
    }
}

/// Converts a log record to its plan.
pub fn plan_of_record(record: &JobRecord) -> JobPlan {
    let repeat = RepeatPlan {
        count: record.repeat_count,
        first: Duration::from_millis(record.first_unix_ms),
        period: Duration::from_millis(record.period_ms),
    };
    JobPlan {
        payload: record.payload.as_str().into(),
        steps: record.steps.iter().map(step_of_record).collect(),
        repeat: (record.repeat_count > 0).then_some(repeat),
    }
}

/// Returns the limit of a job's workspace, as far as its record has it; zero for none.
pub(super) fn limit_of_record(record: &JobRecord) -> ResourceVector {
    let limit = record.workspace_limit.unwrap_or_default();
    ResourceVector {
        cpu: limit.cpu,
        memory_mb: limit.memory_mb,
        gpu: limit.gpu,
    }
}

/// Converts the limit of a workspace to its log record; `None` if it has none.
pub fn record_of_limit(limit: ResourceVector) -> Option<ResourceRecord> {
    (limit != ResourceVector::default()).then_some(ResourceRecord {
        cpu: limit.cpu,
        memory_mb: limit.memory_mb,
        gpu: limit.gpu,
    })
}

fn record_of_step(step: &StepPlan) -> StepRecord {
    StepRecord {
        count: step.count,
        cpu: step.resources.cpu,
        memory_mb: step.resources.memory_mb,
        gpu: step.resources.gpu,
        estimate_ms: millis(step.estimate),
        after: step.after.clone(),
        saves_progress: step.saves_progress,
        gang: step.gang,
        same_rack: step.same_rack,
        required_label: step.required_label.to_string(),
        affinity: step.affinity.to_string(),
        anti_affinity: step.anti_affinity,
        speculative: step.speculative,
        long_running: step.long_running,
        image: step.image.to_string(),
        tail_target_ms: millis(step.tail_latency_target),
        fills: step.best_effort,
        may_miss: step.max_unavailable,
    }
}

fn step_of_record(record: &StepRecord) -> StepPlan {
    StepPlan {
        count: record.count,
        resources: ResourceVector {
            cpu: record.cpu,
            memory_mb: record.memory_mb,
            gpu: record.gpu,
        },
        estimate: Duration::from_millis(record.estimate_ms),
        after: record.after.clone(),
        saves_progress: record.saves_progress,
        gang: record.gang,
        same_rack: record.same_rack,
        required_label: record.required_label.as_str().into(),
        affinity: record.affinity.as_str().into(),
        anti_affinity: record.anti_affinity,
        speculative: record.speculative,
        long_running: record.long_running,
        image: record.image.as_str().into(),
        tail_latency_target: Duration::from_millis(record.tail_target_ms),
        best_effort: record.fills,
        max_unavailable: record.may_miss,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
