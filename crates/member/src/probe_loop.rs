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

/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Consecutive refused connections after which a member counts as ended; together they span
/// most of a lease.
const REQUIRED_REFUSALS: u32 = 3;

/// Finds out whether the processes of unresponsive members have ended.
///
/// If most entry hosts end at the same time, the remaining ones can't tell whether the others
/// ended or still serve behind a network partition. Without a quorum, no change would ever be
/// accepted again. A running host refuses connections to a port that no process listens on, and
/// a serving process always listens on its port. So a refused connection to the address in the
/// member list proves that the process ended. A missing response proves nothing and is ignored.
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
            let unresponsive = self.shared.unresponsive_members();
            self.refusals.retain(|(id, key), _| {
                unresponsive
                    .iter()
                    .any(|m| m.id == id.as_str() && m.incarnation == *key)
            });
            for member in unresponsive {
                self.probe(&member);
            }
        }
    }

    fn probe(&mut self, member: &Member) {
        let key = (MemberId::from(member.id.as_str()), member.incarnation);
        let count = self.refusals.entry(key.clone()).or_default();
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
            self.shared.acks.lock().record_ended(&key.0, key.1);
            self.shared.wake_store();
        }
    }
}

fn is_refused(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return false;
    };
    if address.ip().is_unspecified() {
        // Connecting to a wildcard address would reach this host itself.
        return false;
    }
    let refused = |error: std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
    TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_err_and(refused)
}
