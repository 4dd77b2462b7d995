use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use decide::work::{AdviceCaller, AdviceRequest, SchedulerAction};
use model::{
    BootTime, HostId,
    work::{
        AdvicePolicy, EndKind, EndReport, FleetPolicy, StartAnswer, StartOrder, StartRefusal,
        StepPlan, TaskKey, WorkspacePolicy,
    },
};
use wire::work::{LogEntry, log_entry::Event};

use super::{SchedulerFixture, end_report, job_record, plan};

/// A service that works on a request for as long as a short task runs.
pub const SLOW_ADVICE: AdvicePolicy = AdvicePolicy {
    fixed: Duration::from_millis(300),
    per_target: Duration::from_millis(5),
    valid: Duration::from_secs(3),
};
/// A service that answers soon.
pub const QUICK_ADVICE: AdvicePolicy = AdvicePolicy {
    fixed: Duration::from_millis(20),
    per_target: Duration::from_millis(2),
    valid: Duration::from_secs(3),
};
/// Length of a simulation step.
const TICK: Duration = Duration::from_millis(20);
/// Calls that the service lets wait.
const MAX_WAITING: usize = 32;
/// The largest number of targets that a request may name.
const MAX_NAMED: usize = 100;

/// How the service treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceMode {
    /// Handles one call after the other.
    #[default]
    Working,
    /// Refuses all calls.
    Refusing,
    /// Answers no call.
    Silent,
}

/// Returns true for the targets on which a step's tasks may run.
pub type TargetFilter = Box<dyn Fn(&TaskKey, &HostId) -> bool>;

/// An owner with an advice service, which handles one call of each process after the other.
pub struct AdviceFixture {
    pub owner: SchedulerFixture,
    pub mode: ServiceMode,
    /// Whether the service skips calls whose caller no longer waits.
    pub skips_abandoned: bool,
    /// Policy of the service.
    pub allows: TargetFilter,
    /// How many times as long as the policy says the service takes.
    pub slowness: u32,
    /// Whether the service handles one call after the other, whichever process sends them.
    pub one_line_for_all: bool,
    /// Processes that don't pass the calls on.
    pub dead_callers: BTreeSet<AdviceCaller>,
    /// Targets that refuse the tickets of a step.
    pub refuses_tickets: TargetFilter,
    /// Number of starts that were refused for their ticket.
    pub refused_starts: usize,
    /// Requests in the order of sending, with the time.
    pub requests: Vec<(BootTime, AdviceRequest)>,
    /// Number of answers that nobody waited for.
    pub unread_answers: usize,
    /// Number of refused calls.
    pub refused: usize,
    /// Starts in the order of sending, with the time and the target.
    pub starts: Vec<(BootTime, HostId, StartOrder)>,
    policy: AdvicePolicy,
    /// Number of starts whose ends were reported, and of the last end on each target.
    ended_starts: usize,
    end_numbers: BTreeMap<HostId, u64>,
    /// The calls at the service by process; it handles those of one process after the other.
    lines: BTreeMap<AdviceCaller, ServiceLine>,
    /// Calls that got no answer yet and whose caller waits.
    awaited: Vec<(BootTime, TaskKey)>,
}

/// Calls of one process at the service.
#[derive(Default)]
struct ServiceLine {
    /// Each with the time at which its caller gives up.
    calls: VecDeque<(BootTime, AdviceRequest)>,
    /// When the first call will have been handled.
    handled_at: Option<BootTime>,
}

impl AdviceFixture {
    pub fn new(targets: usize, policy: AdvicePolicy) -> Self {
        let mut owner = SchedulerFixture::new(1);
        let mut fleet = FleetPolicy::clone(&owner.scheduler.policy);
        fleet.queues[0].advice = Some(policy);
        fleet.queues[0].slack_time = Duration::from_millis(2500);
        fleet.workspaces = ["space", "small"]
            .map(|name| WorkspacePolicy {
                name: name.into(),
                weight: 1,
                ..WorkspacePolicy::default()
            })
            .to_vec();
        owner.scheduler.set_policy(Arc::new(fleet));
        for number in 0..targets {
            owner.add_target(&format!("t{number:04}"), 16_000);
        }
        Self {
            owner,
            mode: ServiceMode::Working,
            skips_abandoned: true,
            allows: Box::new(|_, _| true),
            slowness: 1,
            one_line_for_all: false,
            dead_callers: BTreeSet::new(),
            refuses_tickets: Box::new(|_, _| false),
            refused_starts: 0,
            requests: Vec::new(),
            unread_answers: 0,
            refused: 0,
            starts: Vec::new(),
            policy,
            ended_starts: 0,
            end_numbers: BTreeMap::new(),
            lines: BTreeMap::new(),
            awaited: Vec::new(),
        }
    }

    /// Lets other processes call the service for the owner.
    pub fn add_peers(&mut self, peers: &[&str]) {
        let peers = peers.iter().copied().map(Into::into).collect();
        self.owner.scheduler.set_advice_peers(peers);
    }

    pub fn now(&self) -> BootTime {
        self.owner.now.boot
    }

    /// Submits a job to the queue with advice.
    pub fn submit(&mut self, job: &str, workspace: &str, steps: Vec<StepPlan>) {
        let mut record = job_record(job, &plan(steps), self.owner.now);
        workspace.clone_into(&mut record.workspace);
        self.owner.stored.push(LogEntry {
            event: Some(Event::Accepted(record.clone())),
        });
        self.owner.scheduler.accept_job(&record, self.owner.now);
        self.owner.run_planning();
        self.receive_requests();
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now() + time;
        while self.now() < end {
            self.owner.advance(TICK);
            self.receive_requests();
            self.give_up_calls();
            self.handle_calls();
            self.collect_starts();
        }
    }

