use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, Sender, bounded};
use decide::{
    lease::{LeaseMachine, LeaseOptions, LeaseRefusal},
    member::{ListAcks, MemberList},
};
use model::{BootTime, Incarnation, MemberId, event as log_event};
use parking_lot::Mutex;
use ports::{AuditRecord, InboundMessage, MemberInfo, NotServing};
use store::{KeyStore, StoreError};
use wire::state::{ConfigRecord, Member};

use crate::{MemberOptions, config_holder::ConfigHolder, event, local_quota::LocalQuota};

/// State shared by the threads of the service.
pub(crate) struct SharedState {
    pub options: MemberOptions,
    pub own: MemberId,
    pub lease: Mutex<LeaseMachine>,
    pub acks: Mutex<ListAcks>,
    pub holder: ConfigHolder,
    pub quota: LocalQuota,
    pub members: ArcSwap<Vec<MemberInfo>>,
    leaving: AtomicBool,
    stopping: AtomicBool,
    /// Whether the next heartbeats ask for an echo at once.
    echo_requested: AtomicBool,
    beat_wake: (Sender<()>, Receiver<()>),
    store_wake: (Sender<()>, Receiver<()>),
}

impl SharedState {
    pub(crate) fn new(options: MemberOptions) -> Self {
        let own = options.settings.member.clone();
        let lease_options = LeaseOptions {
            length: options.settings.lease_length,
            ..LeaseOptions::default()
        };
        let incarnation = options.node.incarnation();
        Self {
            lease: Mutex::new(LeaseMachine::new(lease_options, own.clone(), incarnation)),
            quota: LocalQuota::new(&options.settings, own.clone(), incarnation),
            own,
            options,
            acks: Mutex::default(),
            holder: ConfigHolder::new(),
            members: ArcSwap::default(),
            leaving: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            echo_requested: AtomicBool::new(false),
            beat_wake: bounded(1),
            store_wake: bounded(1),
        }
    }

    pub(crate) fn now(&self) -> BootTime {
        self.options.clock.boot_now()
    }

    pub(crate) fn store(&self) -> &dyn KeyStore {
        self.options.store.as_ref()
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.options.node.incarnation()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
        self.wake_beats();
        self.wake_store();
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    pub(crate) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
        self.lease.lock().set_leaving();
        self.wake_beats();
    }

    /// Triggers heartbeats immediately, so that peers learn of a change before the next interval.
    pub(crate) fn wake_beats(&self) {
        let _ = self.beat_wake.0.try_send(());
    }

    /// Triggers heartbeats that ask all peers for an echo at once.
    pub(crate) fn request_echoes(&self) {
        self.echo_requested.store(true, Ordering::Release);
        self.wake_beats();
    }

    /// Whether the heartbeats that are sent now should ask for an echo at once.
    pub(crate) fn take_echo_request(&self) -> bool {
        self.echo_requested.swap(false, Ordering::AcqRel)
    }

    /// Triggers a read of the store.
    pub(crate) fn wake_store(&self) {
        let _ = self.store_wake.0.try_send(());
    }

    pub(crate) fn beat_wakes(&self) -> Receiver<()> {
        self.beat_wake.1.clone()
    }

    /// Waits for a trigger to read the store, at most `timeout`.
    pub(crate) fn await_store_wake(&self, timeout: Duration) {
        let _ = self.store_wake.1.recv_timeout(timeout);
    }

    /// Whether new work may start now.
    pub(crate) fn check(&self) -> Result<(), NotServing> {
        if self.is_leaving() {
            return Err(NotServing::Leaving);
        }
        let now = self.now();
        self.lease
            .lock()
            .check(now)
            .map_err(|refusal| match refusal {
                LeaseRefusal::NotListed => NotServing::Starting,
                LeaseRefusal::Lapsed => NotServing::LeaseLapsed,
                LeaseRefusal::Behind => NotServing::ConfigBehind,
            })
    }

    /// True if the message comes from an incarnation in the member list. Records from others are
    /// ignored: a replaced incarnation may be behind, and a foreign process may send anything.
    pub(crate) fn is_listed(&self, message: &InboundMessage) -> bool {
        let lease = self.lease.lock();
        lease.list().contains(&message.from, message.incarnation)
    }

