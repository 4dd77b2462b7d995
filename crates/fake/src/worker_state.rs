use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::{
    FaultDice, StartRecord, TaskOrder, TaskReport, WorkOrder, WorkerFaults, WorkerSettings,
    boot_nanos,
};

/// How old the use is that a worker reports.
const USAGE_LAG: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct TaskEntry {
    report: TaskReport,
    order: TaskOrder,
    start: usize,
    ends_ns: u64,
    lease_ns: u64,
    fails: Option<String>,
}

#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) settings: WorkerSettings,
    pub(crate) starts: Vec<StartRecord>,
    pub(crate) reboots: u64,
    pub(crate) draining: bool,
    faults: WorkerFaults,
    dice: FaultDice,
    tasks: BTreeMap<String, TaskEntry>,
    life: u64,
    up_again_ns: u64,
    usage: [(u64, WorkerUse); 2],
}

/// What a worker's tasks use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct WorkerUse {
    cores: u32,
    memory_mb: u64,
    accelerators: u32,
}

impl WorkerState {
    pub(crate) fn new(settings: WorkerSettings) -> Self {
        Self {
            settings,
            starts: Vec::new(),
            reboots: 0,
            draining: false,
            faults: WorkerFaults::default(),
            dice: FaultDice::new(0),
            tasks: BTreeMap::new(),
            life: boot_nanos(),
            up_again_ns: 0,
            usage: Default::default(),
        }
    }

    pub(crate) fn faults(&self) -> &WorkerFaults {
        &self.faults
    }

    pub(crate) fn set_faults(&mut self, faults: WorkerFaults) {
        self.dice = FaultDice::new(faults.seed);
        self.faults = faults;
    }

    pub(crate) fn is_up(&self) -> bool {
        !self.faults.gone && boot_nanos() >= self.up_again_ns
    }

    /// Which life of the worker this is.
    pub(crate) fn boot(&self) -> String {
        format!("{:x}", self.life)
    }

    /// Ends what has run its time and stops what lost its lease.
    pub(crate) fn advance(&mut self) {
        let now = boot_nanos();
        for entry in self.tasks.values_mut().filter(|entry| entry.runs()) {
            if entry.ends_ns <= now.min(entry.lease_ns) {
                let (state, reason) = match &entry.fails {
                    Some(reason) => ("failed", reason.clone()),
                    None => ("done", String::new()),
                };
                entry.report.reason = reason;
                entry.end(&mut self.starts, state, state, entry.ends_ns);
            } else if entry.lease_ns <= now {
                entry.end(&mut self.starts, "stopped", "lease", entry.lease_ns);
            }
        }
        let used = self.used();
        if now.saturating_sub(self.usage[1].0) >= nanos(USAGE_LAG) {
            self.usage = [self.usage[1], (now, used)];
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.tasks.values().filter(|entry| entry.runs()).count()
    }

    /// Use as of some seconds ago.
    pub(crate) fn usage(&self) -> WorkerUse {
        self.usage[0].1
    }

    pub(crate) fn reports(&self) -> Vec<TaskReport> {
        let entries = self.tasks.values();
        entries.map(|entry| entry.report.clone()).collect()
    }

    /// True for a task meant for another life of the worker.
    ///
    /// It is not remembered as refused: it may have run in the life it was meant for.
    pub(crate) fn is_for_other_life(&self, order: &TaskOrder) -> bool {
        !order.boot.is_empty() && order.boot != self.boot()
    }

    /// Starts a task unless it is known; `Err` if it is refused and not run.
    ///
    /// A refused id stays refused: the caller places the job elsewhere, and a copy of the
    /// call that comes late must not run then.
    pub(crate) fn start(&mut self, order: TaskOrder) -> Result<TaskReport, &'static str> {
        if let Some(entry) = self.tasks.get(&order.task) {
            return match entry.report.state.as_str() {
                "refused" => Err("refused before"),
                _ => Ok(entry.report.clone()),
            };
        }
        let refusal = self.refusal(&order);
        if let Some(reason) = refusal {
            let entry = TaskEntry::new(order, "refused");
            self.tasks.insert(entry.report.task.clone(), entry);
            return Err(reason);
        }
        Ok(self.run(order))
    }

