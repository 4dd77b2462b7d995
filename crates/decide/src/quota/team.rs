use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, Incarnation, MemberId, Revision};
use wire::{peer::QuotaAsk, state::QuotaRecord};

use super::{
    QuotaMutation, TeamLimit,
    grant_record::{max_run_ms, units_of},
};

/// Minimum time for which a peak of need is remembered. A host keeps the units that it used just
/// now, so that they don't move with every gap between requests.
const PEAK_WINDOW: Duration = Duration::from_millis(200);

/// How long an unmet request of another host is remembered.
const PENDING_ASK_TTL: Duration = Duration::from_secs(4);

/// Another host's request for units that could not be met in full.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingAsk {
    /// The requesting host.
    pub from: MemberId,
    /// The request.
    pub ask: QuotaAsk,
    /// When it arrived.
    pub at: BootTime,
}

/// Units reserved for another host and no longer used here.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UnitRelease {
    /// The host that requested them.
    pub to: MemberId,
    /// Version of the record at which they may be taken.
    pub version: Revision,
    /// Number of units.
    pub units: u32,
    /// True once the release was sent: from then on the other host may take the units.
    pub sent: bool,
    /// When they were reserved.
    pub since: BootTime,
}

/// A write of this host whose outcome is unknown.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingWrite {
    /// Expected version of the key.
    pub expect: Revision,
    /// The record to write.
    pub record: QuotaRecord,
    /// True while a request is in flight; false after its response was lost.
    pub in_flight: bool,
}

/// State of one team's quota on one host.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamQuota {
    /// Limit of the active configuration; 0 for an unknown team.
    pub limit: TeamLimit,
    /// Revision of that configuration.
    pub config_revision: Revision,
    /// True once the record was read or found to be absent.
    pub record_known: bool,
    /// Version of the record; 0 if it is absent.
    pub version: Revision,
    /// The latest known record.
    pub record: QuotaRecord,
    /// Units in use.
    pub running: u32,
    /// Starts that wait for a unit.
    pub waiting: u32,
    /// True if a start was refused since the last round; counts as one waiting start.
    pub start_refused: bool,
    /// True if this incarnation of the host has started short work.
    pub short_started: bool,
    /// Units in use by long work.
    pub long_running: u32,
    /// True if long work waits for a grant that allows it.
    pub long_waits: bool,
    /// Last round in which long work ran or waited here.
    pub long_seen: Option<BootTime>,
    /// Units reserved for another host.
    pub release: Option<UnitRelease>,
    /// The last request that could not be met; units that become free are released to it.
    pub pending_ask: Option<PendingAsk>,
    /// Offers of other hosts, by member; zero units means that the host has none to give.
    pub offers: BTreeMap<MemberId, (Incarnation, Revision, u32)>,
    /// The write whose outcome is unknown.
    pub pending_write: Option<PendingWrite>,
    /// When the other hosts were last asked for units.
    pub asked_at: Option<BootTime>,
    /// How many hosts were asked then.
    pub asked_count: usize,
    /// Interval before the next request.
    pub ask_interval: Duration,
    /// True if the record must be read again.
    pub read_due: bool,
    /// When the record was last read.
    pub read_at: Option<BootTime>,
    /// No writes before this time.
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
    /// Never more than the stored record grants. It drops as soon as this host wants to lower its
    /// grant: once the write or the release is sent, the units may be used elsewhere, whether or
    /// not a response arrives.
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
        let reserved = self.release.as_ref().map_or(0, |release| release.units);
        if mutation != QuotaMutation::RaiseBeforeLower {
            ceiling = ceiling.saturating_sub(reserved);
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

    /// Whether long work may start. Both the stored grant and a pending write must allow it: other
    /// hosts may see the written grant before its response arrives.
    pub(crate) fn allows_long_work(&self, own: &str, incarnation: Incarnation) -> bool {
        let long = |record: &QuotaRecord| max_run_ms(record, own, incarnation) == Some(0);
        long(&self.record)
            && self
                .pending_write
                .as_ref()
                .is_none_or(|write| long(&write.record))
    }

    /// Records at `now` whether long work runs or waits.
    pub(crate) fn update_long_seen(&mut self, now: BootTime) {
        if self.long_waits || self.long_running > 0 {
            self.long_seen = Some(now);
        }
    }

    /// True if only short work has run here for `span`. Changing the grant each time long and short
    /// work alternate would exhaust the write rate of all teams.
    pub(crate) fn ran_only_short_work(&self, now: BootTime, span: Duration) -> bool {
        let recent = |seen| now.saturating_sub(seen) < span;
        self.short_started && !self.long_seen.is_some_and(recent)
    }

    /// True while the record does not follow the limit in force.
    ///
    /// No work starts in this state. The grants may belong to a higher limit, and two hosts could
    /// each use units that the other must still give up. Or a higher limit may have been in force
    /// for a moment in between: the record that follows the newest limit fences off writes based on
    /// the previous one.
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

    /// Updates the window of [`TeamQuota::peak`] with the need at `now`.
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

    /// Drops a pending request that is too old or of another version of the record.
    pub(crate) fn drop_stale_ask(&mut self, now: BootTime) {
        if self.current_ask(now).is_none() {
            self.pending_ask = None;
        }
    }

    /// The pending request to retry at `now`, unless it is too old or of another version.
    pub(crate) fn current_ask(&self, now: BootTime) -> Option<&PendingAsk> {
        let pending = self.pending_ask.as_ref()?;
        let is_fresh = now.saturating_sub(pending.at) < PENDING_ASK_TTL;
        (is_fresh && pending.ask.version == self.version).then_some(pending)
    }

    /// Applies the stored record at `version`; false if it is not newer.
    ///
    /// A newer version settles everything pending at older ones: a write that expected an older
    /// version is either part of it or can no longer happen. The same holds for a release.
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
