use std::{collections::HashMap, sync::Arc};

use hyper::body::Bytes;
use model::TeamId;
use parking_lot::Mutex;

/// Bounds the memory of bodies, in total and for each team.
///
/// Bodies of requests and answers have a budget each. With one for both, bodies that wait
/// could take all of it, and no request could end because its answer found no room.
///
/// Memory is taken as bytes arrive and not as a header announces them, so that a caller
/// who announces much and sends little holds little. One team gets at most three
/// quarters, so that its slow senders can't refuse the other teams.
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

/// Bytes taken from a [`BodyBudget`], given back when dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Arc<BodyBudget>,
    team: TeamId,
    bytes: usize,
}

impl BodyBudget {
    /// A budget of `total` bytes.
    pub fn new(total: usize) -> Arc<Self> {
        Arc::new(Self {
            total,
            reserved: Mutex::new(ReservedBytes::default()),
        })
    }

    /// An empty share for `team`, to be grown.
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
    /// Takes `bytes` more; false if there are none left for the team.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let granted = self.budget.try_reserve(&self.team, bytes);
        if granted {
            self.bytes += bytes;
        }
        granted
    }

    /// Gives back what is held above `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.budget.release(&self.team, surplus);
        self.bytes -= surplus;
    }

    /// Bytes of `body` that count as held until the last user of them is done.
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
