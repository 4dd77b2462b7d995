use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{FaultDice, FaultRate, HttpCall, WorkOrder, boot_nanos, digest_bytes};

/// What an executor is.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorSettings {
    /// Requests that it runs at once.
    pub slots: usize,
    /// Connections that it holds at once.
    pub connections: usize,
    /// Mean service time of bodies that don't say theirs.
    pub service: Duration,
    /// True for exponential service times around the mean, false for constant ones.
    pub exponential: bool,
    /// How long a reboot takes.
    pub reboot: Duration,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for ExecutorSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 64,
            service: Duration::from_millis(5),
            exponential: false,
            reboot: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// Faults of an executor; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExecutorFaults {
    /// Added to each service time, in milliseconds.
    pub slow_ms: u64,
    /// Runs that fail with status 500.
    pub fail: FaultRate,
    /// Health calls fail.
    pub fail_health: bool,
    /// Runs whose answer is lost: the connection closes after they ended.
    pub lose_answers: FaultRate,
    /// Runs answered with a foreign request id and body.
    pub cross_answers: FaultRate,
    /// Runs whose answer breaks off half way.
    pub truncate_answers: FaultRate,
    /// Runs whose answer comes late, by `late_ms`.
    pub late_answers: FaultRate,
    /// Delay of late answers, in milliseconds; the slot is free meanwhile.
    pub late_ms: u64,
    /// Connections are refused.
    pub gone: bool,
    /// Seed of the chances.
    pub seed: u64,
}

/// One run of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RunRecord {
    /// Request id, as the header gave it.
    pub request: String,
    /// Team, as the header gave it.
    pub team: String,
    /// Whether running it twice does no harm, as the header gave it.
    pub idempotent: bool,
    /// Mark in the body.
    pub nonce: String,
    /// Digest of the body.
    pub body_digest: u64,
    /// Start, in nanoseconds of the boot clock.
    pub start_ns: u64,
    /// End; 0 while it runs.
    pub end_ns: u64,
    /// True if a reboot cut it off.
    pub cut: bool,
}

/// What an executor refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ExecutorCounts {
    /// Requests beyond the slots.
    pub over_slots: u64,
    /// Connections beyond the limit.
    pub over_connections: u64,
    /// Requests while draining.
    pub while_draining: u64,
    /// Requests whose deadline had passed.
    pub past_deadline: u64,
    /// Reboots.
    pub reboots: u64,
}

/// One drain, from the call until the executor serves again; times are nanoseconds of the
/// boot clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainRecord {
    /// When it was asked to drain.
    pub begin_ns: u64,
    /// When it was asked to serve again, or came back from a reboot; 0 if it still drains.
    pub end_ns: u64,
    /// When a request last arrived in between; 0 for never.
    pub last_attempt_ns: u64,
}

/// One admitted run and the faults that strike it.
#[derive(Debug)]
pub(crate) struct RunPlan {
    pub(crate) request: String,
    pub(crate) service: Duration,
    pub(crate) late: Duration,
    pub(crate) fail: bool,
    pub(crate) lose: bool,
    pub(crate) cross: bool,
    pub(crate) truncate: bool,
    index: usize,
    life: u64,
}

#[derive(Debug)]
pub(crate) struct ExecutorState {
    pub(crate) settings: ExecutorSettings,
    pub(crate) running: usize,
    pub(crate) runs: Vec<RunRecord>,
    pub(crate) counts: ExecutorCounts,
    pub(crate) drains: Vec<DrainRecord>,
    faults: ExecutorFaults,
    fault_dice: FaultDice,
    service_dice: FaultDice,
    draining: bool,
    up_again_ns: u64,
}

impl ExecutorState {
    pub(crate) fn new(settings: ExecutorSettings) -> Self {
        let service_dice = FaultDice::new(settings.seed);
        Self {
            settings,
            running: 0,
            runs: Vec::new(),
            counts: ExecutorCounts::default(),
            drains: Vec::new(),
            faults: ExecutorFaults::default(),
            fault_dice: FaultDice::new(0),
            service_dice,
            draining: false,
            up_again_ns: 0,
        }
    }