    /// Lets time pass in which tasks end as soon as they have started.
    pub fn run_and_end(&mut self, time: Duration) {
        let end = self.now() + time;
        while self.now() < end {
            self.run_for(TICK);
            let mut ends: BTreeMap<HostId, Vec<EndReport>> = BTreeMap::new();
            for (_, target, start) in self.starts.iter().skip(self.ended_starts) {
                let number = self.end_numbers.entry(target.clone()).or_default();
                *number += 1;
                let report = end_report(*number, &start.task, start.attempt, EndKind::Done);
                ends.entry(target.clone()).or_default().push(report);
            }
            self.ended_starts = self.starts.len();
            for (target, ends) in ends {
                self.owner.report(&target, Vec::new(), ends);
            }
        }
    }

    /// Lets time pass until this many jobs have started; returns the time that it took, or `limit`.
    pub fn run_until_started(&mut self, jobs: usize, limit: Duration) -> Duration {
        let begin = self.now();
        while self.started_jobs().len() < jobs && self.now() < begin + limit {
            self.run_for(TICK);
        }
        self.now() - begin
    }

    /// Jobs of which a task was started.
    pub fn started_jobs(&self) -> BTreeSet<String> {
        let starts = self.starts.iter();
        starts
            .map(|(_, _, start)| start.task.job.to_string())
            .collect()
    }

    /// Number of calls at the service.
    pub fn calls_at_service(&self) -> usize {
        self.lines.values().map(|line| line.calls.len()).sum()
    }

    /// Sum of the targets that the requests named.
    pub fn named_targets(&self) -> usize {
        let requests = self.requests.iter();
        requests.map(|(_, request)| request.targets.len()).sum()
    }

    fn receive_requests(&mut self) {
        for action in std::mem::take(&mut self.owner.other_actions) {
            let SchedulerAction::RequestAdvice(request) = action else {
                continue;
            };
            assert!(request.targets.len() <= MAX_NAMED);
            self.requests.push((self.now(), request.clone()));
            let gives_up_at = self.now() + request.timeout;
            let is_gone = self.dead_callers.contains(&request.caller);
            let caller = match self.one_line_for_all {
                true => AdviceCaller::Owner,
                false => request.caller.clone(),
            };
            let line = self.lines.entry(caller).or_default();
            if self.mode == ServiceMode::Refusing || line.calls.len() > MAX_WAITING {
                self.refused += 1;
                self.answer(&request.step, None);
                continue;
            }
            self.awaited.push((gives_up_at, request.step.clone()));
            if !is_gone {
                line.calls.push_back((gives_up_at, request));
            }
        }
    }

    fn give_up_calls(&mut self) {
        let now = self.now();
        let (over, waiting) = std::mem::take(&mut self.awaited)
            .into_iter()
            .partition(|(gives_up_at, _)| *gives_up_at <= now);
        self.awaited = waiting;
        for (_, step) in over {
            self.answer(&step, None);
        }
    }

    fn handle_calls(&mut self) {
        if self.mode == ServiceMode::Silent {
            return;
        }
        let callers: Vec<AdviceCaller> = self.lines.keys().cloned().collect();
        for caller in callers {
            while let Some(request) = self.next_handled(&caller) {
                self.awaited.retain(|(_, step)| *step != request.step);
                let granted = request.targets.iter();
                let granted = granted.filter(|target| (self.allows)(&request.step, target));
                let tickets = granted.map(|target| (target.clone(), "ticket".into()));
                self.answer(&request.step, Some(tickets.collect()));
            }
        }
    }

    /// Returns the next call of a process that was handled and whose caller still waits.
    fn next_handled(&mut self, caller: &AdviceCaller) -> Option<AdviceRequest> {
        let now = self.now();
        let line = self.lines.get_mut(caller)?;
        loop {
            let (gives_up_at, request) = line.calls.front()?;
            let is_abandoned = *gives_up_at <= now;
            let Some(handled_at) = line.handled_at else {
                if is_abandoned && self.skips_abandoned {
                    line.calls.pop_front();
                    continue;
                }
                line.handled_at =
                    Some(now + self.policy.call_time(request.targets.len()) * self.slowness);
                return None;
            };
            if now < handled_at {
                return None;
            }
            line.handled_at = None;
            let (_, request) = line.calls.pop_front()?;
            if !is_abandoned {
                return Some(request);
            }
            self.unread_answers += 1;
        }
    }

    fn answer(
        &mut self,
        step: &TaskKey,
        tickets: Option<Vec<(HostId, compact_str::CompactString)>>,
    ) {
        let now = self.owner.now;
        self.owner.scheduler.handle_advice(step, tickets, now);
        self.owner.run_planning();
    }

    fn collect_starts(&mut self) {
        let now = self.now();
        let refuses = &self.refuses_tickets;
        let (refused, accepted) = std::mem::take(&mut self.owner.starts)
            .into_iter()
            .partition(|(target, start)| refuses(&start.task, target));
        self.owner.starts = accepted;
        let refused: Vec<(HostId, StartOrder)> = refused;
        self.refused_starts += refused.len();
        for (target, start) in refused {
            let answer = StartAnswer::Refused(StartRefusal::NoTicket);
            let (task, attempt) = (&start.task, start.attempt);
            let scheduler = &mut self.owner.scheduler;
            scheduler.handle_start_answer(&target, task, attempt, &answer, self.owner.now);
        }
        let starts = self.owner.confirm_starts();
        let starts = starts
            .into_iter()
            .map(|(target, start)| (now, target, start));
        self.starts.extend(starts);
    }
}
