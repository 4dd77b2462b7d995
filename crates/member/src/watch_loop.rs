use model::event as log_event;
use std::{sync::Arc, thread, time::Duration};

use store::{StoreError, StoreVersion};

use crate::{
    event,
    shared_state::SharedState,
    store_key::{CONFIG, decode_record},
};

/// Maximum wait of one watch. Watches only speed up changes: a host whose watch hangs or returns
/// old values learns of changes from heartbeats, and its lease never depends on a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Minimum and maximum pause after failed watches; the pause doubles.
const PAUSE_MIN: Duration = Duration::from_millis(100);
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Watches the configuration key; this is the only watch of an entry host.
pub(crate) struct WatchLoop {
    shared: Arc<SharedState>,
    version: StoreVersion,
}

impl WatchLoop {
    pub(crate) fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, version: 0 }
    }

    /// Runs until the service stops.
    pub(crate) fn run(mut self) {
        let mut pause = PAUSE_MIN;
        while !self.shared.is_stopping() {
            match self.watch_once() {
                Ok(()) => pause = PAUSE_MIN,
                Err(error) => {
                    log_event::debug(&event::CONFIG_WATCH_FAILED, format_args!("cause={error}"));
                    thread::sleep(pause);
                    pause = PAUSE_MAX.min(pause * 2);
                }
            }
        }
    }

    fn watch_once(&mut self) -> Result<(), StoreError> {
        let watched = self
            .shared
            .store()
            .watch(CONFIG, self.version, WATCH_TIMEOUT)?;
        let Some(stored) = watched else {
            return Ok(());
        };
        // A version that is not newer is a stale response. Watching again from it could return
        // the same response forever, so without a pause this would be a busy loop.
        if stored.version <= self.version {
            thread::sleep(PAUSE_MAX);
            return Ok(());
        }
        self.version = stored.version;
        self.shared
            .apply_config(&decode_record(CONFIG, &stored.value)?)
    }
}
