//! Messages between entry hosts that move units.

use model::{BootTime, Incarnation, MemberId, TeamId};
use prost::Message as _;
use wire::{
    peer::{QuotaAsk, QuotaNote, QuotaRelease},
    state::QuotaRecord,
};

use super::{
    QuotaAction, QuotaMachine, QuotaMutation,
    team::{PendingAsk, TeamQuota, UnitRelease},
};

impl QuotaMachine {
    /// Applies a record that another host sent.
    pub fn handle_record(&mut self, note: &QuotaNote, now: BootTime) {
        let team = TeamId::from(note.team.as_str());
        let Ok(record) = QuotaRecord::decode(note.record.as_slice()) else {
            return;
        };
        if let Some(quota) = self.teams.get_mut(&team) {
            quota.apply_record(note.version, record);
            self.mark_ended(now);
        }
    }

    /// Stores the offer of units that another host released to this one.
    pub fn handle_release(
        &mut self,
        from: &MemberId,
        incarnation: Incarnation,
        release: &QuotaRelease,
    ) {
        let mutation = self.options.mutation;
        let Some(quota) = self.teams.get_mut(release.team.as_str()) else {
            return;
        };
        if release.version == quota.version || mutation == QuotaMutation::IgnoreVersion {
            let offer = (incarnation, release.version, release.units);
            quota.offers.insert(from.clone(), offer);
        } else if release.version > quota.version {
            quota.read_due = true;
        }
    }

    /// Answers another host's request for units.
    pub fn handle_ask(
        &mut self,
        from: &MemberId,
        ask: &QuotaAsk,
        now: BootTime,
    ) -> Vec<QuotaAction> {
        let (own, incarnation, mutation) =
            (self.own.clone(), self.incarnation, self.options.mutation);
        let Some(quota) = self.teams.get_mut(ask.team.as_str()) else {
            return Vec::new();
        };
        if !quota.record_known || quota.version < ask.version {
            quota.read_due = true;
            return Vec::new();
        }
        if quota.version > ask.version {
            return vec![QuotaAction::SendRecord(
                from.clone(),
                record_update(&ask.team, quota),
            )];
        }
        quota.update_peak(now);
        let ceiling = quota.ceiling(&own, incarnation, mutation);
        reserve_units(quota, ceiling, from, ask, now);
        if let Some(release) = quota.release.as_mut().filter(|r| r.to == *from) {
            // Asked again: the release was lost, or the asking host no longer knows it. Send it
            // again.
            release.sent = false;
        }
        if let Some(action) = send_release(quota, &ask.team, &own, incarnation) {
            return vec![action];
        }
        quota.pending_ask = Some(PendingAsk {
            from: from.clone(),
            ask: ask.clone(),
            at: now,
        });
        let nothing = QuotaRelease {
            team: ask.team.clone(),
            version: quota.version,
            units: 0,
        };
        vec![QuotaAction::Release(from.clone(), nothing)]
    }
}

/// Units that this host can give away: those above its recent peak or, if both hosts need more,
/// those above its proportional part.
fn units_to_give(quota: &TeamQuota, ceiling: u32, ask: &QuotaAsk) -> u32 {
    let unused = ceiling.saturating_sub(quota.peak());
    if unused > 0 {
        return unused.min(ask.units);
    }
    let both = u64::from(ceiling) + u64::from(ask.ceiling);
    let needs = u64::from(quota.need()) + u64::from(ask.need);
    let part = (both * u64::from(quota.need())).div_ceil(needs.max(1));
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let excess = ceiling.saturating_sub(part);
    if excess <= part / 4 {
        return 0;
    }
    excess.min(ask.units)
}

/// Reserves units for `to` if any can be spared. They are not used here from now on.
pub(super) fn reserve_units(
    quota: &mut TeamQuota,
    ceiling: u32,
    to: &MemberId,
    ask: &QuotaAsk,
    now: BootTime,
) {
    if quota.release.is_some() || quota.pending_write.is_some() || quota.record_lags_limit() {
        return;
    }
    let units = units_to_give(quota, ceiling, ask);
    if units == 0 {
        return;
    }
    quota.pending_ask = None;
    quota.release = Some(UnitRelease {
        to: to.clone(),
        version: quota.version,
        units,
        sent: false,
        since: now,
    });
}

/// Sends the reserved units once the running work fits into the remaining ones.
pub(super) fn send_release(
    quota: &mut TeamQuota,
    team: &str,
    own: &str,
    incarnation: Incarnation,
) -> Option<QuotaAction> {
    let granted = quota.granted(own, incarnation);
    let running = quota.running;
    let release = quota.release.as_mut()?;
    if release.sent || running > granted.saturating_sub(release.units) {
        return None;
    }
    release.sent = true;
    let message = QuotaRelease {
        team: team.to_owned(),
        version: release.version,
        units: release.units,
    };
    Some(QuotaAction::Release(release.to.clone(), message))
}

/// The message that carries the stored record to another host.
pub(super) fn record_update(team: &str, quota: &TeamQuota) -> QuotaNote {
    QuotaNote {
        team: team.to_owned(),
        version: quota.version,
        record: quota.record.encode_to_vec(),
    }
}
