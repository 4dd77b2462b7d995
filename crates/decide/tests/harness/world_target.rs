use std::{collections::BTreeMap, time::Duration};

use decide::work::SchedulerTime;
use model::{
    BootTime, HostId,
    work::{
        EndKind, EndReport, OrderAnswer, PollAnswer, PollOrder, RunReport, StartAnswer, StartOrder,
        StartRefusal, StopOrder, TargetReport, TaskKey,
    },
};

/// A simulated target with the state of its current incarnation.
#[derive(Default)]
pub struct SimTarget {
    pub started_at: Duration,
    /// Start time in the host list, which may be that of the previous incarnation.
    pub listed_start: Duration,
    pub listing_stale_until: BootTime,
    pub address: String,
    pub up: bool,
    pub partitioned: bool,
    /// Token of the owner that reaches it during a partition.
    pub partitioned_with: Option<u64>,
    pub listed: bool,
    /// Whether its host restarts under another id.
    pub returns_with_new_id: bool,
    /// Whether the list of incarnations omits it while it is down.
    pub hidden_while_down: bool,
    /// When it writes its entry to the host list.
    pub entry_write_at: Option<BootTime>,
    /// Until when failed calls to it may take effect.
    pub disturbed_until: BootTime,
    /// Last start of each task.
    pub task_starts: BTreeMap<TaskKey, BootTime>,
    pub down_since: BootTime,
    pub back_at: BootTime,
    pub token: u64,
    /// Zero of its clock, which restarts with each incarnation.
    pub clock_start: BootTime,
    pub lease_until: BootTime,
    pub runs: BTreeMap<(TaskKey, u64), BootTime>,
    pub fenced_attempts: BTreeMap<TaskKey, u64>,
    pub ended: Vec<EndReport>,
    pub last_end_number: u64,
    /// Number of the last end before a moment without a lease. Tasks with such ends may have been given
    /// up and started elsewhere.
    pub last_lapsed_end: u64,
}

impl SimTarget {
    /// The next incarnation of its host, under another id.
    pub fn successor(&self, name: &HostId, now: SchedulerTime) -> (HostId, Self) {
        let state = Self {
            started_at: now.unix,
            listed_start: now.unix,
            clock_start: now.boot,
            address: self.address.clone(),
            up: true,
            ..Self::default()
        };
        (HostId::from(format!("{name}n")), state)
    }

    /// Ends runs that are done, and all runs once the lease has expired.
    pub fn end_due_runs(&mut self, now: BootTime) {
        if !self.up {
            return;
        }
        let done: Vec<(TaskKey, u64)> = self
            .runs
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(run, _)| run.clone())
            .collect();
        for run in done {
            self.end_run(run, EndKind::Done);
        }
        if now > self.lease_until {
            self.last_lapsed_end = self.last_end_number;
            let lapsed: Vec<(TaskKey, u64)> = self.runs.keys().cloned().collect();
            for run in lapsed {
                self.end_run(run, EndKind::LeaseExpired);
            }
        }
    }

    fn end_run(&mut self, run: (TaskKey, u64), kind: EndKind) {
        self.runs.remove(&run);
        self.last_end_number += 1;
        let (task, attempt) = run;
        self.fence_attempt(&task, attempt);
        self.ended.push(EndReport {
            number: self.last_end_number,
            task,
            attempt,
            kind,
            checkpoint: Default::default(),
        });
    }

    fn fence_attempt(&mut self, task: &TaskKey, attempt: u64) {
        let closed = self.fenced_attempts.entry(task.clone()).or_default();
        *closed = (*closed).max(attempt);
    }

    fn observe_token(&mut self, token: u64) -> bool {
        let fenced = token < self.token;
        self.token = self.token.max(token);
        fenced
    }

    fn extend_lease(&mut self, until: Duration, now: BootTime) {
        let until = self.clock_start + until;
        self.lease_until = self
            .lease_until
            .max(until.min(now + Duration::from_secs(6)));
    }

    fn clock(&self, now: BootTime) -> Duration {
        now.saturating_sub(self.clock_start)
    }

    pub fn start(&mut self, order: &StartOrder, now: BootTime, end: BootTime) -> StartAnswer {
        if self.observe_token(order.token) {
            return StartAnswer::Refused(StartRefusal::Fenced);
        }
        if self.clock_start + order.lease_until < now {
            return StartAnswer::Refused(StartRefusal::Late);
        }
        self.extend_lease(order.lease_until, now);
        let run = (order.task.clone(), order.attempt);
        if self.runs.contains_key(&run) {
            return StartAnswer::Started {
                clock: self.clock(now),
            };
        }
        if self
            .fenced_attempts
            .get(&order.task)
            .is_some_and(|closed| order.attempt <= *closed)
        {
            return StartAnswer::Refused(StartRefusal::OldAttempt);
        }
        self.runs.insert(run, end);
        StartAnswer::Started {
            clock: self.clock(now),
        }
    }

    pub fn stop(&mut self, order: &StopOrder, now: BootTime) -> OrderAnswer {
        if self.observe_token(order.token) {
            return OrderAnswer::Fenced;
        }
        let run = (order.task.clone(), order.attempt);
        if self.runs.contains_key(&run) {
            self.end_run(run, EndKind::Stopped);
        }
        self.fence_attempt(&order.task, order.attempt);
        self.end_due_runs(now);
        OrderAnswer::Done
    }

    /// Answers a poll with all ends. Also returns the ends `done` that the poll acknowledges.
    pub fn poll(&mut self, order: &PollOrder, now: BootTime) -> (PollAnswer, Vec<EndReport>) {
        self.poll_limited(order, usize::MAX, now)
    }

    /// Same as [`SimTarget::poll`], with at most `report_limit` ends in the answer.
    pub fn poll_limited(
        &mut self,
        order: &PollOrder,
        report_limit: usize,
        now: BootTime,
    ) -> (PollAnswer, Vec<EndReport>) {
        if self.observe_token(order.token) {
            return (PollAnswer::Fenced, Vec::new());
        }
        if let Some(until) = order.lease_until {
            self.extend_lease(until, now);
        }
        let acked = self
            .ended
            .iter()
            .filter(|end| end.number <= order.acked_end);
        let acked = acked.filter(|end| end.kind == EndKind::Done);
        let acked = acked.cloned().collect();
        self.ended.retain(|end| end.number > order.acked_end);
        let running = self.runs.iter().map(|((task, attempt), end)| RunReport {
            task: task.clone(),
            attempt: *attempt,
            // A long-running task reports that it is ready.
            percent: if *end == BootTime::MAX { 100 } else { 50 },
            ..RunReport::default()
        });
        let report = TargetReport {
            clock: self.clock(now),
            started_at: self.started_at,
            running: running.collect(),
            ended: self.ended.iter().take(report_limit).cloned().collect(),
        };
        (PollAnswer::Seen(report), acked)
    }
}
