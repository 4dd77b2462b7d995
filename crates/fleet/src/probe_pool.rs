use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crossbeam_channel::{Receiver, Sender, TrySendError};
use decide::{
    budget::{HostPhase, HostState},
    wave::{HealthStatus, PhaseEntry},
};
use model::{BootTime, HostId, HostRole};
use parking_lot::Mutex;

use crate::{HealthReport, fleet_shared::FleetShared};

/// Consecutive failed probes after which a host counts as failing.
const FAILING_AFTER: u32 = 3;

/// Maximum time between the start of the probe that reports a host as drained and its reboot.
const REBOOT_WINDOW: Duration = Duration::from_millis(300);
/// How long a worker stays in the rebooting phase before it is rebooted.
///
/// A worker loses its task states when it reboots. Job holders read results when they renew
/// leases, every two seconds. Without this wait, a job that ended right before the reboot
/// would be reported as `unknown` although it was done.
const OUTCOME_WAIT: Duration = Duration::from_secs(5);

/// Time between the first two reboot requests to one host; doubled after each request.
const REBOOT_SPACING: Duration = Duration::from_secs(5);

/// A host to probe and to advance in its phase.
#[derive(Clone, Debug)]
pub(crate) struct ProbeTask {
    pub(crate) host: HostId,
    pub(crate) state: HostState,
}

/// Probe results by host.
#[derive(Default)]
pub(crate) struct ProbeTable {
    probe_states: Mutex<BTreeMap<HostId, ProbeState>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProbeState {
    asked_at: BootTime,
    asked_phase: PhaseEntry,
    report: Option<HealthReport>,
    failures: u32,
    queued: bool,
    reboots: u32,
    rebooted_at: BootTime,
}

impl ProbeTable {
    /// Returns the health of a host, unless the report is older than `age`, and the phase
    /// entry in which the host was probed.
    pub(crate) fn health(
        &self,
        host: &HostId,
        now: BootTime,
        age: Duration,
    ) -> (HealthStatus, PhaseEntry) {
        let probe_states = self.probe_states.lock();
        let Some(probe_state) = probe_states.get(host) else {
            return Default::default();
        };
        (probe_state.health(now, age), probe_state.asked_phase)
    }

    /// Removes the hosts that are not in `hosts`.
    pub(crate) fn retain(&self, hosts: &BTreeSet<HostId>) {
        self.probe_states
            .lock()
            .retain(|host, _| hosts.contains(host));
    }

    /// Removes all results, so that a new planner uses only its own probes.
    pub(crate) fn clear(&self) {
        self.probe_states.lock().clear();
    }

    /// Queues the tasks that are due, the longest overdue first.
    pub(crate) fn queue_due(
        &self,
        mut tasks: Vec<ProbeTask>,
        sender: &Sender<ProbeTask>,
        now: BootTime,
    ) {
        let mut probe_states = self.probe_states.lock();
        let overdue = |probe_states: &BTreeMap<HostId, ProbeState>, task: &ProbeTask| {
            let probe_state = probe_states.get(&task.host).copied().unwrap_or_default();
            let due_at = probe_state.asked_at + probe_interval(task.state.phase);
            (!probe_state.queued)
                .then(|| now.checked_sub(due_at))
                .flatten()
        };
        tasks.retain(|task| overdue(&probe_states, task).is_some());
        tasks.sort_by_key(|task| std::cmp::Reverse(overdue(&probe_states, task)));
        for task in tasks {
            let host = task.host.clone();
            match sender.try_send(task) {
                Ok(()) => probe_states.entry(host).or_default().queued = true,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => return,
            }
        }
    }

    fn record_answer(&self, task: &ProbeTask, asked_at: BootTime, report: Option<HealthReport>) {
        let mut probe_states = self.probe_states.lock();
        let probe_state = probe_states.entry(task.host.clone()).or_default();
        let stay = task.state.phase_entry();
        if probe_state.asked_phase != stay {
            probe_state.failures = 0;
        }
        probe_state.queued = false;
        probe_state.asked_at = asked_at;
        probe_state.asked_phase = stay;
        probe_state.report = report;
        probe_state.failures = match report {
            Some(_) => 0,
            None => probe_state.failures.saturating_add(1),
        };
    }

