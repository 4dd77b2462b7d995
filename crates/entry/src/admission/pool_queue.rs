use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use model::{BootTime, TeamId};
use ports::{SlotLease, TeamUse};

use crate::work::CallerRequest;

/// How long an urgent request waits in turn before its team goes first. Well under the
/// 1.6 s that urgent work may wait, since the slot it gets must become free as well.
const URGENT_PATIENCE: Duration = Duration::from_millis(300);

/// The requests that wait for a slot of one pool, in a queue for each team.
#[derive(Default)]
pub(crate) struct PoolQueue {
    teams: BTreeMap<TeamId, TeamQueue>,
    delayed: Vec<DelayedRequest>,
    length: usize,
}

#[derive(Default)]
struct TeamQueue {
    urgent: VecDeque<Box<CallerRequest>>,
    normal: VecDeque<Box<CallerRequest>>,
    /// Slot time started here since the lease was renewed, over weight, in milliseconds.
    started_ms: u64,
}

struct DelayedRequest {
    due: BootTime,
    work: Box<CallerRequest>,
}

impl PoolQueue {
    /// Requests queued, those that wait for a retry included.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Requests of `team` queued, and how many of them are urgent.
    pub fn team_len(&self, team: &TeamId) -> (usize, usize) {
        self.teams
            .get(team)
            .map(|queue| (queue.len(), queue.urgent.len()))
            .unwrap_or_default()
    }

    /// Teams that have something queued.
    pub fn waiting_teams(&self) -> impl Iterator<Item = &TeamId> {
        self.teams
            .iter()
            .filter(|(_, queue)| queue.len() > 0)
            .map(|(team, _)| team)
    }

    /// Queues a request. If that makes more than `most`, gives back the newest one of the
    /// team that queues most, so that a team that floods the pool crowds out only itself.
    pub fn push(&mut self, work: Box<CallerRequest>, most: usize) -> Option<Box<CallerRequest>> {
        let queue = self.teams.entry(work.team.clone()).or_default();
        if work.urgent {
            queue.urgent.push_back(work);
        } else {
            queue.normal.push_back(work);
        }
        self.length += 1;
        if self.length <= most {
            return None;
        }
        let longest = self.teams.values_mut().max_by_key(|queue| queue.len())?;
        let surplus = longest
            .normal
            .pop_back()
            .or_else(|| longest.urgent.pop_back())?;
        self.length -= 1;
        Some(surplus)
    }

    /// Queues a request that goes first in its team once `due` has come.
    pub fn push_retry(&mut self, work: Box<CallerRequest>, due: BootTime) {
        self.length += 1;
        self.delayed.push(DelayedRequest { due, work });
    }

    /// Moves retries whose time has come to the front of their teams.
    pub fn wake_retries(&mut self, now: BootTime) {
        let mut index = 0;
        while index < self.delayed.len() {
            if self.delayed[index].due > now {
                index += 1;
                continue;
            }
            let work = self.delayed.swap_remove(index).work;
            let queue = self.teams.entry(work.team.clone()).or_default();
            if work.urgent {
                queue.urgent.push_front(work);
            } else {
                queue.normal.push_front(work);
            }
        }
    }

    /// Takes out every request that `gone` says is of no more use.
    pub fn take_out(&mut self, mut gone: impl FnMut(&CallerRequest) -> bool) -> Vec<CallerRequest> {
        let mut taken = Vec::new();
        for queue in self.teams.values_mut() {
            take_from(&mut queue.urgent, &mut gone, &mut taken);
            take_from(&mut queue.normal, &mut gone, &mut taken);
        }
        let (out, kept) = self
            .delayed
            .drain(..)
            .partition(|delayed| gone(&delayed.work));
        self.delayed = kept;
        taken.extend(out.into_iter().map(|delayed: DelayedRequest| *delayed.work));
        self.length -= taken.len();
        self.teams
            .retain(|_, queue| queue.len() > 0 || queue.started_ms > 0);
        taken
    }

    /// Which team starts next, out of those not in `blocked`.
    ///
    /// A team that runs less than its due goes before one that runs more; among those the
    /// one with the least virtual time, and then the longest wait. A team whose urgent
    /// request has waited long goes first of all; it pays, because its virtual time grows
    /// with what it starts.
    pub fn pick(
        &self,
        lease: &SlotLease,
        running: impl Fn(&TeamId) -> u32,
        blocked: &BTreeSet<TeamId>,
        now: BootTime,
    ) -> Option<TeamId> {
        let candidates = self
            .teams
            .iter()
            .filter(|(team, queue)| queue.len() > 0 && !blocked.contains(*team));
        let best = candidates.min_by_key(|(team, queue)| {
            let used = lease.teams.iter().find(|used| used.team == **team);
            let due = used.map_or(0, |used: &TeamUse| used.slots);
            let virtual_ms = used.map_or(0, |used| used.virtual_ms) + queue.started_ms;
            let hurry = queue.urgent_wait(now) >= URGENT_PATIENCE;
            (
                !hurry,
                running(team) >= due,
                virtual_ms,
                queue.oldest_arrival(),
            )
        });
        best.map(|(team, _)| team.clone())
    }

    /// Takes the next request of `team`, and charges the team `cost_ms` of virtual time.
    pub fn pop(&mut self, team: &TeamId, cost_ms: u64) -> Option<Box<CallerRequest>> {
        let queue = self.teams.get_mut(team)?;
        let work = queue
            .urgent
            .pop_front()
            .or_else(|| queue.normal.pop_front())?;
        queue.started_ms += cost_ms;
        self.length -= 1;
        Some(work)
    }

    /// Puts a request that could not start back where it was taken from.
    pub fn unpop(&mut self, work: Box<CallerRequest>, cost_ms: u64) {
        let queue = self.teams.entry(work.team.clone()).or_default();
        queue.started_ms = queue.started_ms.saturating_sub(cost_ms);
        if work.urgent {
            queue.urgent.push_front(work);
        } else {
            queue.normal.push_front(work);
        }
        self.length += 1;
    }

    /// Forgets charges that a renewed lease counts by itself.
    pub fn settle_charges(&mut self) {
        for queue in self.teams.values_mut() {
            queue.started_ms = 0;
        }
    }
}

impl TeamQueue {
    fn len(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    fn urgent_wait(&self, now: BootTime) -> Duration {
        self.urgent
            .front()
            .map(|work| now.saturating_sub(work.arrived))
            .unwrap_or_default()
    }

    fn oldest_arrival(&self) -> BootTime {
        let urgent = self.urgent.front().map(|work| work.arrived);
        let normal = self.normal.front().map(|work| work.arrived);
        urgent
            .into_iter()
            .chain(normal)
            .min()
            .unwrap_or(BootTime::MAX)
    }
}

fn take_from(
    queue: &mut VecDeque<Box<CallerRequest>>,
    gone: &mut impl FnMut(&CallerRequest) -> bool,
    taken: &mut Vec<CallerRequest>,
) {
    if !queue.iter().any(|work| gone(work)) {
        return;
    }
    let (out, kept): (VecDeque<_>, VecDeque<_>) = queue.drain(..).partition(|work| gone(work));
    *queue = kept;
    taken.extend(out.into_iter().map(|work| *work));
}
