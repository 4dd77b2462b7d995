use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use model::{
    BootTime, DataCentreId, event as log_event,
    work::{FleetPolicy, MaintenanceWave, WaveId},
};
use ports::{FleetCodec, StoreEvent, StoreItem, StoreRevision};
use tokio::sync::Notify;

use crate::{event, metric, prefix_watch::PrefixObserver, watch_timeout::WatchTimeout};

/// The policy, the waves and the drains of data centres that operators requested, as far as this
/// process has read them.
pub(crate) struct FleetView {
    codec: Rc<dyn FleetCodec>,
    policy: RefCell<Option<Arc<FleetPolicy>>>,
    waves: RefCell<BTreeMap<WaveId, MaintenanceWave>>,
    drained: RefCell<BTreeSet<DataCentreId>>,
    /// All changes made before this time have been read; `None` before the first read.
    read_at: Cell<Option<BootTime>>,
    /// Counts the changes.
    pub(crate) version: Cell<u64>,
    /// Notified of each change.
    pub(crate) changed: Notify,
    /// How long the watch that updates this view waits for changes.
    pub(crate) watch_timeout: WatchTimeout,
}

impl FleetView {
    pub(crate) fn new(codec: Rc<dyn FleetCodec>, watch_timeout: Duration) -> Self {
        Self {
            codec,
            policy: RefCell::default(),
            waves: RefCell::default(),
            drained: RefCell::default(),
            read_at: Cell::new(None),
            version: Cell::new(0),
            changed: Notify::new(),
            watch_timeout: WatchTimeout::new(watch_timeout),
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

    /// The data centres in which nothing may be started.
    pub(crate) fn drained_data_centres(&self) -> BTreeSet<DataCentreId> {
        self.drained.borrow().clone()
    }

    /// All changes made before this time have been read; `None` before the first read.
    pub(crate) fn read_at(&self) -> Option<BootTime> {
        self.read_at.get()
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
        } else if let Some(data_centre) = self.codec.parse_drain_key(&item.key) {
            self.drain(&data_centre);
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

    fn drain(&self, data_centre: &DataCentreId) {
        if self.drained.borrow_mut().insert(data_centre.clone()) {
            log_event::info(
                &event::DATA_CENTRE_DRAINED,
                format_args!("data_centre={data_centre}"),
            );
            self.mark_drains_changed();
        }
    }

    fn restore(&self, data_centre: &DataCentreId) {
        if self.drained.borrow_mut().remove(data_centre) {
            log_event::info(
                &event::DATA_CENTRE_RESTORED,
                format_args!("data_centre={data_centre}"),
            );
            self.mark_drains_changed();
        }
    }

    fn mark_drains_changed(&self) {
        let count = u32::try_from(self.drained.borrow().len()).unwrap_or(u32::MAX);
        metrics::gauge!(metric::DRAINED_DATA_CENTRES).set(f64::from(count));
        self.mark_changed();
    }

    /// Ends the drains whose entries are not among `items`. They were removed while the watch
    /// missed changes.
    fn restore_all_except(&self, items: &[StoreItem]) {
        let drains = items
            .iter()
            .filter_map(|item| self.codec.parse_drain_key(&item.key));
        let present: BTreeSet<DataCentreId> = drains.collect();
        let known = self.drained_data_centres();
        known
            .difference(&present)
            .for_each(|data_centre| self.restore(data_centre));
    }

    fn mark_changed(&self) {
        self.version.set(self.version.get() + 1);
        self.changed.notify_waiters();
    }
}

impl PrefixObserver for FleetView {
    fn reset(&self, items: Vec<StoreItem>, _revision: StoreRevision) {
        self.restore_all_except(&items);
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
                } else if let Some(data_centre) = self.codec.parse_drain_key(&key) {
                    self.restore(&data_centre);
                }
            }
        }
    }

    fn caught_up_to(&self, sent: BootTime) {
        self.read_at.set(Some(sent));
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