    pub(crate) fn faults(&self) -> &ExecutorFaults {
        &self.faults
    }

    pub(crate) fn set_faults(&mut self, faults: ExecutorFaults) {
        self.fault_dice = FaultDice::new(faults.seed);
        self.faults = faults;
    }

    pub(crate) fn is_up(&self) -> bool {
        !self.faults.gone && boot_nanos() >= self.up_again_ns
    }

    pub(crate) fn phase_name(&self) -> &'static str {
        if self.draining { "draining" } else { "serving" }
    }

    pub(crate) fn set_draining(&mut self, draining: bool) {
        match (self.draining, draining) {
            (false, true) => self.drains.push(DrainRecord {
                begin_ns: boot_nanos(),
                ..DrainRecord::default()
            }),
            (true, false) => self.end_drain(boot_nanos()),
            _ => {}
        }
        self.draining = draining;
    }

    fn end_drain(&mut self, at_ns: u64) {
        if let Some(drain) = self.drains.last_mut() {
            drain.end_ns = at_ns;
        }
    }

    /// Cuts what runs, stays away for a while and comes back serving.
    pub(crate) fn reboot(&mut self) {
        let now = boot_nanos();
        for run in self.runs.iter_mut().filter(|run| run.end_ns == 0) {
            run.end_ns = now;
            run.cut = true;
        }
        self.running = 0;
        self.counts.reboots += 1;
        let pause = u64::try_from(self.settings.reboot.as_nanos()).unwrap_or(u64::MAX);
        self.up_again_ns = now.saturating_add(pause);
        if self.draining {
            self.end_drain(self.up_again_ns);
        }
        self.draining = false;
    }

    /// Takes a slot for the call; `None` if it is refused without having run.
    pub(crate) fn begin(&mut self, call: &HttpCall) -> Option<RunPlan> {
        if self.draining {
            self.counts.while_draining += 1;
            if let Some(drain) = self.drains.last_mut() {
                drain.last_attempt_ns = boot_nanos();
            }
            return None;
        }
        if call.header_number("Deadline-Ms") == Some(0) {
            self.counts.past_deadline += 1;
            return None;
        }
        if self.running >= self.settings.slots {
            self.counts.over_slots += 1;
            return None;
        }
        self.running += 1;
        let order = WorkOrder::parse(&call.body);
        self.runs.push(RunRecord {
            request: call.header("Request-Id").to_owned(),
            team: call.header("Team").to_owned(),
            idempotent: call.header("Idempotent") == "true",
            nonce: order.nonce.clone(),
            body_digest: digest_bytes(&call.body),
            start_ns: boot_nanos(),
            end_ns: 0,
            cut: false,
        });
        Some(self.plan(call, &order))
    }

    fn plan(&mut self, call: &HttpCall, order: &WorkOrder) -> RunPlan {
        let own = self.own_service();
        let slower = Duration::from_millis(self.faults.slow_ms);
        let dice = &mut self.fault_dice;
        let late = self.faults.late_answers.strikes(dice);
        RunPlan {
            request: call.header("Request-Id").to_owned(),
            service: order.service.unwrap_or(own) + slower,
            late: if late {
                Duration::from_millis(self.faults.late_ms)
            } else {
                Duration::ZERO
            },
            fail: self.faults.fail.strikes(dice),
            lose: self.faults.lose_answers.strikes(dice),
            cross: self.faults.cross_answers.strikes(dice),
            truncate: self.faults.truncate_answers.strikes(dice),
            index: self.runs.len() - 1,
            life: self.counts.reboots,
        }
    }

    fn own_service(&mut self) -> Duration {
        if !self.settings.exponential {
            return self.settings.service;
        }
        let seconds = self
            .service_dice
            .exponential(self.settings.service.as_secs_f64());
        Duration::try_from_secs_f64(seconds).unwrap_or(self.settings.service)
    }

    /// Frees the slot; false if a reboot cut the run off.
    pub(crate) fn end(&mut self, plan: &RunPlan) -> bool {
        if plan.life != self.counts.reboots {
            return false;
        }
        self.running -= 1;
        if let Some(run) = self.runs.get_mut(plan.index) {
            run.end_ns = boot_nanos();
        }
        true
    }
}
