use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crossbeam_channel::{Receiver, Sender, bounded};
use decide::{
    member::MemberList,
    quota::{QuotaMachine, QuotaOptions, TeamLimit},
};
use model::{BootTime, Incarnation, MemberId, Revision, ServeSettings, TeamId};
use parking_lot::Mutex;
use ports::{ActiveConfig, QuotaPermit, TeamStatus};

/// Hands out units of the team limits that are granted to this host.
pub(crate) struct LocalQuota {
    machine: Arc<Mutex<QuotaMachine>>,
    wake: (Sender<()>, Receiver<()>),
}

impl LocalQuota {
    pub(crate) fn new(settings: &ServeSettings, own: MemberId, incarnation: Incarnation) -> Self {
        let options = QuotaOptions {
            lease_length: settings.lease_length,
            max_deadline: settings.max_deadline,
            ..QuotaOptions::default()
        };
        let machine = QuotaMachine::new(options, own, incarnation);
        Self {
            machine: Arc::new(Mutex::new(machine)),
            wake: bounded(1),
        }
    }

    pub(crate) fn machine(&self) -> &Mutex<QuotaMachine> {
        &self.machine
    }

    pub(crate) fn begin_incarnation(&self, incarnation: Incarnation) {
        self.machine.lock().begin_incarnation(incarnation);
    }

    pub(crate) fn set_members(&self, list: &MemberList, now: BootTime) {
        self.machine.lock().set_members(list, now);
    }

    pub(crate) fn set_limits(&self, revision: Revision, limits: &BTreeMap<TeamId, TeamLimit>) {
        self.machine.lock().set_limits(revision, limits);
        self.wake();
    }

    pub(crate) fn try_take_for(&self, team: &TeamId, length: Duration) -> Option<QuotaPermit> {
        let mut locked = self.machine.lock();
        if !locked.try_take_for(team, length) {
            drop(locked);
            self.wake();
            return None;
        }
        let is_long = locked.is_long_work(length);
        let (machine, team) = (self.machine.clone(), team.clone());
        Some(QuotaPermit::new(move || match is_long {
            true => machine.lock().give_back_long(&team),
            false => machine.lock().give_back(&team),
        }))
    }

    pub(crate) fn set_waiting(&self, team: &TeamId, waiting: u32) {
        self.machine.lock().set_waiting(team, waiting);
        if waiting > 0 {
            self.wake();
        }
    }

    /// Status of the teams of `config` for operators.
    pub(crate) fn status(&self, config: &ActiveConfig) -> Vec<TeamStatus> {
        let machine = self.machine.lock();
        let teams = config.manifest.teams.iter().map(|(team, spec)| {
            let (running, granted) = machine.usage(team);
            TeamStatus {
                team: team.clone(),
                share: spec.share,
                limit: spec.limit,
                granted,
                running,
            }
        });
        teams.collect()
    }

    /// Wakes the receiver of [`LocalQuota::wakes`].
    pub(crate) fn wake(&self) {
        let _ = self.wake.0.try_send(());
    }

    pub(crate) fn wakes(&self) -> Receiver<()> {
        self.wake.1.clone()
    }
}
