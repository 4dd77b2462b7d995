use std::collections::{BTreeMap, BTreeSet, HashMap};

use compact_str::CompactString;
use model::{BootTime, JobId, PoolId};

use super::{
    job_summary::{JobContext, JobSummary},
    occurrence_index::OccurrenceIndex,
    occurrence_summary::{JobView, OccurrenceSummary},
};

/// Index of jobs by what scheduling decisions look up, so that no decision iterates over all jobs.
///
/// It holds no information of its own and can be rebuilt from the job table at any time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct JobIndex {
    jobs: HashMap<JobId, IndexedJob>,
    /// Index of the open occurrences.
    pub(super) work: OccurrenceIndex,
    /// Number of open jobs without a started task, for each queue.
    pending: BTreeMap<CompactString, u64>,
    /// For each pool, the number of open jobs by the number of hosts that they need for
    /// anti-affinity.
    anti_affinity_hosts: BTreeMap<PoolId, BTreeMap<usize, usize>>,
    /// Open jobs with occurrences that are not open yet.
    pub(super) repeating: BTreeSet<JobId>,
    /// Open jobs with gang steps.
    pub(super) gangs: BTreeSet<JobId>,
    /// Jobs that have ended and have no unstored log entries, by the time of their end.
    ended: BTreeSet<(BootTime, JobId)>,
}

/// Summaries of a job and of its open occurrences.
#[derive(Clone, Debug, Default, PartialEq)]
struct IndexedJob {
    summary: JobSummary,
    occurrences: BTreeMap<u32, OccurrenceSummary>,
}

impl JobIndex {
    /// Updates the summary of a job and of its `changed` occurrences. If a task may be able to start
    /// because of the change, adds the job's pool to `due`. Returns the number of summaries that
    /// were computed.
    pub(super) fn update(
        &mut self,
        id: &JobId,
        job: Option<JobView<'_>>,
        changed: &BTreeSet<u32>,
        due: &mut BTreeSet<PoolId>,
    ) -> usize {
        let mut indexed = self.jobs.remove(id).unwrap_or_default();
        let Some(view) = job else {
            self.remove_occurrences(id, &mut indexed);
            self.remove_summary(id, &indexed.summary);
            return 1;
        };
        let summary = JobSummary::of_job(view.job);
        let (visited, has_new_work) = if summary.context == indexed.summary.context {
            let updates = changed
                .iter()
                .map(|&number| self.update_occurrence(id, view, number, &mut indexed));
            let has_new_work = updates.fold(false, |any, is_new| any | is_new);
            (changed.len(), has_new_work)
        } else {
            self.remove_occurrences(id, &mut indexed);
            let has_new_work = self.add_occurrences(id, view, &summary.context, &mut indexed);
            (indexed.occurrences.len(), has_new_work)
        };
        if has_new_work {
            due.insert(summary.context.pool.clone());
        }
        if indexed.summary != summary {
            self.remove_summary(id, &indexed.summary);
            self.add_summary(id, &summary);
            indexed.summary = summary;
        }
        self.jobs.insert(id.clone(), indexed);
        1 + visited
    }

    /// Returns the number of open jobs of a queue without a started task.
    pub(super) fn pending(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or_default()
    }

    /// Returns the number of hosts that the open jobs of a pool need for anti-affinity; 0 for none.
    pub(super) fn anti_affinity_hosts(&self, pool: &str) -> usize {
        let hosts = self
            .anti_affinity_hosts
            .get(pool)
            .and_then(BTreeMap::last_key_value);
        hosts.map_or(0, |(hosts, _)| *hosts)
    }

    /// Returns the jobs that ended before a time and have no unstored log entries.
    pub(super) fn ended_before(&self, before: BootTime) -> Vec<JobId> {
        let ended = self.ended.range(..(before, JobId::default()));
        ended.map(|(_, id)| id.clone()).collect()
    }

