use std::{collections::HashSet, rc::Rc};

use model::{HostId, event as log_event};
use ports::{StoreEvent, StoreItem, StoreRevision};

use crate::{
    event,
    prefix_watch::{PrefixSink, watch_prefix},
    term::Term,
};

/// Tells the desk of a term what the host list says.
struct TargetSink {
    term: Rc<Term>,
}

/// Follows the host list for as long as the term lasts.
pub(crate) async fn watch_targets(term: Rc<Term>) {
    let sink = TargetSink { term: term.clone() };
    let prefix = term.ports.codec.target_prefix();
    watch_prefix(
        term.ports.store.clone(),
        prefix,
        term.options.watch_patience,
        &sink,
    )
    .await;
}

impl TargetSink {
    fn id_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.term.ports.codec.target_prefix())
    }

    fn take(&self, item: &StoreItem) {
        let Some(id) = self.id_of(&item.key) else {
            return;
        };
        let now = self.term.now();
        match self.term.ports.codec.read_target(id, &item.value) {
            Ok(entry) => self.term.desk.borrow_mut().list_target(entry, now),
            Err(error) => {
                log_event::warn(
                    &event::ENTRY_UNREADABLE,
                    format_args!("key={} cause=\"{error}\"", item.key),
                );
                self.term.desk.borrow_mut().unlist_target(&id.into());
            }
        }
    }
}

impl PrefixSink for TargetSink {
    fn reset(&self, items: Vec<StoreItem>, _revision: StoreRevision) {
        let present: HashSet<HostId> = items
            .iter()
            .filter_map(|item| self.id_of(&item.key).map(HostId::from))
            .collect();
        let listed = self.term.desk.borrow().listed();
        for id in listed.iter().filter(|id| !present.contains(*id)) {
            self.term.desk.borrow_mut().unlist_target(id);
        }
        items.iter().for_each(|item| self.take(item));
        self.term.wake.notify_one();
    }

    fn change(&self, event: StoreEvent) {
        match event {
            StoreEvent::Written(item) => self.take(&item),
            StoreEvent::Removed(key, _) => {
                if let Some(id) = self.id_of(&key) {
                    self.term.desk.borrow_mut().unlist_target(&id.into());
                }
            }
        }
        self.term.wake.notify_one();
    }
}
