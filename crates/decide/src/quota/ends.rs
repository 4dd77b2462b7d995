//! What entry hosts tell each other about incarnations that ended and still hold units.

use std::{collections::BTreeSet, time::Duration};

use model::{BootTime, MemberId};
use wire::peer::QuotaEnd;

use super::{QuotaAction, QuotaMachine};

impl QuotaMachine {
    /// Takes what another host saw: a host that starts later would count from its own start,
    /// and hosts replaced in turn would never see the units free.
    ///
    /// An age only grows on its way here, so that this host never counts from too early.
    pub fn handle_ends(&mut self, ends: &[QuotaEnd], now: BootTime) {
        for end in ends {
            let incarnation = (MemberId::from(end.member.as_str()), end.incarnation);
            let seen = now.saturating_sub(Duration::from_millis(end.ended_ms));
            let at = self.ended.entry(incarnation).or_insert(seen);
            *at = seen.min(*at);
        }
    }

    /// Tells the others, while there is a incarnation to tell of.
    pub(super) fn report_ends(&mut self, now: BootTime) -> Vec<QuotaAction> {
        let distance = self.options.end_report_interval;
        if self.ended.is_empty() || self.ends_reported_at.is_some_and(|at| now < at + distance) {
            return Vec::new();
        }
        self.ends_reported_at = Some(now);
        let ends = self.unreclaimed_ends(now);
        if ends.is_empty() {
            return Vec::new();
        }
        let members = self.list.members().iter();
        let others = members.filter(|member| member.id != self.own.as_str());
        others
            .map(|member| QuotaAction::SendEnds(member.id.as_str().into(), ends.clone()))
            .collect()
    }

    /// The ended incarnations that records known here still name.
    fn unreclaimed_ends(&self, now: BootTime) -> Vec<QuotaEnd> {
        let grants = self.teams.values().flat_map(|team| &team.record.grants);
        let incarnations: BTreeSet<_> = grants
            .map(|grant| (MemberId::from(grant.member.as_str()), grant.incarnation))
            .collect();
        let open = self
            .ended
            .iter()
            .filter(|(incarnation, _)| incarnations.contains(*incarnation));
        open.map(|((member, incarnation), at)| {
            let age = now.saturating_sub(*at).as_millis();
            QuotaEnd {
                member: member.to_string(),
                incarnation: *incarnation,
                ended_ms: u64::try_from(age).unwrap_or(u64::MAX),
            }
        })
        .collect()
    }
}