    /// Updates an occurrence of a job whose context is unchanged. Returns true if a task may be able
    /// to start because of the change.
    fn update_occurrence(
        &mut self,
        id: &JobId,
        view: JobView<'_>,
        number: u32,
        indexed: &mut IndexedJob,
    ) -> bool {
        let before = indexed.occurrences.remove(&number).unwrap_or_default();
        let state = view.job.occurrences.get(&number);
        let after = state.map(|state| OccurrenceSummary::of_occurrence(view, number, state));
        let context = &indexed.summary.context;
        let Some(after) = after else {
            let none = OccurrenceSummary::default();
            return self.work.replace((id, number), context, &before, &none);
        };
        let has_new_work = self.work.replace((id, number), context, &before, &after);
        indexed.occurrences.insert(number, after);
        has_new_work
    }

    /// Adds all occurrences of a job. Returns true if a task waits.
    fn add_occurrences(
        &mut self,
        id: &JobId,
        view: JobView<'_>,
        context: &JobContext,
        indexed: &mut IndexedJob,
    ) -> bool {
        let mut waits = false;
        for (&number, state) in view.job.occurrences.iter() {
            let summary = OccurrenceSummary::of_occurrence(view, number, state);
            let none = OccurrenceSummary::default();
            waits |= self.work.replace((id, number), context, &none, &summary);
            indexed.occurrences.insert(number, summary);
        }
        waits
    }

    /// Removes all occurrences of a job.
    fn remove_occurrences(&mut self, id: &JobId, indexed: &mut IndexedJob) {
        for (number, summary) in std::mem::take(&mut indexed.occurrences) {
            let (context, none) = (&indexed.summary.context, OccurrenceSummary::default());
            self.work.replace((id, number), context, &summary, &none);
        }
    }

    fn add_summary(&mut self, id: &JobId, summary: &JobSummary) {
        if let Some(queue) = &summary.pending_queue {
            *self.pending.entry(queue.clone()).or_default() += 1;
        }
        if summary.anti_affinity_hosts > 0 {
            let pool = summary.context.pool.clone();
            let job_counts = self.anti_affinity_hosts.entry(pool).or_default();
            *job_counts.entry(summary.anti_affinity_hosts).or_default() += 1;
        }
        if summary.has_future_occurrences {
            self.repeating.insert(id.clone());
        }
        if summary.has_gang {
            self.gangs.insert(id.clone());
        }
        if let Some(ended) = summary.ended_at {
            self.ended.insert((ended, id.clone()));
        }
        let group = &summary.context.group;
        self.work
            .add_unconfirmed_usage(group, summary.unopened_usage);
    }

    fn remove_summary(&mut self, id: &JobId, summary: &JobSummary) {
        if let Some(queue) = &summary.pending_queue
            && let Some(pending) = self.pending.get_mut(queue)
        {
            *pending -= 1;
            if *pending == 0 {
                self.pending.remove(queue);
            }
        }
        if summary.anti_affinity_hosts > 0 {
            self.remove_anti_affinity_hosts(summary);
        }
        if summary.has_future_occurrences {
            self.repeating.remove(id);
        }
        if summary.has_gang {
            self.gangs.remove(id);
        }
        if let Some(ended) = summary.ended_at {
            self.ended.remove(&(ended, id.clone()));
        }
        let group = &summary.context.group;
        self.work
            .remove_unconfirmed_usage(group, summary.unopened_usage);
    }

    fn remove_anti_affinity_hosts(&mut self, summary: &JobSummary) {
        let Some(job_counts) = self.anti_affinity_hosts.get_mut(&summary.context.pool) else {
            return;
        };
        if let Some(jobs) = job_counts.get_mut(&summary.anti_affinity_hosts) {
            *jobs -= 1;
            if *jobs == 0 {
                job_counts.remove(&summary.anti_affinity_hosts);
            }
        }
        if job_counts.is_empty() {
            self.anti_affinity_hosts.remove(&summary.context.pool);
        }
    }
}
