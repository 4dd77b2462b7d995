use std::{
    collections::BTreeMap,
    io::ErrorKind,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use model::{Incarnation, MemberId, event as log_event};
use wire::state::Member;

use crate::{event, shared_state::SharedState};

/// Distance of the rounds.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Refusals in a row that prove a member gone; together they span most of a lease.
const REQUIRED_REFUSALS: u32 = 3;

/// Finds out whether members that are silent have ended.
///
/// The failure this guards against: most entry hosts end at once, and those left can't know
/// whether the others are gone or go on serving behind a cut. No quorum forms, and no change
/// is accepted for ever. A host that is up refuses connections to a port that nobody holds;
/// a process that serves always holds its port. So a refusal from the address in the member
/// list proves that the process ended. Silence alone proves nothing and is not used here.
pub(crate) struct ProbeLoop {
    shared: Arc<SharedState>,
    refusals: BTreeMap<(MemberId, Incarnation), u32>,
}

impl ProbeLoop {
    pub(crate) fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            refusals: BTreeMap::new(),
        }
    }

    /// Runs until the service stops.
    pub(crate) fn run(mut self) {
        while !self.shared.is_stopping() {
            thread::sleep(PROBE_INTERVAL);
            let silent = self.shared.unresponsive_members();
            self.refusals.retain(|(id, life), _| {
                silent
                    .iter()
                    .any(|m| m.id == id.as_str() && m.incarnation == *life)
            });
            for member in silent {
                self.probe(&member);
            }
        }
    }

    fn probe(&mut self, member: &Member) {
        let life = (MemberId::from(member.id.as_str()), member.incarnation);
        let count = self.refusals.entry(life.clone()).or_default();
        if !is_refused(&member.peer_address) {
            *count = 0;
            return;
        }
        *count += 1;
        if *count == REQUIRED_REFUSALS {
            log_event::warn(
                &event::MEMBER_GONE,
                format_args!("member={} incarnation={}", member.id, member.incarnation),
            );
            self.shared.acks.lock().record_ended(&life.0, life.1);
            self.shared.wake_store();
        }
    }
}

fn is_refused(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return false;
    };
    if address.ip().is_unspecified() {
        // A wildcard address would be dialled on this very host.
        return false;
    }
    let refused = |error: std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
    TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_err_and(refused)
}
