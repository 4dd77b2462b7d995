use std::time::Duration;

use wire::state::QuotaGrant;

/// A guard that tests disable to show that their checker notices. Production code uses `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaMutation {
    /// All guards are enabled.
    #[default]
    None,
    /// A host keeps using the units that it released.
    RaiseBeforeLower,
    /// Units of a host that left the list are free immediately.
    ReclaimAtOnce,
    /// A host counts as gone if any list lacks it, even one older than its grant.
    TrustOldList,
    /// Long work starts under a grant for short work.
    StartLong,
    /// Released units are accepted whatever version of the record they were released at.
    IgnoreVersion,
    /// A raised grant counts before its write was answered.
    TrustUnanswered,
    /// Work starts under the old grants after the limit was lowered.
    IgnoreLowered,
}

/// Times and rates of quota grants.
#[derive(Clone, Copy, Debug)]
pub struct QuotaOptions {
    /// How long a host that left the list may still hold a valid serving lease.
    pub lease_length: Duration,
    /// Margin added to `lease_length` for the drift between two clocks.
    pub guard: Duration,
    /// Longest run time of any work.
    pub max_deadline: Duration,
    /// Work up to this long counts as short. Units of an ended host that started only short work
    /// become free sooner. No effect unless it is below `max_deadline`.
    pub short_deadline: Duration,
    /// Interval between requests for units of the same team; doubles while they yield nothing.
    pub ask_interval: Duration,
    /// Upper bound of that interval.
    pub ask_interval_max: Duration,
    /// How long responses to a request are collected before the record is written.
    pub collect: Duration,
    /// Sustained rate of writes of this host, per second.
    pub writes_per_second: u32,
    /// Writes that this host may issue at once.
    pub write_burst: u32,
    /// Sustained rate of teams that this host may request units for, per second.
    pub asks_per_second: u32,
    /// Teams that it may request units for at once.
    pub ask_burst: u32,
    /// Interval between reports of ended incarnations; the next report makes up for a lost one.
    pub end_report_interval: Duration,
    /// The guard that a test disables.
    pub mutation: QuotaMutation,
}

impl Default for QuotaOptions {
    fn default() -> Self {
        Self {
            lease_length: Duration::from_secs(2),
            guard: Duration::from_millis(500),
            max_deadline: Duration::from_secs(60),
            short_deadline: Duration::from_secs(10),
            ask_interval: Duration::from_millis(100),
            ask_interval_max: Duration::from_millis(800),
            collect: Duration::from_millis(50),
            writes_per_second: 4,
            write_burst: 32,
            asks_per_second: 8,
            ask_burst: 32,
            end_report_interval: Duration::from_secs(5),
            mutation: QuotaMutation::None,
        }
    }
}

impl QuotaOptions {
    /// How long after it left the list a host's units stay reserved, if it may have started work of
    /// any length.
    #[must_use]
    pub fn reclaim_after(&self) -> Duration {
        self.reclaim_delay(self.max_deadline)
    }

    /// How long after it left the list a host's units stay reserved under this grant.
    pub(super) fn reclaim_grant_after(&self, grant: &QuotaGrant) -> Duration {
        self.reclaim_delay(match grant.longest_ms {
            0 => self.max_deadline,
            longest => Duration::from_millis(longest),
        })
    }

    fn reclaim_delay(&self, longest: Duration) -> Duration {
        if self.mutation == QuotaMutation::ReclaimAtOnce {
            return Duration::ZERO;
        }
        self.lease_length + self.guard + longest
    }

    /// Run time written into a grant under which only short work starts, in milliseconds; 0 if
    /// there is no short work.
    pub(super) fn short_deadline_ms(&self) -> u64 {
        if self.short_deadline >= self.max_deadline {
            return 0;
        }
        u64::try_from(self.short_deadline.as_millis()).unwrap_or_default()
    }
}
