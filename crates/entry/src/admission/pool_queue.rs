use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use model::{BootTime, TeamId};

use crate::caller_request::CallerRequest;

/// The requests that wait for a slot of one pool, with one queue per team.
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
    /// Number of queued requests, including those waiting for a retry.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Number of queued requests of `team`, and how many of them are urgent.
    pub fn team_len(&self, team: &TeamId) -> (usize, usize) {
        self.teams
            .get(team)
            .map(|queue| (queue.len(), queue.urgent.len()))
            .unwrap_or_default()
    }

    /// Teams with queued requests.
    pub fn waiting_teams(&self) -> impl Iterator<Item = &TeamId> {
        self.teams
            .iter()
            .filter(|(_, queue)| queue.len() > 0)
            .map(|(team, _)| team)
    }

    /// Queues a request. If the queue then exceeds `max_len`, removes and returns the
    /// newest request of the team with the longest queue, so that a team that floods the
    /// pool delays only itself.
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

    /// Queues a request for a retry at `due`, at the front of its team's queue.
    pub fn push_retry(&mut self, request: Box<CallerRequest>, due: BootTime) {
        self.length += 1;
        self.delayed.push(DelayedRequest { due, request });
    }

    /// Moves retries that are due to the front of their teams' queues.
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

    /// Removes and returns all requests for which `should_remove` is true.
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

    /// How long the oldest urgent request of `team` has waited; `None` if there is none.
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

    /// Removes and returns the next request of `team`, urgent ones first.
    pub fn pop(&mut self, team: &TeamId) -> Option<Box<CallerRequest>> {
        let queue = self.teams.get_mut(team)?;
        let request = queue
            .urgent
            .pop_front()
            .or_else(|| queue.normal.pop_front())?;
        self.length -= 1;
        Some(request)
    }

    /// Puts a request that could not be started back at the front of its queue.
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
