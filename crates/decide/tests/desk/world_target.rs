use std::{collections::BTreeMap, time::Duration};

use decide::work::SchedulerTime;
use model::{
    BootTime, HostId,
    work::{
        EndKind, EndReport, OrderAnswer, PollAnswer, PollOrder, RunReport, StartAnswer, StartOrder,
        StartRefusal, StopOrder, TargetReport, TaskKey,
    },
};

/// A target of the model, with what it runs and has seen in its present life.
#[derive(Default)]
pub struct WorldTarget {
    pub born: Duration,
    /// The life that the host list tells of, which may be the one before.
    pub shown: Duration,
    pub shown_until: BootTime,
    pub address: String,
    pub up: bool,
    pub cut: bool,
    pub listed: bool,
    /// Its host begins its next life under another id.
    pub replaced: bool,
    /// Whether the list of hosts lacks it while it is down.
    pub hidden: bool,
    /// When it writes its entry into the host list.
    pub writes_at: Option<BootTime>,
    /// Until when calls to it went wrong.
    pub disturbed: BootTime,
    /// When each task was last started.
    pub started_at: BTreeMap<TaskKey, BootTime>,
    pub down_since: BootTime,
    pub back_at: BootTime,
    pub token: u64,
    /// When its clock began, which starts anew with each life.
    pub zero: BootTime,
    pub until: BootTime,
    pub runs: BTreeMap<(TaskKey, u64), BootTime>,
    pub closed: BTreeMap<TaskKey, u64>,
    pub ended: Vec<EndReport>,
    pub ends: u64,
}

impl WorldTarget {
    /// The next life of its host, under an id of its own.
    pub fn successor(&self, name: &HostId, now: SchedulerTime) -> (HostId, Self) {
        let state = Self {
            born: now.unix,
            shown: now.unix,
            zero: now.boot,
            address: self.address.clone(),
            up: true,
            ..Self::default()
        };
        (HostId::from(format!("{name}n")), state)
    }

    /// Ends what has been done, and everything once its time has lapsed.
    pub fn finish(&mut self, now: BootTime) {
        if !self.up {
            return;
        }
        let over: Vec<(TaskKey, u64)> = self
            .runs
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(run, _)| run.clone())
            .collect();
        for run in over {
            self.end(run, EndKind::Done);
        }
        if now > self.until {
            let lapsed: Vec<(TaskKey, u64)> = self.runs.keys().cloned().collect();
            for run in lapsed {
                self.end(run, EndKind::LeaseExpired);
            }
        }
    }

    fn end(&mut self, run: (TaskKey, u64), kind: EndKind) {
        self.runs.remove(&run);
        self.ends += 1;
        let (task, attempt) = run;
        self.close(&task, attempt);
        self.ended.push(EndReport {
            number: self.ends,
            task,
            attempt,
            kind,
            checkpoint: Default::default(),
        });
    }

    fn close(&mut self, task: &TaskKey, attempt: u64) {
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(attempt);
    }

    fn fenced(&mut self, token: u64) -> bool {
        let fenced = token < self.token;
        self.token = self.token.max(token);
        fenced
    }

    fn extend(&mut self, until: Duration, now: BootTime) {
        let until = self.zero + until;
        self.until = self.until.max(until.min(now + Duration::from_secs(6)));
    }

    fn clock(&self, now: BootTime) -> Duration {
        now.saturating_sub(self.zero)
    }

    pub fn start(&mut self, order: &StartOrder, now: BootTime, end: BootTime) -> StartAnswer {
        if self.fenced(order.token) {
            return StartAnswer::Refused(StartRefusal::Fenced);
        }
        if self.zero + order.lease_until < now {
            return StartAnswer::Refused(StartRefusal::Late);
        }
        self.extend(order.lease_until, now);
        let run = (order.task.clone(), order.attempt);
        if self.runs.contains_key(&run) {
            return StartAnswer::Started {
                clock: self.clock(now),
            };
        }
        if self
            .closed
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
        if self.fenced(order.token) {
            return OrderAnswer::Fenced;
        }
        let run = (order.task.clone(), order.attempt);
        if self.runs.contains_key(&run) {
            self.end(run, EndKind::Stopped);
        }
        self.close(&order.task, order.attempt);
        self.finish(now);
        OrderAnswer::Done
    }

    /// Answers a look; also tells which done tasks it lets the target forget.
    pub fn look(&mut self, order: &PollOrder, now: BootTime) -> (PollAnswer, Vec<TaskKey>) {
        if self.fenced(order.token) {
            return (PollAnswer::Fenced, Vec::new());
        }
        if let Some(until) = order.lease_until {
            self.extend(until, now);
        }
        let noted = self
            .ended
            .iter()
            .filter(|end| end.number <= order.acked_end);
        let noted = noted
            .filter(|end| end.kind == EndKind::Done)
            .map(|end| end.task.clone());
        let noted = noted.collect();
        self.ended.retain(|end| end.number > order.acked_end);
        let running = self.runs.iter().map(|((task, attempt), end)| RunReport {
            task: task.clone(),
            attempt: *attempt,
            // A task that lasts says that it is at work.
            percent: if *end == BootTime::MAX { 100 } else { 50 },
            ..RunReport::default()
        });
        let sight = TargetReport {
            clock: self.clock(now),
            started_at: self.born,
            running: running.collect(),
            ended: self.ended.clone(),
        };
        (PollAnswer::Seen(sight), noted)
    }
}
