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
    held: Mutex<HeldBytes>,
}

#[derive(Debug, Default)]
struct HeldBytes {
    sum: usize,
    teams: HashMap<TeamId, usize>,
}

/// Bytes taken from a [`BodyBudget`], given back when dropped.
#[derive(Debug)]
pub(crate) struct BodyShare {
    budget: Arc<BodyBudget>,
    team: TeamId,
    bytes: usize,
}

impl BodyBudget {
    /// A budget of `total` bytes.
    pub fn new(total: usize) -> Arc<Self> {
        Arc::new(Self {
            total,
            held: Mutex::new(HeldBytes::default()),
        })
    }

    /// An empty share for `team`, to be grown.
    pub fn share(self: &Arc<Self>, team: &TeamId) -> BodyShare {
        BodyShare {
            budget: Arc::clone(self),
            team: team.clone(),
            bytes: 0,
        }
    }

    fn take(&self, team: &TeamId, bytes: usize) -> bool {
        let mut held = self.held.lock();
        let mine = held.teams.get(team).copied().unwrap_or_default();
        if held.sum + bytes > self.total || mine + bytes > self.total / 4 * 3 {
            return false;
        }
        held.sum += bytes;
        held.teams.insert(team.clone(), mine + bytes);
        true
    }

    fn give_back(&self, team: &TeamId, bytes: usize) {
        let mut held = self.held.lock();
        held.sum = held.sum.saturating_sub(bytes);
        let Some(mine) = held.teams.get_mut(team) else {
            return;
        };
        *mine = mine.saturating_sub(bytes);
        if *mine == 0 {
            held.teams.remove(team);
        }
    }
}

impl BodyShare {
    /// Takes `bytes` more; false if there are none left for the team.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.budget.take(&self.team, bytes);
        if taken {
            self.bytes += bytes;
        }
        taken
    }

    /// Gives back what is held above `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.budget.give_back(&self.team, surplus);
        self.bytes -= surplus;
    }

    /// Bytes of `body` that count as held until the last user of them is done.
    pub fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(HeldBody { body, _share: self })
    }
}

struct HeldBody {
    body: Bytes,
    _share: BodyShare,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.give_back(&self.team, self.bytes);
    }
}
