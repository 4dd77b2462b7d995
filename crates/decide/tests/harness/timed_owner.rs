use std::{collections::BTreeMap, sync::Arc, time::Duration};

use decide::work::{SchedulerAction, SchedulerTime, SchedulerTuning, WorkScheduler};
use model::{
    HostId,
    work::{
        EndKind, JobPlan, PollAnswer, RepeatPlan, RunReport, StartAnswer, StartOrder, TargetReport,
    },
};
use store::thread_processor_time;
use wire::work::{LogEntry, log_entry::Event};

use super::{end_report, job_record, policy_with_limit, run_report, target};

/// Capacity of a target, in thousandths of a core.
const CAPACITY: u64 = 8000;
/// Simulated time between two rounds.
const ROUND: Duration = Duration::from_millis(50);

/// An owner whose tasks end one round after their start, and the processor time of its longest step:
/// a call of the scheduler, during which its process handles nothing else.
pub struct TimedOwner {
    pub scheduler: WorkScheduler,
    pub now: SchedulerTime,
    /// Processor time of the longest step, and its name.
    pub longest: (Duration, &'static str),
    /// Started tasks in order.
    pub started: Vec<StartOrder>,
    /// Entries of the job log.
    pub stored: Vec<LogEntry>,
    runs: BTreeMap<HostId, Vec<StartOrder>>,
    end_numbers: BTreeMap<HostId, u64>,
}

impl TimedOwner {
    pub fn new(targets: usize) -> Self {
        let now = SchedulerTime {
            boot: Duration::from_secs(100_000),
            unix: Duration::from_secs(1_000_000),
        };
        Self::over_log(targets, now, 1, Vec::new())
    }

    /// The next owner, which polls the same targets and finds them empty.
    pub fn successor(&self, token: u64) -> Self {
        Self::over_log(self.runs.len(), self.now, token, self.stored.clone())
    }

    fn over_log(targets: usize, now: SchedulerTime, token: u64, stored: Vec<LogEntry>) -> Self {
        let mut owner = Self {
            scheduler: WorkScheduler::new(SchedulerTuning::default(), token),
            now,
            longest: (Duration::ZERO, "none"),
            started: Vec::new(),
            stored: Vec::new(),
            runs: BTreeMap::new(),
            end_numbers: BTreeMap::new(),
        };
        for entry in &stored {
            owner.time("replay", |scheduler, now| scheduler.replay(entry, now));
        }
        owner.stored = stored;
        owner.time("finish replay", WorkScheduler::finish_replay);
        owner.set_policy();
        for number in 0..targets {
            let id: HostId = format!("t{number}").into();
            let entry = target(&id, CAPACITY);
            owner.time("list", |scheduler, now| {
                scheduler.upsert_target(entry, now);
            });
            owner.runs.insert(id, Vec::new());
        }
        owner.end_tasks();
        owner
    }

    /// Runs a step and measures it.
    pub fn time<R>(
        &mut self,
        name: &'static str,
        step: impl FnOnce(&mut WorkScheduler, SchedulerTime) -> R,
    ) -> R {
        let begun = thread_processor_time();
        let result = step(&mut self.scheduler, self.now);
        let took = thread_processor_time().saturating_sub(begun);
        self.longest = self.longest.max((took, name));
        result
    }

    pub fn set_policy(&mut self) {
        let policy = Arc::new(policy_with_limit(0));
        self.time("policy", |scheduler, _| scheduler.set_policy(policy));
    }

    /// Submits a job with `count` occurrences, a second apart, of which `due` are due.
    pub fn submit_schedule(&mut self, job: &str, plan: &JobPlan, count: u32, due: u32) {
        let period = Duration::from_secs(1);
        let repeat = RepeatPlan {
            count,
            first: self.now.unix - period * due.saturating_sub(1),
            period,
        };
        let repeat = Some(repeat);
        self.submit(
            job,
            &JobPlan {
                repeat,
                ..plan.clone()
            },
        );
    }

