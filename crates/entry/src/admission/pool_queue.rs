use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use model::{BootTime, TeamId};

use crate::caller_request::CallerRequest;

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
}

struct DelayedRequest {
    due: BootTime,
    request: Box<CallerRequest>,
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
    /// team that queues most, so that a team that floods the pool delays only itself.
    pub fn push(
        &mut self,
        request: Box<CallerRequest>,
        max_len: usize,
    ) -> Option<Box<CallerRequest>> {
        let queue = self.teams.entry(request.team.clone()).or_default();
        if request.urgent {
            queue.urgent.push_back(request);
        } else {
            queue.normal.push_back(request);
        }
        self.length += 1;
        if self.length <= max_len {
            return None;
        }
        let longest = self.teams.values_mut().max_by_key(|queue| queue.len())?;
        let evicted = longest
            .normal
            .pop_back()
            .or_else(|| longest.urgent.pop_back())?;
        self.length -= 1;
        Some(evicted)
    }

    /// Queues a request that goes first in its team once `due` has come.
    pub fn push_retry(&mut self, request: Box<CallerRequest>, due: BootTime) {
        self.length += 1;
        self.delayed.push(DelayedRequest { due, request });
    }

    /// Moves retries whose time has come to the front of their teams.
    pub fn queue_due_retries(&mut self, now: BootTime) {
        let mut index = 0;
        while index < self.delayed.len() {
            if self.delayed[index].due > now {
                index += 1;
                continue;
            }
            let request = self.delayed.swap_remove(index).request;
            let queue = self.teams.entry(request.team.clone()).or_default();
            if request.urgent {
                queue.urgent.push_front(request);
            } else {
                queue.normal.push_front(request);
            }
        }
    }

    /// Takes out every request that `gone` says is of no more use.
    pub fn remove_where(
        &mut self,
        mut should_remove: impl FnMut(&CallerRequest) -> bool,
    ) -> Vec<CallerRequest> {
        let mut taken = Vec::new();
        for queue in self.teams.values_mut() {
            remove_from(&mut queue.urgent, &mut should_remove, &mut taken);
            remove_from(&mut queue.normal, &mut should_remove, &mut taken);
        }
        let (out, kept) = self
            .delayed
            .drain(..)
            .partition(|delayed| should_remove(&delayed.request));
        self.delayed = kept;
        taken.extend(
            out.into_iter()
                .map(|delayed: DelayedRequest| *delayed.request),
        );
        self.length -= taken.len();
        self.teams.retain(|_, queue| queue.len() > 0);
        taken
    }

    /// How long the oldest urgent request of `team` has waited; `None` without one.
    pub fn urgent_wait(&self, team: &TeamId, now: BootTime) -> Option<Duration> {
        let queue = self.teams.get(team)?;
        let first = queue.urgent.front()?;
        Some(now.saturating_sub(first.arrived))
    }

    /// The next request of `team`, urgent ones first.
    pub fn front(&self, team: &TeamId) -> Option<&CallerRequest> {
        let queue = self.teams.get(team)?;
        let next = queue.urgent.front().or_else(|| queue.normal.front());
        next.map(Box::as_ref)
    }

    /// Takes the next request of `team`, urgent ones first.
    pub fn pop(&mut self, team: &TeamId) -> Option<Box<CallerRequest>> {
        let queue = self.teams.get_mut(team)?;
        let request = queue
            .urgent
            .pop_front()
            .or_else(|| queue.normal.pop_front())?;
        self.length -= 1;
        Some(request)
    }

    /// Puts a request that could not start back where it was taken from.
    pub fn restore_front(&mut self, request: Box<CallerRequest>) {
        let queue = self.teams.entry(request.team.clone()).or_default();
        if request.urgent {
            queue.urgent.push_front(request);
        } else {
            queue.normal.push_front(request);
        }
        self.length += 1;
    }
}

impl TeamQueue {
    fn len(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }
}

fn remove_from(
    queue: &mut VecDeque<Box<CallerRequest>>,
    should_remove: &mut impl FnMut(&CallerRequest) -> bool,
    taken: &mut Vec<CallerRequest>,
) {
    if !queue.iter().any(|request| should_remove(request)) {
        return;
    }
    let (out, kept): (VecDeque<_>, VecDeque<_>) =
        queue.drain(..).partition(|request| should_remove(request));
    *queue = kept;
    taken.extend(out.into_iter().map(|request| *request));
}
