use std::{collections::BTreeMap, sync::Arc};

use decide::member::MemberList;
use model::{Incarnation, MemberId, TeamId, event as log_event};
use parking_lot::Mutex;
use ports::{ForceConfig, QuotaPermit, TeamStatus};

use crate::event;

/// Units of team limits that this host may use. For now each member may use an equal part.
pub(crate) struct QuotaBook {
    own: MemberId,
    teams: Arc<Mutex<BTreeMap<TeamId, TeamStatus>>>,
    members: Mutex<usize>,
}

impl QuotaBook {
    pub(crate) fn new(own: MemberId) -> Self {
        Self {
            own,
            teams: Arc::default(),
            members: Mutex::new(0),
        }
    }

    pub(crate) fn begin_life(&self, _incarnation: Incarnation) {
        log_event::debug(
            &event::QUOTA_LIFE_BEGAN,
            format_args!("member={}", self.own),
        );
    }

    pub(crate) fn set_members(&self, list: &MemberList) {
        *self.members.lock() = list.members().len();
        self.split();
    }

    pub(crate) fn set_limits(&self, force: &ForceConfig) {
        let mut teams = self.teams.lock();
        teams.retain(|team, _| force.manifest.teams.contains_key(team));
        for (team, spec) in &force.manifest.teams {
            let status = teams.entry(team.clone()).or_default();
            status.team = team.clone();
            status.share = spec.share;
            status.limit = spec.limit;
        }
        drop(teams);
        self.split();
    }

    pub(crate) fn try_take(&self, team: &TeamId) -> Option<QuotaPermit> {
        let mut teams = self.teams.lock();
        let status = teams.get_mut(team)?;
        if status.running >= status.granted {
            return None;
        }
        status.running += 1;
        let (teams, team) = (self.teams.clone(), team.clone());
        Some(QuotaPermit::new(move || {
            if let Some(status) = teams.lock().get_mut(&team) {
                status.running = status.running.saturating_sub(1);
            }
        }))
    }

    pub(crate) fn note_waiting(&self, _team: &TeamId, _waiting: u32) {}

    pub(crate) fn status(&self) -> Vec<TeamStatus> {
        self.teams.lock().values().cloned().collect()
    }

    fn split(&self) {
        let members = u32::try_from(*self.members.lock()).unwrap_or(u32::MAX);
        for status in self.teams.lock().values_mut() {
            status.granted = status.limit.checked_div(members).unwrap_or_default();
        }
    }
}
