use std::{fmt, io, sync::Arc};

use parking_lot::Mutex;
use ureq::{
    Error,
    unversioned::transport::{
        Buffers, ConnectionDetails, Connector, DefaultConnector, NextTimeout, Transport,
    },
};

use crate::CallerProblem;

/// Asked after the last wait, right before the first byte of a request goes out.
pub(crate) type SendCheck = Box<dyn FnOnce() -> Result<(), SendVeto> + Send>;

/// Why a request must not go out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SendVeto {
    /// It must not run at all.
    Final(CallerProblem),
    /// It waited so long that its headers are no longer true; another attempt may run.
    Stale,
}

impl<P: Into<CallerProblem>> From<P> for SendVeto {
    fn from(problem: P) -> Self {
        Self::Final(problem.into())
    }
}

/// Watches the first byte of each request on one connection.
///
/// Two failures hang on that byte. Connecting can take long enough for a serving lease to
/// lapse or a key to be withdrawn, so whatever must hold is checked here, behind the
/// connect. And when a request fails, only the knowledge that no byte went out makes
/// "not run" true.
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

/// How far a request came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SendProgress {
    /// No byte went out.
    Unsent,
    /// The check forbade it; no byte went out.
    Vetoed(SendVeto),
    /// Bytes may have reached the target.
    Sent,
}

impl SendGuard {
    /// Arms the guard for the next request on its connection.
    pub fn arm(&self, check: SendCheck) {
        *self.state.lock() = SendState {
            check: Some(check),
            vetoed: None,
            sent: false,
        };
    }

    /// How far the request came that the guard was last armed for.
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

/// Opens connections whose first bytes pass a [`SendGuard`].
#[derive(Debug)]
pub(crate) struct GuardedConnector {
    inner: DefaultConnector,
    guard: SendGuard,
}

impl GuardedConnector {
    /// A connector for one lane.
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

/// A connection whose first bytes pass a [`SendGuard`].
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
