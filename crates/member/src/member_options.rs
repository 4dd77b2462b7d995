use std::{fmt, sync::Arc};

use model::ServeSettings;
use peer::PeerNode;
use ports::AuditSink;
use store::{Clock, KeyStore};

/// What a [`crate::MemberService`] is given.
#[derive(Clone)]
pub struct MemberOptions {
    /// Settings of the process.
    pub settings: ServeSettings,
    /// Address at which callers reach this host, as bound.
    pub caller_address: String,
    /// Links to the other entry hosts. It carries the incarnation that
    /// [`crate::claim_incarnation`] gave.
    pub node: Arc<PeerNode>,
    /// The platform's store.
    pub store: Arc<dyn KeyStore>,
    /// The clocks.
    pub clock: Arc<dyn Clock>,
    /// Where changes of members and grants are noted; `None` notes nothing.
    pub audit: Option<Arc<dyn AuditSink>>,
}

impl fmt::Debug for MemberOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemberOptions")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}