    /// Applies a configuration record from the store and informs the peers.
    pub(crate) fn apply_config(&self, record: &ConfigRecord) -> Result<(), StoreError> {
        if self.holder.apply_record(self.store(), record)? {
            self.publish_config();
        }
        Ok(())
    }

    /// Passes the configuration in config to the lease and the quotas.
    pub(crate) fn publish_config(&self) {
        let config = self.holder.active_config();
        self.lease.lock().set_config(config.revision, config.hash);
        let (revision, limits) = self.holder.limits();
        self.quota.set_limits(revision, &limits);
        self.wake_beats();
    }

    /// Applies a newer member list, if this host has the configuration that it requires.
    pub(crate) fn apply_list(&self, list: &MemberList) {
        if list.config_floor() > self.holder.active_config().revision {
            return;
        }
        let mut lease = self.lease.lock();
        if list.revision() <= lease.list().revision() {
            return;
        }
        lease.set_list(list.clone());
        drop(lease);
        log_event::info(
            &event::MEMBER_LIST,
            format_args!(
                "revision={} members={}",
                list.revision(),
                list.members().len()
            ),
        );
        self.acks.lock().prune_unlisted(list);
        self.link_peers(list);
        self.quota.set_members(list, self.now());
        self.publish_members();
        self.wake_beats();
    }

    /// Updates the member information that other crates read.
    pub(crate) fn publish_members(&self) {
        let now = self.now();
        let length = self.options.settings.lease_length;
        let lease = self.lease.lock();
        let infos = lease.list().members().iter().map(|member| {
            let view = lease.peers().get(member.id.as_str());
            let view = view.filter(|view| view.incarnation == member.incarnation);
            let received_at = view.and_then(|view| view.last_beat_at);
            let is_own = member.id == self.own.as_str();
            MemberInfo {
                member: MemberId::from(member.id.as_str()),
                incarnation: member.incarnation,
                caller_address: member.caller_address.clone(),
                data_centre: member.data_centre.as_str().into(),
                reachable: is_own || received_at.is_some_and(|at| now.saturating_sub(at) < length),
                leaving: if is_own {
                    self.is_leaving()
                } else {
                    view.is_some_and(|view| view.leaving)
                },
            }
        });
        let infos: Vec<_> = infos.collect();
        if **self.members.load() != infos {
            self.members.store(Arc::new(infos));
        }
    }

    /// Incarnations in the current or the settled list that sent no heartbeat for longer than a
    /// lease and are not known to have ended.
    pub(crate) fn unresponsive_members(&self) -> Vec<Member> {
        let now = self.now();
        let length = self.options.settings.lease_length;
        let lease = self.lease.lock();
        let acks = self.acks.lock();
        let record = lease.list().record();
        let incarnations = record.members.iter().chain(&record.settled);
        let unresponsive = incarnations.filter(|member| {
            let view = lease.peers().get(member.id.as_str());
            let view = view.filter(|view| view.incarnation == member.incarnation);
            let received_at = view.and_then(|view| view.last_beat_at).unwrap_or_default();
            member.id != self.own.as_str()
                && now.saturating_sub(received_at) > length
                && !acks.has_ended(member)
        });
        unresponsive.cloned().collect()
    }

    /// Writes a record to the audit trail.
    pub(crate) fn audit(&self, record: AuditRecord) {
        if let Some(sink) = &self.options.audit {
            sink.record(record);
        }
    }

    /// This host's entry for the member list.
    pub(crate) fn own_member(&self) -> Member {
        Member {
            id: self.own.to_string(),
            incarnation: self.incarnation(),
            peer_address: self.options.node.peer_address().to_owned(),
            caller_address: self.options.caller_address.clone(),
            data_centre: self.options.settings.data_centre.to_string(),
            leaving: false,
        }
    }

    fn link_peers(&self, list: &MemberList) {
        let node = &self.options.node;
        for member in list.members() {
            let id = MemberId::from(member.id.as_str());
            if let Err(error) = node.set_peer(&id, &member.peer_address) {
                log_event::error(&event::MEMBER_UNREACHABLE, format_args!("cause={error}"));
            }
        }
        for peer in ports::PeerLink::peers(node.as_ref()) {
            if list.find(&peer).is_none() {
                node.remove_peer(&peer);
            }
        }
    }
}
