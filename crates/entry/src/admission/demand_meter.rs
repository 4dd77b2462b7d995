use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, PoolId, TeamId};
use ports::{PoolDemand, TeamDemand};

use super::pool_queue::PoolQueue;

/// Shortest time between two reports of a pool whose demand changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two reports of a pool whose demand stays.
const STEADY_INTERVAL: Duration = Duration::from_millis(200);

/// Measures what each team uses of one pool here, and says when to report it.
#[derive(Default)]
pub(crate) struct DemandMeter {
    teams: BTreeMap<TeamId, TeamMeter>,
    changed: bool,
    reported: BootTime,
}

#[derive(Default)]
struct TeamMeter {
    running: u32,
    used: Duration,
    since: BootTime,
}

impl DemandMeter {
    /// Slots that `team` holds here.
    pub fn running(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |meter| meter.running)
    }

    /// Slots held here.
    pub fn total_running(&self) -> u32 {
        self.teams.values().map(|meter| meter.running).sum()
    }

    /// Notes that something was queued or left the queue.
    pub fn note_queue(&mut self) {
        self.changed = true;
    }

    /// Notes that `team` took a slot.
    pub fn note_start(&mut self, team: &TeamId, now: BootTime) {
        let meter = self.teams.entry(team.clone()).or_default();
        meter.advance(now);
        meter.running += 1;
        self.changed = true;
    }

    /// Notes that `team` gave a slot back.
    pub fn note_end(&mut self, team: &TeamId, now: BootTime) {
        let meter = self.teams.entry(team.clone()).or_default();
        meter.advance(now);
        meter.running = meter.running.saturating_sub(1);
        self.changed = true;
    }

    /// The demand, if it is time to report it.
    pub fn due_report(
        &mut self,
        pool: &PoolId,
        queue: &PoolQueue,
        now: BootTime,
    ) -> Option<PoolDemand> {
        let since = now.saturating_sub(self.reported);
        let busy = self.total_running() > 0 || !queue.is_empty();
        let due = (self.changed && since >= CHANGE_INTERVAL) || (busy && since >= STEADY_INTERVAL);
        if !due {
            return None;
        }
        self.changed = false;
        self.reported = now;
        Some(self.measure(pool, queue, now))
    }

    fn measure(&mut self, pool: &PoolId, queue: &PoolQueue, now: BootTime) -> PoolDemand {
        for team in queue.waiting_teams() {
            self.teams.entry(team.clone()).or_default();
        }
        let mut demand = PoolDemand {
            pool: pool.clone(),
            teams: Vec::new(),
        };
        for (team, meter) in &mut self.teams {
            meter.advance(now);
            let (queued, urgent) = queue.team_len(team);
            demand.teams.push(TeamDemand {
                team: team.clone(),
                running: meter.running,
                queued: u32::try_from(queued).unwrap_or(u32::MAX),
                urgent: u32::try_from(urgent).unwrap_or(u32::MAX),
                used_ms: meter.take_used(),
            });
        }
        self.teams
            .retain(|team, meter| meter.running > 0 || queue.team_len(team).0 > 0);
        demand
    }
}

impl TeamMeter {
    fn advance(&mut self, now: BootTime) {
        self.used += now.saturating_sub(self.since) * self.running;
        self.since = now;
    }

    fn take_used(&mut self) -> u64 {
        let whole = u64::try_from(self.used.as_millis()).unwrap_or(u64::MAX);
        // The rest below a millisecond stays for the next report.
        self.used = self.used.saturating_sub(Duration::from_millis(whole));
        whole
    }
}
