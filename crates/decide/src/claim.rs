//! Which request ids may still run: the state of the host that minted them.
//!
//! Start with [`ClaimLedger`]; `docs/design/04-at-most-once.md` says why it is enough.

use std::collections::{BTreeMap, VecDeque};

use model::{Incarnation, MemberId, RequestId, TeamId};

/// How many granted claims are remembered for a repeated question.
const MAX_REMEMBERED_GRANTS: usize = 1024;

/// A request id taken apart: the host that minted it, which incarnation of it, and a count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MintedId {
    /// The host that minted the id: its home.
    pub home: MemberId,
    /// Which incarnation of the home.
    pub incarnation: Incarnation,
    /// Count of the home's ids.
    pub counter: u64,
}

impl MintedId {
    /// Takes an id apart; `None` if no entry host minted it.
    pub fn parse(request: &RequestId) -> Option<Self> {
        let (rest, counter) = request.rsplit_once('.')?;
        let (home, incarnation) = rest.rsplit_once('.')?;
        let minted = Self {
            home: home.into(),
            incarnation: incarnation.parse().ok()?,
            counter: counter.parse().ok()?,
        };
        // Only the canonical spelling: `e1.1.07` must not pass for another id than `e1.1.7`.
        (!home.is_empty() && minted.to_request() == *request).then_some(minted)
    }

    /// The id as callers see it.
    pub fn to_request(&self) -> RequestId {
        model::RequestId::from(format!(
            "{}.{}.{}",
            self.home, self.incarnation, self.counter
        ))
    }
}

/// Who asks to run a request; a repeated question carries the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// The entry host that asks.
    pub member: MemberId,
    /// Which incarnation of it.
    pub incarnation: Incarnation,
    /// Its count of claims.
    pub call: u64,
}

/// Whether a claim was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimGrant {
    /// The asker may run the request, once.
    First,
    /// The id was used before, or is no longer open.
    Taken,
}

#[derive(Clone, Debug)]
struct GrantedClaim {
    counter: u64,
    team: TeamId,
    asker: Claimant,
}

/// The ids that one incarnation of an entry host minted and that may still run.
///
/// An id runs only while it is in `open`, and claiming takes it out. Whatever the ledger
/// does not hold, because it was claimed, pushed out by newer ids, or never minted, does
/// not run. So memory stays bounded and forgetting is safe.
#[derive(Clone, Debug)]
pub struct ClaimLedger {
    next: u64,
    capacity: usize,
    open: BTreeMap<u64, TeamId>,
    granted: VecDeque<GrantedClaim>,
}

impl ClaimLedger {
    /// A ledger that keeps at most `capacity` ids open.
    pub fn new(capacity: usize) -> Self {
        Self {
            next: 1,
            capacity: capacity.max(1),
            open: BTreeMap::new(),
            granted: VecDeque::new(),
        }
    }

    /// A fresh id that `team` may claim once; the oldest open id makes room.
    pub fn mint(&mut self, team: &TeamId) -> u64 {
        if self.open.len() >= self.capacity {
            self.open.pop_first();
        }
        let counter = self.mint_claimed();
        self.open.insert(counter, team.clone());
        counter
    }

    /// A fresh id that nobody can claim: its one run is under way where it was minted.
    pub fn mint_claimed(&mut self) -> u64 {
        let counter = self.next;
        self.next += 1;
        counter
    }

    /// Claims an id. At most one asker ever gets `First` for it; that asker may repeat its
    /// question, since an answer can be lost on the way.
    pub fn claim(&mut self, counter: u64, team: &TeamId, asker: &Claimant) -> ClaimGrant {
        if self.open.get(&counter).is_some_and(|owner| owner == team) {
            self.open.remove(&counter);
            self.remember(GrantedClaim {
                counter,
                team: team.clone(),
                asker: asker.clone(),
            });
            return ClaimGrant::First;
        }
        let repeated = self
            .granted
            .iter()
            .any(|grant| grant.counter == counter && grant.team == *team && grant.asker == *asker);
        if repeated {
            ClaimGrant::First
        } else {
            ClaimGrant::Taken
        }
    }

    /// True while nobody has claimed the id, so that it was never run.
    pub fn is_open(&self, counter: u64) -> bool {
        self.open.contains_key(&counter)
    }

    /// How many ids are open.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    fn remember(&mut self, grant: GrantedClaim) {
        if self.granted.len() >= MAX_REMEMBERED_GRANTS {
            self.granted.pop_front();
        }
        self.granted.push_back(grant);
    }
}
