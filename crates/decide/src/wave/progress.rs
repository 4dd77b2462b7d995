use std::time::Duration;

use model::PoolId;

use super::{FleetLimits, HealthStatus, HostObservation};
use crate::budget::{HostPhase, HostState, OutCause};

/// The next state of one host according to its observation; `None` if it does not change.
///
/// Only transitions that do not use a pool's budget by choice are made here: losses, removals by
/// the platform, and the progress of a host that is already out.
pub(super) fn next_state(
    state: &HostState,
    observation: &HostObservation,
    limits: &FleetLimits,
    now: Duration,
) -> Option<HostState> {
    let transition = HostTransition {
        state,
        observation,
        limits,
        now,
    };
    transition
        .after_leaving()
        .or_else(|| transition.after_loss())
        .or_else(|| transition.after_progress())
}

struct HostTransition<'a> {
    state: &'a HostState,
    observation: &'a HostObservation,
    limits: &'a FleetLimits,
    now: Duration,
}

impl HostTransition<'_> {
    fn after_leaving(&self) -> Option<HostState> {
        let leaving = self.observation.leaving;
        let known = self.state.cause == OutCause::Leaving;
        match self.state.phase {
            HostPhase::Retired => None,
            HostPhase::Draining if known && self.left_list() => {
                self.enter_phase(HostPhase::Retired, OutCause::Leaving)
            }
            HostPhase::Draining if known && self.observation.is_staying() => {
                self.enter_phase(HostPhase::Checking, OutCause::Joining)
            }
            _ if leaving && !known => {
                let mut next =
                    self.state
                        .with_phase(HostPhase::Draining, OutCause::Leaving, self.now);
                next.next_pool = PoolId::default();
                Some(next)
            }
            _ => None,
        }
    }

    fn after_loss(&self) -> Option<HostState> {
        let cause = self.state.cause;
        match self.state.phase {
            HostPhase::Serving | HostPhase::Draining
                if cause != OutCause::Leaving && (self.left_list() || self.is_failing()) =>
            {
                self.enter_phase(HostPhase::Lost, OutCause::Loss)
            }
            HostPhase::Rebooting | HostPhase::Checking if self.is_return_overdue() => {
                self.enter_phase(HostPhase::Lost, cause)
            }
            HostPhase::Lost if self.is_lost_too_long() => {
                self.enter_phase(HostPhase::Retired, cause)
            }
            _ => None,
        }
    }

    fn after_progress(&self) -> Option<HostState> {
        let health = self.health();
        let cause = self.state.cause;
        match self.state.phase {
            HostPhase::Draining if health.is_drained() => self.after_drain(),
            HostPhase::Rebooting if health.is_serving() => {
                self.enter_phase(HostPhase::Checking, cause)
            }
            HostPhase::Checking if health.is_serving() && self.has_settled() => {
                Some(self.back_in_service())
            }
            HostPhase::Lost if self.has_returned() => self.enter_phase(HostPhase::Checking, cause),
            HostPhase::Retired if self.has_returned() => {
                self.enter_phase(HostPhase::Checking, OutCause::Joining)
            }
            _ => None,
        }
    }

    fn after_drain(&self) -> Option<HostState> {
        match self.state.cause {
            OutCause::Maintenance => self.enter_phase(HostPhase::Rebooting, OutCause::Maintenance),
            OutCause::Move => {
                let mut next = self
                    .state
                    .with_phase(HostPhase::Checking, OutCause::Move, self.now);
                next.pool = std::mem::take(&mut next.next_pool);
                Some(next)
            }
            _ => None,
        }
    }

    fn back_in_service(&self) -> HostState {
        let mut next = self
            .state
            .with_phase(HostPhase::Serving, OutCause::Unspecified, self.now);
        if self.state.cause == OutCause::Maintenance {
            next.maintained = self.now;
            next.maintenances += 1;
        }
        next
    }

    fn enter_phase(&self, phase: HostPhase, cause: OutCause) -> Option<HostState> {
        let mut next = self.state.with_phase(phase, cause, self.now);
        if phase != HostPhase::Draining {
            next.next_pool = PoolId::default();
        }
        Some(next)
    }

    fn health(&self) -> HealthStatus {
        self.observation.health_in_phase(self.state)
    }

    fn is_lost_too_long(&self) -> bool {
        self.now >= self.state.since + self.limits.forget_after
    }

    fn left_list(&self) -> bool {
        self.observation.missing_for >= self.limits.list_lag
    }

    fn is_failing(&self) -> bool {
        self.health() == HealthStatus::Failing
    }

    fn is_return_overdue(&self) -> bool {
        self.now >= self.state.since + self.limits.return_limit
    }

    fn has_settled(&self) -> bool {
        self.now >= self.state.since + self.limits.settle_time
    }

    fn has_returned(&self) -> bool {
        self.observation.is_staying() && matches!(self.health(), HealthStatus::Answering { .. })
    }
}
