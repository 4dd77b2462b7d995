use std::{
    io,
    net::TcpListener as StdListener,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use model::{StepError, event as log_event};
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime,
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    event,
    frame::{LinkSide, read_body},
    inbound_router::InboundRouter,
    outbound_link::PeerDialer,
};

/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);
/// Timeout of the exchange of headers.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of inbound connections. There are as many as peers, and one more of each peer
/// that was restarted a moment ago.
const MAX_INBOUND: usize = 1024;
/// Idle time after which a connection is probed, so that those of dead hosts are closed.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// How long a stop waits for queued messages to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const THREAD_STACK: usize = 512 * 1024;

/// The event loop of a node: it accepts and reads connections, and runs the dialers of all links.
pub(crate) struct PeerLoop {
    /// Dropped to stop the loop.
    dialers: Mutex<Option<UnboundedSender<PeerDialer>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl PeerLoop {
    /// Starts the loop in a thread of its own.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub(crate) fn start(
        listener: StdListener,
        router: Arc<InboundRouter>,
    ) -> Result<Self, StepError> {
        let fail = |error: io::Error| StepError::new("start thread", "peer-io", error);
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let (sender, receiver) = unbounded_channel();
        let thread = thread::Builder::new()
            .name("peer-io".to_owned())
            .stack_size(THREAD_STACK)
            .spawn(move || runtime.block_on(run(listener, router, receiver)))
            .map_err(fail)?;
        Ok(Self {
            dialers: Mutex::new(Some(sender)),
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Runs the dialer of a link, unless the loop stops.
    pub(crate) fn run_dialer(&self, dialer: PeerDialer) {
        if let Some(dialers) = &*self.dialers.lock()
            && dialers.send(dialer).is_err()
        {
            log_event::error(&event::PEER_LOOP_FAILED, format_args!(""));
        }
    }

    /// Stops the loop and waits for its thread. All links have to be dropped before.
    pub(crate) fn stop(&self) {
        self.dialers.lock().take();
        let thread = self.thread.lock().take();
        if thread.is_some_and(|thread| thread.join().is_err()) {
            log_event::error(&event::PEER_LOOP_FAILED, format_args!(""));
        }
    }
}

/// Accepts connections and runs dialers until no more dialers can come.
async fn run(
    listener: StdListener,
    router: Arc<InboundRouter>,
    mut dialers: UnboundedReceiver<PeerDialer>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return log_receive_failure(&error),
    };
    let mut inbound = JoinSet::new();
    let mut outbound = JoinSet::new();
    loop {
        tokio::select! {
            dialer = dialers.recv() => match dialer {
                Some(dialer) => {
                    outbound.spawn(dialer.run());
                }
                None => break,
            },
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if inbound.len() < MAX_INBOUND => {
                    inbound.spawn(receive(stream, router.clone()));
                }
                Ok(_) => log_receive_failure(&io::Error::other("too many connections")),
                Err(error) => {
                    log_receive_failure(&error);
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = inbound.join_next() => {}
            Some(_) = outbound.join_next() => {}
        }
    }
    inbound.abort_all();
    // What can't be written by then is lost, as on a link that is down.
    let _ = timeout(FLUSH_TIMEOUT, outbound.join_all()).await;
}

/// Reads a connection until it ends.
async fn receive(mut stream: TcpStream, router: Arc<InboundRouter>) {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME);
    if let Err(error) = SockRef::from(&stream).set_tcp_keepalive(&keepalive) {
        log_receive_failure(&error);
    }
    let shaken = timeout(
        HANDSHAKE_TIMEOUT,
        LinkSide::Receiver.shake_hands(&mut stream),
    );
    if !matches!(shaken.await, Ok(Ok(()))) {
        return;
    }
    let mut body = Vec::new();
    while read_body(&mut stream, &mut body).await.is_ok() {
        router.route(&body);
    }
}

fn log_receive_failure(error: &io::Error) {
    log_event::warn(
        &event::PEER_RECEIVE_FAILED,
        format_args!("cause=\"{error}\""),
    );
}
