//! Claims of request ids: the host that minted an id records whether it may still run.
//!
//! Start with [`ClaimLedger`]; `docs/design/04-at-most-once.md` explains why that is sufficient.

use std::collections::{BTreeMap, VecDeque};

use model::{Incarnation, MemberId, RequestId, TeamId};

/// Number of granted claims that are remembered for repeated requests.
const MAX_REMEMBERED_GRANTS: usize = 1024;

/// A parsed request id: the host that minted it, its incarnation, and a counter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MintedId {
    /// The host that minted the id: its home.
    pub home: MemberId,
    /// Incarnation of the home.
    pub incarnation: Incarnation,
    /// Counter of the home's ids.
    pub counter: u64,
}

impl MintedId {
    /// Parses an id; `None` if no entry host minted it.
    pub fn parse(request: &RequestId) -> Option<Self> {
        let (rest, counter) = request.rsplit_once('.')?;
        let (home, incarnation) = rest.rsplit_once('.')?;
        let minted = Self {
            home: home.into(),
            incarnation: incarnation.parse().ok()?,
            counter: counter.parse().ok()?,
        };
        // Only the canonical form: `e1.1.07` must not pass for another id than `e1.1.7`.
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

/// The claimant of a request; a repeated claim carries the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// The entry host that claims the id.
    pub member: MemberId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its counter of claims.
    pub call: u64,
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimGrant {
    /// The claimant may run the request, once.
    First,
    /// The id was used before, or is no longer open.
    Taken,
}

#[derive(Clone, Debug)]
struct GrantedClaim {
    counter: u64,
    team: TeamId,
    claimant: Claimant,
}

/// The ids that one incarnation of an entry host minted and that may still run.
///
/// An id runs only while it is in `open`, and a claim removes it. An id that the ledger does not
/// hold does not run: it was claimed, evicted by newer ids, or never minted. So memory stays
/// bounded, and forgetting an id is safe.
#[derive(Clone, Debug)]
pub struct ClaimLedger {
    next: u64,
    capacity: usize,
    open: BTreeMap<u64, TeamId>,
    granted: VecDeque<GrantedClaim>,
}

impl ClaimLedger {
    /// Creates a ledger that keeps at most `capacity` ids open.
    pub fn new(capacity: usize) -> Self {
        Self {
            next: 1,
            capacity: capacity.max(1),
            open: BTreeMap::new(),
            granted: VecDeque::new(),
        }
    }

    /// Mints an id that `team` may claim once; the oldest open id is evicted if the ledger is full.
    pub fn mint(&mut self, team: &TeamId) -> u64 {
        if self.open.len() >= self.capacity {
            self.open.pop_first();
        }
        let counter = self.mint_claimed();
        self.open.insert(counter, team.clone());
        counter
    }

    /// Mints an id that can't be claimed, because its only run takes place where it is minted.
    pub fn mint_claimed(&mut self) -> u64 {
        let counter = self.next;
        self.next += 1;
        counter
    }

    /// Claims an id. At most one claimant ever gets `First` for it. That claimant may repeat its
    /// request, because a response can be lost.
    pub fn claim(&mut self, counter: u64, team: &TeamId, claimant: &Claimant) -> ClaimGrant {
        if self.open.get(&counter).is_some_and(|owner| owner == team) {
            self.open.remove(&counter);
            self.remember(GrantedClaim {
                counter,
                team: team.clone(),
                claimant: claimant.clone(),
            });
            return ClaimGrant::First;
        }
        let repeated = self.granted.iter().any(|grant| {
            grant.counter == counter && grant.team == *team && grant.claimant == *claimant
        });
        if repeated {
            ClaimGrant::First
        } else {
            ClaimGrant::Taken
        }
    }

    /// True while the id is unclaimed, which proves that it never ran.
    pub fn is_open(&self, counter: u64) -> bool {
        self.open.contains_key(&counter)
    }

    /// Number of open ids.
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
