use model::event as log_event;
use std::{sync::Arc, thread, time::Duration};

use store::{StoreError, StoreVersion};

use crate::{
    event,
    shared_state::SharedState,
    store_key::{CONFIG, decode_record},
};

/// How long one watch waits. It only speeds changes up: a host whose watch hangs or lies
/// learns of them from its peers' beats, and its lease never rests on a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Pauses after failed watches grow between these.
const PAUSE_MIN: Duration = Duration::from_millis(100);
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Waits for changes of the configuration: the one watch of an entry host.
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
        // A version that is not newer is a stale answer. Asking for what follows it would
        // bring the same answer for ever, and without a pause as fast as the store answers.
        if stored.version <= self.version {
            thread::sleep(PAUSE_MAX);
            return Ok(());
        }
        self.version = stored.version;
        self.shared
            .apply_config(&decode_record(CONFIG, &stored.value)?)
    }
}
