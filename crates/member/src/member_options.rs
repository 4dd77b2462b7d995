use std::{fmt, sync::Arc};

use model::ServeSettings;
use peer::PeerNode;
use ports::AuditSink;
use store::{Clock, KeyStore};

/// Dependencies and settings of a [`crate::MemberService`].
#[derive(Clone)]
pub struct MemberOptions {
    /// Settings of the process.
    pub settings: ServeSettings,
    /// Bound address at which callers reach this host.
    pub caller_address: String,
    /// Links to the other entry hosts. Its incarnation must come from
    /// [`crate::claim_incarnation`].
    pub node: Arc<PeerNode>,
    /// The platform's store.
    pub store: Arc<dyn KeyStore>,
    /// Source of boot time and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Receives audit records of changes of members and grants; `None` records nothing.
    pub audit: Option<Arc<dyn AuditSink>>,
}

impl fmt::Debug for MemberOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemberOptions")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}
