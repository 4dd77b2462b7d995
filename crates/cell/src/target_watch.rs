use std::{collections::HashSet, rc::Rc};

use model::{HostId, event as log_event};
use ports::{StoreEvent, StoreItem, StoreRevision};

use crate::{
    event,
    prefix_watch::{PrefixObserver, watch_prefix},
    term::Term,
    watch_timeout::WatchTimeout,
};

/// Passes the host list to the scheduler of a term.
struct TargetListObserver {
    term: Rc<Term>,
}

/// Watches the host list for as long as the term lasts.
pub(crate) async fn watch_targets(term: Rc<Term>) {
    let observer = TargetListObserver { term: term.clone() };
    let prefix = term.ports.codec.target_prefix();
    let timeout = WatchTimeout::new(term.options.watch_timeout);
    watch_prefix(term.ports.store.clone(), prefix, &timeout, &observer).await;
}

impl TargetListObserver {
    fn target_id<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.term.ports.codec.target_prefix())
    }

    fn apply_item(&self, item: &StoreItem) {
        let Some(id) = self.target_id(&item.key) else {
            return;
        };
        let now = self.term.now();
        match self.term.ports.codec.read_target(id, &item.value) {
            Ok(entry) => self.term.scheduler.borrow_mut().upsert_target(entry, now),
            Err(error) => {
                log_event::warn(
                    &event::ENTRY_UNREADABLE,
                    format_args!("key={} cause=\"{error}\"", item.key),
                );
                self.term
                    .scheduler
                    .borrow_mut()
                    .mark_target_unlisted(&id.into());
            }
        }
    }
}

impl PrefixObserver for TargetListObserver {
    fn reset(&self, items: Vec<StoreItem>, _revision: StoreRevision) {
        let present: HashSet<HostId> = items
            .iter()
            .filter_map(|item| self.target_id(&item.key).map(HostId::from))
            .collect();
        self.term.scheduler.borrow_mut().clear_deferred_entries();
        let listed = self.term.scheduler.borrow().listed_targets();
        for id in listed.iter().filter(|id| !present.contains(*id)) {
            self.term.scheduler.borrow_mut().mark_target_unlisted(id);
        }
        items.iter().for_each(|item| self.apply_item(item));
        self.term.wake.notify_one();
    }

    fn apply(&self, event: StoreEvent) {
        match event {
            StoreEvent::Written(item) => self.apply_item(&item),
            StoreEvent::Removed(key, _) => {
                if let Some(id) = self.target_id(&key) {
                    self.term
                        .scheduler
                        .borrow_mut()
                        .mark_target_unlisted(&id.into());
                }
            }
        }
        self.term.wake.notify_one();
    }
}
