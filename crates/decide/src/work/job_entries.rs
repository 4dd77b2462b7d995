use model::work::ResourceVector;
use wire::work::{JobEnd, JobPhase, JobRecord, OccurrenceEnd, StepEnds, TaskEnd, log_entry::Event};

use super::{StepState, WorkJob, WorkPhase, record_of_limit, record_of_plan};

/// Log entries of a job in a compacted log.
impl WorkJob {
    /// Returns how the job ended; `None` while it is open.
    pub(super) fn closed_phase(&self) -> Option<JobPhase> {
        match self.phase {
            WorkPhase::Open | WorkPhase::CancelPending => None,
            WorkPhase::Completed => Some(JobPhase::Completed),
            WorkPhase::Failed => Some(JobPhase::Failed),
            WorkPhase::Cancelled | WorkPhase::Unsubmitted => Some(JobPhase::Cancelled),
        }
    }

    /// Returns the maximum of the resources of its tasks, component by component.
    fn max_resources(&self) -> ResourceVector {
        let resources = self.plan.steps.iter().map(|step| step.resources);
        resources.fold(self.closed_resources, ResourceVector::max_each)
    }

    /// Returns the record that is kept of an ended job.
    pub(super) fn end_record(&self, phase: JobPhase) -> JobEnd {
        let resources = self.max_resources();
        JobEnd {
            job: self.id.to_string(),
            phase: phase.into(),
            finished: self.finished,
            workspace: self.workspace.to_string(),
            cpu: resources.cpu,
            memory_mb: resources.memory_mb,
            gpu: resources.gpu,
            unsubmitted: self.phase == WorkPhase::Unsubmitted,
        }
    }

    /// Returns the record of its acceptance.
    pub(super) fn record(&self) -> JobRecord {
        let former_pools = self.recorded_pools.iter();
        let former_pools = former_pools.filter(|pool| **pool != self.pool);
        JobRecord {
            job: self.id.to_string(),
            queue: self.queue.to_string(),
            pool: self.pool.to_string(),
            terms: self.terms.map(|terms| terms.to_record()),
            workspace: self.workspace.to_string(),
            workspace_limit: record_of_limit(self.workspace_limit),
            accepted_unix_ms: u64::try_from(self.accepted.as_millis()).unwrap_or(u64::MAX),
            former_pools: former_pools.map(ToString::to_string).collect(),
            ..record_of_plan(&self.plan)
        }
    }

    /// Adds the ended occurrences and tasks of an open job to `events`.
    pub(super) fn push_ends(&self, events: &mut Vec<Event>) {
        let ended = (0..self.opened).filter(|number| !self.occurrences.contains_key(number));
        events.extend(ended.map(|occurrence| {
            Event::Occurrence(OccurrenceEnd {
                job: self.id.to_string(),
                occurrence,
            })
        }));
        for (&occurrence, state) in self.occurrences.iter() {
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
