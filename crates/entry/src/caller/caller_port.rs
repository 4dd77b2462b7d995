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

/// Dependencies and settings of the caller port.
pub(crate) struct CallerPort {
    /// Limits that are not part of the settings.
    pub tuning: EntryTuning,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum deadline that a caller may request.
    pub max_deadline: Duration,
    /// The active configuration: keys, teams and services.
    pub config: Arc<dyn ConfigSource>,
    /// Whether this host accepts new requests.
    pub gate: Arc<dyn ServingGate>,
    /// Targets of each service.
    pub targets: Arc<dyn TargetSource>,
    /// Clocks for deadlines and for the expiry of keys.
    pub clock: Arc<dyn Clock>,
    /// Mints request ids and resolves the ids of requests.
    pub claims: Arc<ClaimService>,
    /// Runs job operations.
    pub jobs: JobThreadPool,
    /// Receives admitted requests.
    pub admission: Sender<Box<CallerRequest>>,
    /// Memory budget of request bodies.
    pub budget: Arc<BodyBudget>,
    /// Limits the connections of callers.
    pub connections: Arc<ConnectionLimiter>,
    /// True once a graceful shutdown has started.
    pub leaving: Arc<AtomicBool>,
}

impl CallerPort {
    /// Checks whether new requests may be admitted.
    ///
    /// # Errors
    /// The reason why not.
    pub fn check_serving(&self) -> Result<(), NotServing> {
        if self.leaving.load(Ordering::Acquire) {
            return Err(NotServing::Leaving);
        }
        self.gate.check()
    }
}
