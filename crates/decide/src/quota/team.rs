use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, Incarnation, MemberId, Revision};
use wire::{peer::QuotaAsk, state::QuotaRecord};

use super::{
    QuotaMutation, TeamLimit,
    grant_record::{max_run_ms, units_of},
};

/// How long a peak of need is remembered, at least: a giver keeps what it used just now, so
/// that units don't go to and fro with every gap between requests.
const PEAK_WINDOW: Duration = Duration::from_millis(200);

/// How long a host's question is remembered that could not be met at once.
const PENDING_ASK_TTL: Duration = Duration::from_secs(4);

/// A question of another host that could not be met in full.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingAsk {
    /// Who asked.
    pub from: MemberId,
    /// What it asked.
    pub ask: QuotaAsk,
    /// When it asked.
    pub at: BootTime,
}

/// Units promised to another host and no longer used here.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UnitRelease {
    /// Who asked for them.
    pub to: MemberId,
    /// Version of the record at which they may be taken.
    pub version: Revision,
    /// How many.
    pub units: u32,
    /// True once the promise was sent: from then on they may be taken.
    pub sent: bool,
    /// When they were put aside.
    pub since: BootTime,
}

/// A write of this host whose outcome is not known.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingWrite {
    /// Version that it expects.
    pub expect: Revision,
    /// What it writes.
    pub record: QuotaRecord,
    /// True while the store works on it; false after its answer was lost.
    pub in_flight: bool,
}

/// What one host knows and uses of one team's limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamQuota {
    /// Limit of the configuration in force here; 0 for an unknown team.
    pub limit: TeamLimit,
    /// Revision of that configuration.
    pub config_revision: Revision,
    /// True once the record was read, or known to be absent.
    pub record_known: bool,
    /// Version of the record; 0 if it is absent.
    pub version: Revision,
    /// The record.
    pub record: QuotaRecord,
    /// Units in use.
    pub running: u32,
    /// Starts that wait.
    pub waiting: u32,
    /// True if a start was refused since the last round; it counts as one that waits.
    pub start_refused: bool,
    /// True if short work has been started in this incarnation of the host.
    pub short_started: bool,
    /// Units in use by long work.
    pub long_running: u32,
    /// True if long work waits for a grant that allows it.
    pub long_waits: bool,
    /// When long work last ran or waited here, as the rounds saw it.
    pub long_seen: Option<BootTime>,
    /// Units put aside for another host.
    pub release: Option<UnitRelease>,
    /// The last question that could not be met; units that fall free go there unasked.
    pub pending_ask: Option<PendingAsk>,
    /// What other hosts put aside for this one, by member; zero says that there is nothing.
    pub offers: BTreeMap<MemberId, (Incarnation, Revision, u32)>,
    /// The write whose outcome is not known.
    pub pending_write: Option<PendingWrite>,
    /// When the other hosts were asked last.
    pub asked_at: Option<BootTime>,
    /// How many were asked then.
    pub asked_count: usize,
    /// Distance of the next question.
    pub ask_interval: Duration,
    /// True if the record must be read again.
    pub read_due: bool,
    /// When it was read last.
    pub read_at: Option<BootTime>,
    /// Before this time nothing is written.
    pub write_after: BootTime,
    peaks: [u32; 2],
    peak_at: BootTime,
}

impl TeamQuota {
    /// Units that this incarnation holds in the record.
    pub(crate) fn granted(&self, own: &str, incarnation: Incarnation) -> u32 {
        units_of(&self.record, own, incarnation)
    }

    /// Units that may be in use here now.
    ///
    /// It is never more than the store's record gives, and less as soon as this host wants
    /// to lower its grant: what it lowers may be used elsewhere from the moment that its
    /// write or its promise is out, whether or not an answer comes back.
    pub(crate) fn ceiling(
        &self,
        own: &str,
        incarnation: Incarnation,
        mutation: QuotaMutation,
    ) -> u32 {
        if self.limit.limit == 0 || !self.record_known {
            return 0;
        }
        if self.record_lags_limit() && mutation != QuotaMutation::IgnoreLowered {
            return 0;
        }
        let mut ceiling = self.granted(own, incarnation);
        let aside = self.release.as_ref().map_or(0, |release| release.units);
        if mutation != QuotaMutation::RaiseBeforeLower {
            ceiling = ceiling.saturating_sub(aside);
        }
        let Some(write) = &self.pending_write else {
            return ceiling;
        };
        let written = units_of(&write.record, own, incarnation);
        if mutation == QuotaMutation::TrustUnanswered {
            return written;
        }
        ceiling.min(written)
    }

