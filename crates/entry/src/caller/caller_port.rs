use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crossbeam_channel::Sender;
use ports::{ConfigSource, NotServing, ServingGate, TargetSource};
use store::Clock;

use super::{JobThreadPool, body_budget::BodyBudget, connection_limiter::ConnectionLimiter};
use crate::{ClaimService, EntryTuning, caller_request::CallerRequest};

/// What the caller port needs to answer a request.
pub(crate) struct CallerPort {
    /// Bounds that settings do not name.
    pub tuning: EntryTuning,
    /// Largest body, in bytes.
    pub max_body: usize,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Keys, teams and services in force.
    pub config: Arc<dyn ConfigSource>,
    /// Whether this host takes new work.
    pub gate: Arc<dyn ServingGate>,
    /// Whether a service has targets at all.
    pub targets: Arc<dyn TargetSource>,
    /// Clocks for deadlines and for the expiry of keys.
    pub clock: Arc<dyn Clock>,
    /// Mints request ids.
    pub claims: Arc<ClaimService>,
    /// Takes job operations.
    pub jobs: JobThreadPool,
    /// Takes admitted requests.
    pub admission: Sender<Box<CallerRequest>>,
    /// Memory of bodies and answers.
    pub budget: Arc<BodyBudget>,
    /// Connections of callers.
    pub connections: Arc<ConnectionLimiter>,
    /// True once this host shuts down gracefully.
    pub leaving: Arc<AtomicBool>,
}

impl CallerPort {
    /// Whether new work may be admitted.
    ///
    /// # Errors
    /// Why not.
    pub fn check_serving(&self) -> Result<(), NotServing> {
        if self.leaving.load(Ordering::Acquire) {
            return Err(NotServing::Leaving);
        }
        self.gate.check()
    }
}
