//! Messages between entry hosts about ended incarnations that still hold units.

use std::{collections::BTreeSet, time::Duration};

use model::{BootTime, MemberId};
use wire::peer::QuotaEnd;

use super::{QuotaAction, QuotaMachine};

impl QuotaMachine {
    /// Merges the end times that another host observed.
    ///
    /// Without this, a host that starts later would count from its own start, and while hosts are
    /// replaced one after the other none would ever see the units as free.
    ///
    /// An age can only grow in transit, so the time recorded here is never too early.
    pub fn handle_ends(&mut self, ends: &[QuotaEnd], now: BootTime) {
        for end in ends {
            let key = (MemberId::from(end.member.as_str()), end.incarnation);
            let seen = now.saturating_sub(Duration::from_millis(end.ended_ms));
            let at = self.ended.entry(key).or_insert(seen);
            *at = seen.min(*at);
        }
    }

    /// Reports ended incarnations to the other hosts, at most once per `end_report_interval`.
    pub(super) fn report_ends(&mut self, now: BootTime) -> Vec<QuotaAction> {
        let interval = self.options.end_report_interval;
        if self.ended.is_empty() || self.ends_reported_at.is_some_and(|at| now < at + interval) {
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

    /// Ended incarnations that still hold units in a record known here.
    fn unreclaimed_ends(&self, now: BootTime) -> Vec<QuotaEnd> {
        let grants = self.teams.values().flat_map(|team| &team.record.grants);
        let granted: BTreeSet<_> = grants
            .map(|grant| (MemberId::from(grant.member.as_str()), grant.incarnation))
            .collect();
        let unreclaimed = self.ended.iter().filter(|(key, _)| granted.contains(*key));
        unreclaimed
            .map(|((member, incarnation), at)| {
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
