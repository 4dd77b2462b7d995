use std::{collections::HashMap, sync::Arc};

use hyper::body::Bytes;
use model::TeamId;
use parking_lot::Mutex;

/// Limits the memory of bodies, in total and per team.
///
/// Request bodies and response bodies have separate budgets. With a shared one, waiting
/// request bodies could use all of it, and no request could finish because there would be
/// no memory for its response.
///
/// Memory is reserved as bytes arrive, not by the announced length, so that a caller who
/// announces much and sends little uses little. One team gets at most three quarters, so
/// that its slow senders can't block the other teams.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    total: usize,
    reserved: Mutex<ReservedBytes>,
}

#[derive(Debug, Default)]
struct ReservedBytes {
    sum: usize,
    teams: HashMap<TeamId, usize>,
}

/// Bytes reserved from a [`BodyBudget`], released when dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Arc<BodyBudget>,
    team: TeamId,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: usize) -> Arc<Self> {
        Arc::new(Self {
            total,
            reserved: Mutex::new(ReservedBytes::default()),
        })
    }

    /// An empty reservation for `team`, to be grown.
    pub fn reservation(self: &Arc<Self>, team: &TeamId) -> BodyReservation {
        BodyReservation {
            budget: Arc::clone(self),
            team: team.clone(),
            bytes: 0,
        }
    }

    fn try_reserve(&self, team: &TeamId, bytes: usize) -> bool {
        let mut reserved = self.reserved.lock();
        let team_bytes = reserved.teams.get(team).copied().unwrap_or_default();
        if reserved.sum + bytes > self.total || team_bytes + bytes > self.total / 4 * 3 {
            return false;
        }
        reserved.sum += bytes;
        reserved.teams.insert(team.clone(), team_bytes + bytes);
        true
    }

    fn release(&self, team: &TeamId, bytes: usize) {
        let mut reserved = self.reserved.lock();
        reserved.sum = reserved.sum.saturating_sub(bytes);
        let Some(team_bytes) = reserved.teams.get_mut(team) else {
            return;
        };
        *team_bytes = team_bytes.saturating_sub(bytes);
        if *team_bytes == 0 {
            reserved.teams.remove(team);
        }
    }
}

impl BodyReservation {
    /// Reserves `bytes` more; returns false if that would exceed a limit.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let granted = self.budget.try_reserve(&self.team, bytes);
        if granted {
            self.bytes += bytes;
        }
        granted
    }

    /// Releases what is reserved above `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.budget.release(&self.team, surplus);
        self.bytes -= surplus;
    }

    /// Returns `body` with the reservation attached; it is released when the last reference
    /// to the body is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }
}

struct ReservedBody {
    body: Bytes,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.release(&self.team, self.bytes);
    }
}
