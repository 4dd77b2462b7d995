use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
};

use model::{
    event as log_event,
    work::{FleetPolicy, MaintenanceWave, WaveId},
};
use ports::{FleetCodec, StoreEvent, StoreItem, StoreRevision};
use tokio::sync::Notify;

use crate::{event, prefix_watch::PrefixObserver};

/// The policy and the waves of the operators, as far as this process has read them.
pub(crate) struct FleetView {
    codec: Rc<dyn FleetCodec>,
    policy: RefCell<Option<Arc<FleetPolicy>>>,
    waves: RefCell<BTreeMap<WaveId, MaintenanceWave>>,
    /// Counts the changes.
    pub(crate) version: Cell<u64>,
    /// Notified of each change.
    pub(crate) changed: Notify,
}

impl FleetView {
    pub(crate) fn new(codec: Rc<dyn FleetCodec>) -> Self {
        Self {
            codec,
            policy: RefCell::default(),
            waves: RefCell::default(),
            version: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// The policy in force; `None` before the first read.
    pub(crate) fn policy(&self) -> Option<Arc<FleetPolicy>> {
        self.policy.borrow().clone()
    }

    /// The maintenance waves that operators requested.
    pub(crate) fn waves(&self) -> Vec<MaintenanceWave> {
        self.waves.borrow().values().cloned().collect()
    }

    fn apply_item(&self, item: &StoreItem) {
        if item.key == self.codec.policy_key() {
            match self.codec.read_policy(&item.value) {
                Ok(policy) => self.replace_policy(policy),
                Err(error) => log_unreadable(item, &error),
            }
        } else if let Some(wave) = self.codec.parse_wave_key(&item.key) {
            match self.codec.read_wave(&item.value) {
                Ok(read) => self.add_wave(wave, read),
                Err(error) => log_unreadable(item, &error),
            }
        }
    }

    /// Puts a policy in force unless it is older than the current one. A stale response of the
    /// store must not bring back a key or a queue that operators have removed.
    fn replace_policy(&self, policy: FleetPolicy) {
        let held = self
            .policy
            .borrow()
            .as_ref()
            .map_or(0, |policy| policy.revision);
        if policy.revision <= held {
            if policy.revision < held {
                log_event::warn(
                    &event::TERMS_STALE,
                    format_args!("revision={} in_force={held}", policy.revision),
                );
            }
            return;
        }
        log_event::info(
            &event::TERMS_IN_FORCE,
            format_args!(
                "revision={} before={held} queues={} workspaces={}",
                policy.revision,
                policy.queues.len(),
                policy.workspaces.len()
            ),
        );
        *self.policy.borrow_mut() = Some(Arc::new(policy));
        self.mark_changed();
    }

    fn add_wave(&self, wave: WaveId, read: MaintenanceWave) {
        log_event::info(
            &event::WAVE_SEEN,
            format_args!(
                "wave={wave} hosts={} cap={}",
                read.hosts.len(),
                read.max_down
            ),
        );
        self.waves.borrow_mut().insert(wave, read);
        self.mark_changed();
    }

    fn mark_changed(&self) {
        self.version.set(self.version.get() + 1);
        self.changed.notify_waiters();
    }
}

impl PrefixObserver for FleetView {
    fn reset(&self, items: Vec<StoreItem>, _revision: StoreRevision) {
        items.iter().for_each(|item| self.apply_item(item));
    }

    fn apply(&self, event: StoreEvent) {
        match event {
            StoreEvent::Written(item) => self.apply_item(&item),
            // Operators replace the policy and never remove it.
            StoreEvent::Removed(key, _) => {
                if let Some(wave) = self.codec.parse_wave_key(&key) {
                    self.waves.borrow_mut().remove(&wave);
                    self.mark_changed();
                }
            }
        }
    }
}

fn log_unreadable(item: &StoreItem, error: &str) {
    log_event::warn(
        &event::ENTRY_UNREADABLE,
        format_args!(
            "key={} revision={} cause=\"{error}\"",
            item.key, item.revision
        ),
    );
}