    /// Returns true and counts the request if a host may be rebooted now.
    fn claim_reboot(&self, host: &HostId, began: BootTime, now: BootTime) -> bool {
        let mut probe_states = self.probe_states.lock();
        let probe_state = probe_states.entry(host.clone()).or_default();
        if probe_state.rebooted_at < began {
            probe_state.reboots = 0;
        }
        let spacing =
            REBOOT_SPACING * 2_u32.saturating_pow(probe_state.reboots.saturating_sub(1).min(6));
        if probe_state.reboots > 0 && now < probe_state.rebooted_at + spacing {
            return false;
        }
        probe_state.reboots += 1;
        probe_state.rebooted_at = now;
        true
    }
}

impl ProbeState {
    fn health(&self, now: BootTime, age: Duration) -> HealthStatus {
        if self.failures >= FAILING_AFTER {
            return HealthStatus::Failing;
        }
        let fresh = now.saturating_sub(self.asked_at) <= age;
        match self.report {
            Some(report) if fresh => HealthStatus::Answering {
                draining: report.draining,
                running: report.running,
            },
            _ => HealthStatus::Unknown,
        }
    }
}

/// Probes hosts from the queue until it is closed or the service stops.
pub(crate) fn run_prober(
    shared: &Arc<FleetShared>,
    probe_table: &Arc<ProbeTable>,
    queue: &Receiver<ProbeTask>,
) {
    while let Ok(task) = queue.recv() {
        if shared.is_stopping() {
            return;
        }
        probe(shared, probe_table, &task);
    }
}

fn probe(shared: &FleetShared, probe_table: &ProbeTable, task: &ProbeTask) {
    let asked_at = shared.clock.boot_now();
    let answer = shared.port.health(&task.state.facts.address);
    if let Err(e) = &answer {
        log::debug!(target: "E0603", "health-unread host={} cause={e}", task.host);
    }
    let report = answer.ok();
    probe_table.record_answer(task, asked_at, report);
    let Some(report) = report else {
        return;
    };
    advance_phase(shared, probe_table, task, report, asked_at);
}

/// Sends the request that the phase of a host and its health report require, if any.
fn advance_phase(
    shared: &FleetShared,
    probe_table: &ProbeTable,
    task: &ProbeTask,
    report: HealthReport,
    asked_at: BootTime,
) {
    let address = &task.state.facts.address;
    let outcome = match task.state.phase {
        HostPhase::Draining if !report.draining => shared.port.drain(address),
        HostPhase::Checking if report.draining => shared.port.undrain(address),
        HostPhase::Rebooting if report.draining && report.running == 0 => {
            reboot(shared, probe_table, task, asked_at);
            return;
        }
        _ => return,
    };
    if let Err(e) = outcome {
        log::warn!(target: "E0604", "host-call-failed host={} cause={e}", task.host);
    }
}

/// Reboots a host that has just reported that it is drained.
///
/// Two planners may both want to reboot the host. The second request would interrupt work
/// on a host that is back in service. So the request is sent only while the report is
/// recent and the map still has the host in the rebooting phase. A host that came back
/// gets no work until the settle time has passed, which is longer than that.
fn reboot(shared: &FleetShared, probe_table: &ProbeTable, task: &ProbeTask, asked_at: BootTime) {
    let now = shared.clock.boot_now();
    if now.saturating_sub(asked_at) > REBOOT_WINDOW || !still_rebooting(shared, task) {
        return;
    }
    let in_phase = shared.clock.unix_now().saturating_sub(task.state.since);
    if task.state.facts.role == HostRole::Worker && in_phase < OUTCOME_WAIT {
        return;
    }
    if !probe_table.claim_reboot(&task.host, now.saturating_sub(in_phase), now) {
        return;
    }
    log::info!(target: "E0605", "host-rebooted host={} pool={}", task.host, task.state.pool);
    metrics::counter!("lws_fleet_reboots").increment(1);
    if let Err(e) = shared.port.reboot(&task.state.facts.address) {
        log::warn!(target: "E0604", "host-call-failed host={} cause={e}", task.host);
    }
}

fn still_rebooting(shared: &FleetShared, task: &ProbeTask) -> bool {
    let held = shared.snapshot.lock();
    held.map
        .hosts
        .get(&task.host)
        .is_some_and(|state| state.phase == HostPhase::Rebooting && state.since == task.state.since)
}

/// Time between two probes of a host.
fn probe_interval(phase: HostPhase) -> Duration {
    match phase {
        HostPhase::Draining | HostPhase::Rebooting | HostPhase::Checking => {
            Duration::from_millis(500)
        }
        HostPhase::Lost => Duration::from_secs(5),
        HostPhase::Retired | HostPhase::Quarantined => Duration::from_secs(60),
        HostPhase::Serving | HostPhase::Unspecified => Duration::from_secs(1),
    }
}