    fn refusal(&mut self, order: &TaskOrder) -> Option<&'static str> {
        let used = self.used();
        let fits = used.cores.saturating_add(order.cores) <= self.settings.cores
            && used.memory_mb.saturating_add(order.memory_mb) <= self.settings.memory_mb
            && used.accelerators.saturating_add(order.accelerators) <= self.settings.accelerators;
        if self.draining {
            return Some("draining");
        }
        if !fits {
            return Some("no room");
        }
        let refused = self.faults.refuse_starts.strikes(&mut self.dice);
        refused.then_some("told to refuse")
    }

    fn run(&mut self, order: TaskOrder) -> TaskReport {
        let now = boot_nanos();
        let payload = decode_hex(&order.payload);
        let work = WorkOrder::parse(&payload);
        let run_time = work.service.unwrap_or(self.settings.run_time);
        let bad_job = payload.starts_with(b"fail");
        let fails = if self.faults.fail_all {
            Some("the worker is broken".to_owned())
        } else {
            bad_job.then(|| "the payload can't be run".to_owned())
        };
        self.starts.push(StartRecord {
            task: order.task.clone(),
            team: order.team.clone(),
            idempotent: order.idempotent,
            nonce: work.nonce,
            start_ns: now,
            ..StartRecord::default()
        });
        let lease = nanos(Duration::from_millis(order.lease_ms));
        let task = order.task.clone();
        let mut entry = TaskEntry::new(order, "running");
        entry.ends_ns = now + nanos(run_time);
        entry.lease_ns = now.saturating_add(lease);
        entry.fails = fails;
        entry.start = self.starts.len() - 1;
        let report = entry.report.clone();
        self.tasks.insert(task, entry);
        report
    }

    /// Renews leases; tells the state of each task.
    pub(crate) fn renew(&mut self, tasks: &[String], lease_ms: u64) -> Vec<TaskReport> {
        let lease_ns = boot_nanos().saturating_add(nanos(Duration::from_millis(lease_ms)));
        let mut reports = Vec::new();
        for task in tasks {
            if let Some(entry) = self.tasks.get_mut(task) {
                entry.lease_ns = lease_ns;
                reports.push(entry.report.clone());
                continue;
            }
            reports.push(TaskReport {
                task: task.clone(),
                state: "unknown".to_owned(),
                reason: String::new(),
            });
        }
        reports
    }

    /// Stops a task; one that is not known is kept from starting later.
    pub(crate) fn stop(&mut self, task: &str) -> TaskReport {
        let now = boot_nanos();
        if let Some(entry) = self.tasks.get_mut(task) {
            if entry.runs() {
                entry.end(&mut self.starts, "stopped", "stopped", now);
            }
            return entry.report.clone();
        }
        let order = TaskOrder {
            task: task.to_owned(),
            ..TaskOrder::default()
        };
        let entry = TaskEntry::new(order, "stopped");
        let report = entry.report.clone();
        self.tasks.insert(task.to_owned(), entry);
        report
    }

    /// Makes a task take twice the time that is left.
    pub(crate) fn throttle(&mut self, task: &str) -> Option<TaskReport> {
        let now = boot_nanos();
        let entry = self.tasks.get_mut(task)?;
        if entry.runs() {
            entry.ends_ns += entry.ends_ns.saturating_sub(now);
        }
        Some(entry.report.clone())
    }

    /// The state of a task, which this stand-in can always be asked to checkpoint.
    pub(crate) fn checkpoint(&self, task: &str) -> Option<TaskReport> {
        self.tasks.get(task).map(|entry| entry.report.clone())
    }

    /// Cuts what runs, forgets all tasks, stays away for a while and comes back serving.
    pub(crate) fn reboot(&mut self) {
        let now = boot_nanos();
        for entry in self.tasks.values_mut().filter(|entry| entry.runs()) {
            entry.end(&mut self.starts, "stopped", "cut", now);
        }
        self.tasks.clear();
        self.reboots += 1;
        self.life = now;
        self.draining = false;
        self.up_again_ns = now.saturating_add(nanos(self.settings.reboot));
    }

    /// True if the answer to this start is to be lost.
    pub(crate) fn loses_start(&mut self) -> bool {
        self.faults.lose_starts.strikes(&mut self.dice)
    }

    fn used(&self) -> WorkerUse {
        let mut used = WorkerUse::default();
        for entry in self.tasks.values().filter(|entry| entry.runs()) {
            used.cores += entry.order.cores;
            used.memory_mb += entry.order.memory_mb;
            used.accelerators += entry.order.accelerators;
        }
        used
    }
}

impl TaskEntry {
    fn new(order: TaskOrder, state: &str) -> Self {
        Self {
            report: TaskReport {
                task: order.task.clone(),
                state: state.to_owned(),
                reason: String::new(),
            },
            start: usize::MAX,
            ends_ns: 0,
            lease_ns: 0,
            fails: None,
            order,
        }
    }

    fn runs(&self) -> bool {
        self.report.state == "running"
    }

    fn end(&mut self, starts: &mut [StartRecord], state: &str, outcome: &str, at_ns: u64) {
        state.clone_into(&mut self.report.state);
        if let Some(start) = starts.get_mut(self.start) {
            start.end_ns = at_ns;
            outcome.clone_into(&mut start.outcome);
        }
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks_exact(2);
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).ok()?;
        u8::from_str_radix(text, 16).ok()
    };
    digits.map_while(byte).collect()
}
