use std::{rc::Rc, time::Duration};

use compact_str::CompactString;
use model::{BootTime, event as log_event};
use ports::{LeaseStore, LeaseStoreError, StoreEvent, StoreItem, StoreRevision};
use store::{BootClock, Clock};
use tokio::time::sleep;

use crate::{dependency_logger::DependencyLogger, event, watch_timeout::WatchTimeout};

/// Delay after a failed call, and so the interval of retries while the store is down.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a watch waits for changes after a failed call. A store that is reachable again is then
/// noticed soon, even if its connections stay silent meanwhile.
const WAIT_AFTER_FAILURE: Duration = Duration::from_millis(250);

/// Receives the changes of the keys below a prefix.
pub(crate) trait PrefixObserver {
    /// Replaces the state by all keys that existed at a revision; keys not among them are gone.
    fn reset(&self, items: Vec<StoreItem>, revision: StoreRevision);
    /// Applies one change.
    fn apply(&self, event: StoreEvent);
    /// Reports that all changes made before `_sent`, when a call was sent, have been received.
    fn caught_up_to(&self, _sent: BootTime) {}
}

/// Keeps an observer up to date with the keys below a prefix, forever.
///
/// If the store has dropped the history that the watch needs, all keys are read again.
pub(crate) async fn watch_prefix(
    store: Rc<dyn LeaseStore>,
    prefix: &str,
    timeout: &WatchTimeout,
    observer: &dyn PrefixObserver,
) {
    let logger = DependencyLogger::default();
    loop {
        let mut revision = read_all(&*store, prefix, observer, &logger).await;
        let mut max_wait = Duration::MAX;
        loop {
            let sent = BootClock.boot_now();
            let wait = timeout.current().min(max_wait);
            let answer = tokio::select! {
                answer = store.watch(prefix, revision, wait) => answer,
                () = timeout.shortened() => continue,
            };
            match answer {
                Ok(changes) => {
                    max_wait = Duration::MAX;
                    logger.log_answered("watch", prefix);
                    revision = revision.max(changes.revision);
                    changes
                        .events
                        .into_iter()
                        .for_each(|event| observer.apply(event));
                    observer.caught_up_to(sent);
                }
                Err(LeaseStoreError::HistoryGone) => {
                    log_event::info(
                        &event::WATCH_RESET,
                        format_args!("prefix={prefix} revision={revision}"),
                    );
                    break;
                }
                Err(error) => {
                    logger.log_failed("watch", prefix, &error);
                    max_wait = WAIT_AFTER_FAILURE;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Reads all keys below a prefix for an observer, with retries. Returns the revision of the first
/// page, so that a watch from there misses no change made while the other pages were read.
async fn read_all(
    store: &dyn LeaseStore,
    prefix: &str,
    observer: &dyn PrefixObserver,
    logger: &DependencyLogger,
) -> StoreRevision {
    let mut reader = PrefixReader::new(prefix, CompactString::default());
    let mut sent = BootClock.boot_now();
    while !reader.is_complete() {
        if reader.items.is_empty() {
            sent = BootClock.boot_now();
        }
        if let Err(error) = reader.read_page(store).await {
            logger.log_failed("list", prefix, &error);
            sleep(RETRY_DELAY).await;
        }
    }
    let revision = reader.revision.unwrap_or_default();
    observer.reset(reader.items, revision);
    observer.caught_up_to(sent);
    revision
}

/// Reads all keys below a prefix, a page at a time. It keeps the pages that it has when a call
/// fails. If it restarted after each failure, it might never finish reading a long list.
pub(crate) struct PrefixReader<'a> {
    prefix: &'a str,
    /// The next page begins after this key.
    after: CompactString,
    /// The keys that were read.
    pub(crate) items: Vec<StoreItem>,
    revision: Option<StoreRevision>,
    complete: bool,
}

impl<'a> PrefixReader<'a> {
    /// Reads the keys after `after`; all of them if it is empty.
    pub(crate) fn new(prefix: &'a str, after: CompactString) -> Self {
        Self {
            prefix,
            after,
            items: Vec::new(),
            revision: None,
            complete: false,
        }
    }

    /// True once the last page was read.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Reads the next page.
    pub(crate) async fn read_page(
        &mut self,
        store: &dyn LeaseStore,
    ) -> Result<(), LeaseStoreError> {
        let mut page = store.list(self.prefix, &self.after).await?;
        self.revision.get_or_insert(page.revision);
        if let Some(item) = page.items.last() {
            self.after = item.key.clone();
        }
        // A page without keys would be requested again forever.
        self.complete = !page.more || page.items.is_empty();
        self.items.append(&mut page.items);
        Ok(())
    }
}
