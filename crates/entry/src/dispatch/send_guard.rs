use std::{fmt, io, sync::Arc};

use parking_lot::Mutex;
use ureq::{
    Error,
    unversioned::transport::{
        Buffers, ConnectionDetails, Connector, DefaultConnector, NextTimeout, Transport,
    },
};

use crate::CallerProblem;

/// Check that runs after the last wait, immediately before the first byte of a request is
/// sent.
pub(crate) type SendCheck = Box<dyn FnOnce() -> Result<(), SendVeto> + Send>;

/// Why a request must not be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SendVeto {
    /// The request must not run at all.
    Final(CallerProblem),
    /// The request was delayed until its headers became outdated; another attempt may run.
    Stale,
}

impl<P: Into<CallerProblem>> From<P> for SendVeto {
    fn from(problem: P) -> Self {
        Self::Final(problem.into())
    }
}

/// Guards the first byte of each request on one connection.
///
/// Connecting can take long enough for a serving lease to expire or a key to be revoked, so
/// the preconditions are checked after the connect. When a request fails, "not run" is only
/// true if it is known that no byte was sent.
#[derive(Clone, Default)]
pub(crate) struct SendGuard {
    state: Arc<Mutex<SendState>>,
}

#[derive(Default)]
struct SendState {
    check: Option<SendCheck>,
    vetoed: Option<SendVeto>,
    sent: bool,
}

/// How far the sending of a request got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SendProgress {
    /// No byte was sent.
    Unsent,
    /// The check failed; no byte was sent.
    Vetoed(SendVeto),
    /// Bytes may have reached the target.
    Sent,
}

impl SendGuard {
    /// Prepares the guard for the next request on its connection.
    pub fn arm(&self, check: SendCheck) {
        *self.state.lock() = SendState {
            check: Some(check),
            vetoed: None,
            sent: false,
        };
    }

    /// How far the request of the last `arm` call got.
    pub fn progress(&self) -> SendProgress {
        let state = self.state.lock();
        match (&state.vetoed, state.sent) {
            (Some(veto), _) => SendProgress::Vetoed(veto.clone()),
            (None, true) => SendProgress::Sent,
            (None, false) => SendProgress::Unsent,
        }
    }

    fn check_first_byte(&self) -> Result<(), Error> {
        let mut state = self.state.lock();
        if state.sent {
            return Ok(());
        }
        let checked = match state.check.take() {
            Some(check) => check(),
            None => return Err(send_blocked()),
        };
        if let Err(veto) = checked {
            state.vetoed = Some(veto);
            return Err(send_blocked());
        }
        state.sent = true;
        Ok(())
    }
}

impl fmt::Debug for SendGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SendGuard")
    }
}

/// Opens connections whose first byte is guarded by a [`SendGuard`].
#[derive(Debug)]
pub(crate) struct GuardedConnector {
    inner: DefaultConnector,
    guard: SendGuard,
}

impl GuardedConnector {
    /// Creates a connector for one [`TargetConnection`](super::TargetConnection).
    pub fn new(guard: SendGuard) -> Self {
        Self {
            inner: DefaultConnector::new(),
            guard,
        }
    }
}

impl Connector<()> for GuardedConnector {
    type Out = GuardedTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let inner = self.inner.connect(details, chained)?;
        Ok(inner.map(|inner| GuardedTransport {
            inner: Box::new(inner),
            guard: self.guard.clone(),
        }))
    }
}

/// A connection whose first byte is guarded by a [`SendGuard`].
#[derive(Debug)]
pub(crate) struct GuardedTransport {
    inner: Box<dyn Transport>,
    guard: SendGuard,
}

impl Transport for GuardedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.guard.check_first_byte()?;
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

fn send_blocked() -> Error {
    Error::Io(io::Error::other("the request must not go out"))
}
