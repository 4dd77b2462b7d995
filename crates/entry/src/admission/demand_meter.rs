use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, TeamId};
use ports::TeamDemand;

use super::pool_queue::PoolQueue;

/// Minimum time between two demand reports of a pool whose demand changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two demand reports of a pool whose demand does not change.
const STEADY_INTERVAL: Duration = Duration::from_millis(200);

/// Measures the slot usage of each team in one pool on this entry host, and decides when to
/// report it.
#[derive(Default)]
pub(crate) struct DemandMeter {
    teams: BTreeMap<TeamId, TeamMeter>,
    changed: bool,
    reported: BootTime,
}

#[derive(Default)]
struct TeamMeter {
    running: u32,
    /// Slot time used since the team was first seen.
    total: Duration,
    /// The part of `total` that has been reported.
    reported: Duration,
    /// The part of `total` that the current lease already includes.
    accounted: Duration,
    since: BootTime,
}

impl DemandMeter {
    /// Slots that `team` uses on this entry host.
    pub fn running(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |meter| meter.running)
    }

    /// Slots in use on this entry host.
    pub fn total_running(&self) -> u32 {
        self.teams.values().map(|meter| meter.running).sum()
    }

    /// Slot time of `team` that the current lease does not include yet, plus the remaining
    /// time that its running requests are expected to take.
    ///
    /// Charging running requests in advance keeps one team from taking every slot that
    /// becomes free at the same moment.
    pub fn unaccounted_time(
        &self,
        team: &TeamId,
        service_time: Duration,
        now: BootTime,
    ) -> Duration {
        let Some(meter) = self.teams.get(team) else {
            return Duration::ZERO;
        };
        let running = now.saturating_sub(meter.since) + service_time;
        meter.total.saturating_sub(meter.accounted) + running * meter.running
    }

    /// Starts a new lease, which includes all usage reported so far.
    pub fn begin_lease(&mut self) {
        for meter in self.teams.values_mut() {
            meter.accounted = meter.reported;
        }
    }

    /// Records that a request was queued or removed from the queue.
    pub fn mark_queue_changed(&mut self) {
        self.changed = true;
    }

    /// Records that `team` took a slot.
    pub fn record_start(&mut self, team: &TeamId, now: BootTime) {
        let meter = self.teams.entry(team.clone()).or_default();
        meter.accumulate(now);
        meter.running += 1;
        self.changed = true;
    }

    /// Records that `team` released a slot.
    pub fn record_end(&mut self, team: &TeamId, now: BootTime) {
        let meter = self.teams.entry(team.clone()).or_default();
        meter.accumulate(now);
        meter.running = meter.running.saturating_sub(1);
        self.changed = true;
    }

    /// Returns the demand by team if a report is due.
    pub fn due_report(&mut self, queue: &PoolQueue, now: BootTime) -> Option<Vec<TeamDemand>> {
        let since = now.saturating_sub(self.reported);
        let busy = self.total_running() > 0 || !queue.is_empty();
        let due = (self.changed && since >= CHANGE_INTERVAL) || (busy && since >= STEADY_INTERVAL);
        if !due {
            return None;
        }
        self.changed = false;
        self.reported = now;
        Some(self.measure(queue, now))
    }

    fn measure(&mut self, queue: &PoolQueue, now: BootTime) -> Vec<TeamDemand> {
        for team in queue.waiting_teams() {
            self.teams.entry(team.clone()).or_default();
        }
        let mut demands = Vec::new();
        for (team, meter) in &mut self.teams {
            meter.accumulate(now);
            let (queued, urgent) = queue.team_len(team);
            demands.push(TeamDemand {
                team: team.clone(),
                running: meter.running,
                queued: u32::try_from(queued).unwrap_or(u32::MAX),
                urgent: u32::try_from(urgent).unwrap_or(u32::MAX),
                used_ms: meter.take_unreported_ms(),
            });
        }
        self.teams
            .retain(|team, meter| meter.running > 0 || queue.team_len(team).0 > 0);
        demands.retain(|team| team.running > 0 || team.queued > 0 || team.used_ms > 0);
        demands
    }
}

impl TeamMeter {
    fn accumulate(&mut self, now: BootTime) {
        self.total += now.saturating_sub(self.since) * self.running;
        self.since = now;
    }

    fn take_unreported_ms(&mut self) -> u64 {
        let used = self.total.saturating_sub(self.reported);
        let whole = u64::try_from(used.as_millis()).unwrap_or(u64::MAX);
        // The remainder below one millisecond is carried over to the next report.
        self.reported += Duration::from_millis(whole);
        whole
    }
}
