use model::work::ResourceVector;
use wire::work::{JobEnd, JobPhase, JobRecord, OccurrenceEnd, StepEnds, TaskEnd, log_entry::Event};

use super::{StepState, WorkJob, WorkPhase, record_of_plan};

/// What a shorter log says of a job.
impl WorkJob {
    /// How the job ended; `None` while it is open.
    pub(super) fn closed_phase(&self) -> Option<JobPhase> {
        match self.phase {
            WorkPhase::Open | WorkPhase::CancelPending => None,
            WorkPhase::Completed => Some(JobPhase::Completed),
            WorkPhase::Failed => Some(JobPhase::Failed),
            WorkPhase::Cancelled | WorkPhase::Unsubmitted => Some(JobPhase::Cancelled),
        }
    }

    /// The most that a task of it takes.
    fn largest_need(&self) -> ResourceVector {
        let needs = self.plan.steps.iter().map(|step| step.resources);
        needs.fold(self.closed_resources, ResourceVector::max_each)
    }

    /// What is kept of it once it has ended.
    pub(super) fn end_record(&self, phase: JobPhase) -> JobEnd {
        let need = self.largest_need();
        JobEnd {
            job: self.id.to_string(),
            phase: phase.into(),
            finished: self.finished,
            workspace: self.workspace.to_string(),
            cpu: need.cpu,
            memory_mb: need.memory_mb,
            gpu: need.gpu,
            unsubmitted: self.phase == WorkPhase::Unsubmitted,
        }
    }

    /// The record that it was accepted by.
    pub(super) fn record(&self) -> JobRecord {
        JobRecord {
            job: self.id.to_string(),
            queue: self.queue.to_string(),
            pool: self.pool.to_string(),
            workspace: self.workspace.to_string(),
            accepted_unix_ms: u64::try_from(self.accepted.as_millis()).unwrap_or(u64::MAX),
            ..record_of_plan(&self.plan)
        }
    }

    /// Adds what has ended of an open job.
    pub(super) fn push_ends(&self, events: &mut Vec<Event>) {
        let ended = (0..self.opened).filter(|number| !self.occurrences.contains_key(number));
        events.extend(ended.map(|occurrence| {
            Event::Occurrence(OccurrenceEnd {
                job: self.id.to_string(),
                occurrence,
            })
        }));
        for (&occurrence, state) in &self.occurrences {
            for (step, tasks) in (0..).zip(&state.steps) {
                self.push_step_ends(occurrence, step, tasks, events);
            }
        }
    }

    fn push_step_ends(
        &self,
        occurrence: u32,
        step: u32,
        state: &StepState,
        events: &mut Vec<Event>,
    ) {
        let mut done = Vec::new();
        for (index, task) in (0..).zip(&state.tasks) {
            events.extend(task.failed_attempts.iter().map(|&attempt| {
                Event::Ended(TaskEnd {
                    job: self.id.to_string(),
                    occurrence,
                    step,
                    index,
                    attempt,
                    ..TaskEnd::default()
                })
            }));
            if task.done {
                done.push(index);
            }
        }
        if !done.is_empty() {
            events.push(Event::StepEnds(StepEnds {
                job: self.id.to_string(),
                occurrence,
                step,
                done,
            }));
        }
    }
}
