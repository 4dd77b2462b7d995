use std::{rc::Rc, time::Duration};

use compact_str::CompactString;
use model::{BootTime, event as log_event};
use ports::{LeaseStore, StoreError, StoreEvent, StoreItem, StoreRevision};
use store::{BootClock, Clock};
use tokio::time::sleep;

use crate::{dependency_logger::DependencyLogger, event};

/// Pause after a failed call; a store that is down is asked this often.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Hears what happens below a prefix.
pub(crate) trait PrefixObserver {
    /// All keys that there were at a revision; what was known before and isn't among them is gone.
    fn reset(&self, items: Vec<StoreItem>, revision: StoreRevision);
    /// One change.
    fn apply(&self, event: StoreEvent);
    /// All is known that had happened when a call was sent.
    fn caught_up_to(&self, _sent: BootTime) {}
}

/// Keeps a sink in step with the keys below a prefix, for ever.
///
/// Where the store has dropped the history that the watch needs, everything is read anew.
pub(crate) async fn watch_prefix(
    store: Rc<dyn LeaseStore>,
    prefix: &str,
    timeout: Duration,
    observer: &dyn PrefixObserver,
) {
    let logger = DependencyLogger::default();
    loop {
        let mut revision = read_all(&*store, prefix, observer, &logger).await;
        loop {
            let sent = BootClock.boot_now();
            match store.watch(prefix, revision, timeout).await {
                Ok(changes) => {
                    logger.log_answered("watch", prefix);
                    revision = revision.max(changes.revision);
                    changes
                        .events
                        .into_iter()
                        .for_each(|event| observer.apply(event));
                    observer.caught_up_to(sent);
                }
                Err(StoreError::HistoryGone) => {
                    log_event::info(
                        &event::WATCH_RESET,
                        format_args!("prefix={prefix} revision={revision}"),
                    );
                    break;
                }
                Err(error) => {
                    logger.log_failed("watch", prefix, &error);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Reads all keys below a prefix for a sink, for as long as that takes. Returns the revision of the
/// first page, so that a watch from there misses nothing that changed while the others were read.
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

/// Reads all keys below a prefix a page at a time, and keeps the pages that it has when a call
/// fails: begun anew after each failure, a long list might never be read to its end.
pub(crate) struct PrefixReader<'a> {
    prefix: &'a str,
    /// The key that the next page begins after.
    after: CompactString,
    /// The keys that were read.
    pub(crate) items: Vec<StoreItem>,
    revision: Option<StoreRevision>,
    complete: bool,
}

impl<'a> PrefixReader<'a> {
    /// Reads the keys that come after one; all of them for an empty key.
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
    pub(crate) async fn read_page(&mut self, store: &dyn LeaseStore) -> Result<(), StoreError> {
        let mut page = store.list(self.prefix, &self.after).await?;
        self.revision.get_or_insert(page.revision);
        if let Some(item) = page.items.last() {
            self.after = item.key.clone();
        }
        // A page without keys would be asked for again for ever.
        self.complete = !page.more || page.items.is_empty();
        self.items.append(&mut page.items);
        Ok(())
    }
}
