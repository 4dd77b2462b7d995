use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;
use model::BootTime;

use super::{advice_line::AdviceLine, step_advice::NamedTarget, step_key::StepKey};

/// The process that calls the advice service.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdviceCaller {
    /// The owner of the cell itself.
    #[default]
    Owner,
    /// The process that serves peers on this address.
    Peer(CompactString),
}

/// Calls to the advice service that are in progress, by the process that sends them.
///
/// The service handles the calls of different processes side by side, so the owner sends as many as
/// it needs through other processes.
#[derive(Clone, Debug, Default)]
pub(super) struct AdviceCalls {
    lines: BTreeMap<AdviceCaller, AdviceLine>,
    /// Processes that may be asked to send further calls, besides the owner.
    peers: BTreeSet<CompactString>,
    last_call_time: Duration,
}

impl AdviceCalls {
    /// Sets the processes that may send calls for the owner.
    pub(super) fn set_peers(&mut self, peers: BTreeSet<CompactString>) {
        self.lines.retain(|caller, line| match caller {
            AdviceCaller::Owner => true,
            AdviceCaller::Peer(address) => line.count() > 0 || peers.contains(address),
        });
        self.peers = peers;
    }

    /// Returns the number of calls in progress.
    pub(super) fn count(&self) -> usize {
        self.lines.values().map(AdviceLine::count).sum()
    }

    /// Returns how long the service works on the last call.
    pub(super) fn last_call_time(&self) -> Duration {
        self.last_call_time
    }

    /// Returns true if a call for the step is in progress.
    pub(super) fn is_in_progress(&self, step: &StepKey) -> bool {
        self.lines.values().any(|line| line.is_in_progress(step))
    }

    /// Returns the process that should send the next call: the one whose turn at the service comes
    /// first, those whose last call failed after all others. `None` while none may.
    pub(super) fn next_caller(&self, now: BootTime) -> Option<AdviceCaller> {
        let peers = self.peers.iter().cloned().map(AdviceCaller::Peer);
        let callers = std::iter::once(AdviceCaller::Owner).chain(peers);
        let unused = AdviceLine::default();
        let ready = callers.filter_map(|caller| {
            let line = self.lines.get(&caller).unwrap_or(&unused);
            let order = (line.is_failing(), line.busy_time(now), caller);
            line.may_begin(now).then_some(order)
        });
        let (_, _, caller) = ready.min()?;
        Some(caller)
    }

    /// Adds a call that takes the service `call_time`. Returns its timeout.
    pub(super) fn begin(
        &mut self,
        caller: AdviceCaller,
        step: StepKey,
        targets: Vec<NamedTarget>,
        call_time: Duration,
        now: BootTime,
    ) -> Duration {
        self.last_call_time = call_time;
        let line = self.lines.entry(caller).or_default();
        line.begin(step, targets, call_time, now)
    }

    /// Removes the call for a step, which was answered or has failed. Returns the targets that it
    /// named.
    pub(super) fn end(
        &mut self,
        step: &StepKey,
        answered: bool,
        now: BootTime,
    ) -> Vec<NamedTarget> {
        let mut lines = self.lines.values_mut();
        let line = lines.find(|line| line.is_in_progress(step));
        line.map_or_else(Vec::new, |line| line.end(step, answered, now))
    }

    /// Returns how long a further call waits for its answer after `calls - 1` others, if each takes
    /// the service `call_time`. Processes whose last call failed do not count.
    pub(super) fn time_for(&self, calls: usize, call_time: Duration, now: BootTime) -> Duration {
        let lines = self.lines.values();
        let failing = lines.clone().filter(|line| line.is_failing()).count();
        let busy: Duration = lines.map(|line| line.busy_time(now)).sum();
        let usable = (self.peers.len() + 1).saturating_sub(failing).max(1);
        let usable = u32::try_from(usable).unwrap_or(u32::MAX);
        let calls = u32::try_from(calls).unwrap_or(u32::MAX);
        (busy + call_time.saturating_mul(calls.saturating_sub(1))) / usable + call_time
    }
}
