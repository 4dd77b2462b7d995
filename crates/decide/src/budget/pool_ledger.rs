use std::collections::BTreeSet;

use model::{DataCentreId, PoolId, PoolSpec, RackId};

use super::{FleetMap, HostPhase, HostState, OutCause};

/// Counts of a pool's hosts at one revision of the map.
///
/// The counts come from the same map that the permit is written to with compare-and-swap. Otherwise
/// two planners could each see the last spare host and take two.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolLedger {
    /// Hosts in service.
    pub in_service: u32,
    /// Hosts out for maintenance or moving to another pool.
    pub planned_out: u32,
    /// Hosts that failed to return from maintenance.
    pub failed_returns: u32,
    /// Racks with a host out, with their data centres.
    pub out_domains: BTreeSet<(DataCentreId, RackId)>,
}

/// Why a pool can't spare a host now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OutageRefusal {
    /// With one host fewer, the pool would be below its budget and reserve.
    #[error("at its availability budget")]
    AtBudget,
    /// As many hosts are out as the window allows.
    #[error("as many out as the window allows")]
    AtOnce,
    /// Hosts of another failure domain are out.
    #[error("another failure domain is out")]
    OtherDomain,
    /// A host did not return from maintenance.
    #[error("a host did not return from maintenance")]
    FailedReturn,
}

impl PoolLedger {
    /// Counts the hosts of `pool` in `map`.
    pub fn count(map: &FleetMap, pool: &PoolId) -> Self {
        Self::of_hosts(map.pool_hosts(pool).map(|(_, state)| state))
    }

    /// Counts the hosts of one pool.
    pub fn of_hosts<'a>(hosts: impl Iterator<Item = &'a HostState>) -> Self {
        let mut ledger = Self::default();
        for state in hosts {
            ledger.count_host(state);
        }
        ledger
    }

    /// Hosts that the pool keeps above its budget during planned outages.
    ///
    /// An unplanned loss can happen at any time during a planned outage. With one host in reserve,
    /// the first loss leaves the pool at its budget and not below it. A pool that can spare only
    /// one host keeps no reserve, because it could then never spare it.
    pub fn reserve(spec: &PoolSpec) -> u32 {
        u32::from(spec.size >= spec.budget.saturating_add(2))
    }

    /// Maximum number of hosts that `spec` and a window let out at once.
    pub fn max_out(spec: &PoolSpec, at_once: u32) -> u32 {
        let slack = spec.size.saturating_sub(spec.budget);
        at_once.min(slack.saturating_sub(Self::reserve(spec)))
    }

    /// Checks whether `state`, a host in service, may go out for maintenance.
    ///
    /// # Errors
    /// The first reason against it.
    pub fn check_outage(
        &self,
        spec: &PoolSpec,
        at_once: u32,
        state: &HostState,
    ) -> Result<(), OutageRefusal> {
        if self.failed_returns > 0 {
            return Err(OutageRefusal::FailedReturn);
        }
        if self.planned_out >= at_once {
            return Err(OutageRefusal::AtOnce);
        }
        self.check_budget(spec)?;
        let domain = domain_of(state);
        if self.out_domains.iter().any(|other| *other != domain) {
            return Err(OutageRefusal::OtherDomain);
        }
        Ok(())
    }

    /// Checks whether the pool can spare one host in service for a planned outage.
    ///
    /// # Errors
    /// `AtBudget` if it can't.
    pub fn check_budget(&self, spec: &PoolSpec) -> Result<(), OutageRefusal> {
        let needed = spec.budget.saturating_add(Self::reserve(spec));
        if self.in_service <= needed {
            return Err(OutageRefusal::AtBudget);
        }
        Ok(())
    }

    /// Counts `state`, which was in service, as out by plan.
    pub fn take_out(&mut self, state: &HostState) {
        self.in_service = self.in_service.saturating_sub(1);
        self.planned_out += 1;
        self.out_domains.insert(domain_of(state));
    }

    fn count_host(&mut self, state: &HostState) {
        self.failed_returns += u32::from(state.failed_return());
        if state.in_service() {
            self.in_service += 1;
            return;
        }
        if state.phase == HostPhase::Retired {
            return;
        }
        self.out_domains.insert(domain_of(state));
        if matches!(state.cause, OutCause::Maintenance | OutCause::Move) {
            self.planned_out += 1;
        }
    }
}

fn domain_of(state: &HostState) -> (DataCentreId, RackId) {
    (state.facts.data_centre.clone(), state.facts.rack.clone())
}