    /// Whether long work may be started: by the grant that the store holds, and by the one that this
    /// host wants to write, which others may see before its answer is back.
    pub(crate) fn allows_long(&self, own: &str, incarnation: Incarnation) -> bool {
        let long = |record: &QuotaRecord| max_run_ms(record, own, incarnation) == Some(0);
        long(&self.record)
            && self
                .pending_write
                .as_ref()
                .is_none_or(|write| long(&write.record))
    }

    /// Notes at `now` whether long work runs or waits.
    pub(crate) fn update_long_seen(&mut self, now: BootTime) {
        if self.long_waits || self.long_running > 0 {
            self.long_seen = Some(now);
        }
    }

    /// True if work was started here and all of it has been short for so long. Where long and short
    /// work alternate, a change of the grant with each would use up the writes of all teams.
    pub(crate) fn is_short(&self, now: BootTime, span: Duration) -> bool {
        let recent = |seen| now.saturating_sub(seen) < span;
        self.short_started && !self.long_seen.is_some_and(recent)
    }

    /// True while the record does not follow the limit in force.
    ///
    /// Nobody starts work then. The grants may be those of a higher limit, and two hosts
    /// would each use what the other must still give up. Or a higher limit was in force for
    /// a moment in between: the record that follows the newest one fences off writes that
    /// still go by the one before.
    pub(crate) fn record_lags_limit(&self) -> bool {
        self.record.config_revision < self.limit.since
    }

    /// Units that running and waiting work would use.
    pub(crate) fn need(&self) -> u32 {
        self.running
            .saturating_add(self.waiting.max(u32::from(self.start_refused)))
    }

    /// The largest need of the last second or two.
    pub(crate) fn peak(&self) -> u32 {
        self.peaks[0].max(self.peaks[1]).max(self.need())
    }

    /// Notes the need at `now` for [`TeamQuota::peak`].
    pub(crate) fn update_peak(&mut self, now: BootTime) {
        if now.saturating_sub(self.peak_at) >= PEAK_WINDOW {
            self.peaks = [self.need(), self.peaks[0]];
            self.peak_at = now;
        }
        self.peaks[0] = self.peaks[0].max(self.need());
    }

    /// True if a round has nothing to do for the team.
    pub(crate) fn is_idle(&self) -> bool {
        let holds_nothing = self.release.is_none() && self.pending_write.is_none();
        let is_asked = self.read_due
            || self.pending_ask.is_some()
            || self.record_known && self.record_lags_limit();
        self.peak() == 0 && holds_nothing && !is_asked
    }

    /// Forgets a wish that is no longer of interest.
    pub(crate) fn drop_stale_ask(&mut self, now: BootTime) {
        if self.current_ask(now).is_none() {
            self.pending_ask = None;
        }
    }

    /// The wish to look at again at `now`, if it is still of interest.
    pub(crate) fn current_ask(&self, now: BootTime) -> Option<&PendingAsk> {
        let wish = self.pending_ask.as_ref()?;
        let is_fresh = now.saturating_sub(wish.at) < PENDING_ASK_TTL;
        (is_fresh && wish.ask.version == self.version).then_some(wish)
    }

    /// Takes the record that the store holds at `version`; false if it is not newer.
    ///
    /// A newer version settles what was open at older ones: a write that expected the older
    /// version is either in it or can't happen any more, and so it is with a release.
    pub(crate) fn apply_record(&mut self, version: Revision, record: QuotaRecord) -> bool {
        if self.record_known && version <= self.version {
            return false;
        }
        self.record_known = true;
        self.version = version;
        self.record = record;
        self.offers.retain(|_, (_, at, _)| *at >= version);
        self.asked_at = None;
        if self.release.as_ref().is_some_and(|r| r.version < version) {
            self.release = None;
        }
        let settled = |write: &PendingWrite| !write.in_flight && write.expect < version;
        if self.pending_write.as_ref().is_some_and(settled) {
            self.pending_write = None;
        }
        true
    }
}