    pub fn submit(&mut self, job: &str, plan: &JobPlan) {
        let record = job_record(job, plan, self.now);
        self.stored.push(LogEntry {
            event: Some(Event::Accepted(record.clone())),
        });
        self.time("accept", |scheduler, now| {
            scheduler.accept_job(&record, now);
        });
    }

    pub fn cancel(&mut self, job: &str) {
        self.stored.push(LogEntry {
            event: Some(Event::Cancelled(job.to_owned())),
        });
        self.time("cancel", |scheduler, now| {
            scheduler.cancel(&job.into(), now);
        });
    }

    /// Ticks, starts what there is room for, and ends it one round later.
    pub fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.time("tick", WorkScheduler::tick);
            self.start_tasks();
            self.now.boot += ROUND;
            self.now.unix += ROUND;
            self.end_tasks();
            self.handle_actions();
        }
    }

    /// Starts tasks until none can start.
    pub fn start_tasks(&mut self) {
        loop {
            let is_unfinished = self.time("plan", |scheduler, now| {
                scheduler.plan_starts(now, usize::MAX)
            });
            if !self.handle_actions() && !is_unfinished {
                return;
            }
        }
    }

    /// Handles the actions of the scheduler; returns false if there were none.
    fn handle_actions(&mut self) -> bool {
        let actions = self.scheduler.take_actions();
        self.scheduler.take_events();
        let any = !actions.is_empty();
        actions
            .into_iter()
            .for_each(|action| self.handle_action(action));
        any
    }

    fn handle_action(&mut self, action: SchedulerAction) {
        match action {
            SchedulerAction::AppendLog(record) => {
                self.stored.push(record.entry.clone());
                self.time("stored", |scheduler, now| {
                    scheduler.handle_stored_entry(&record, now);
                });
            }
            SchedulerAction::Start(id, start) => {
                let answer = StartAnswer::Started {
                    clock: self.now.boot,
                };
                let (task, attempt) = (start.task.clone(), start.attempt);
                self.started.push(start.clone());
                self.runs.entry(id.clone()).or_default().push(start);
                self.time("answer", |scheduler, now| {
                    scheduler.handle_start_answer(&id, &task, attempt, &answer, now);
                });
            }
            _ => {}
        }
    }

    /// Reports all running tasks, each with a checkpoint of its own.
    pub fn report_runs(&mut self) {
        for (id, runs) in self.runs.clone() {
            let running = (0..).zip(&runs).map(|(number, start): (u32, _)| RunReport {
                checkpoint: format!("{id}-{number}").into(),
                ..run_report(start)
            });
            let report = TargetReport {
                clock: self.now.boot,
                started_at: Duration::from_secs(1),
                running: running.collect(),
                ended: Vec::new(),
            };
            let answer = PollAnswer::Seen(report);
            self.time("report of runs", |scheduler, now| {
                scheduler.apply_report(&id, now.boot, 0, &answer, now);
            });
        }
    }

    /// Ends all running tasks and reports the ends.
    fn end_tasks(&mut self) {
        let ids: Vec<HostId> = self.runs.keys().cloned().collect();
        for id in ids {
            let ended = std::mem::take(self.runs.entry(id.clone()).or_default());
            let number = self.end_numbers.entry(id.clone()).or_default();
            let ends = ended.iter().map(|start| {
                *number += 1;
                end_report(*number, &start.task, start.attempt, EndKind::Done)
            });
            let report = TargetReport {
                clock: self.now.boot,
                started_at: Duration::from_secs(1),
                running: Vec::<RunReport>::new(),
                ended: ends.collect(),
            };
            let answer = PollAnswer::Seen(report);
            self.time("report", |scheduler, now| {
                scheduler.apply_report(&id, now.boot, 0, &answer, now);
            });
        }
    }
}
