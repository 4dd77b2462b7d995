use std::time::Duration;

use wire::state::QuotaGrant;

/// A guard that a test takes away, to show that its checker notices. Sources use `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaMutation {
    /// Every guard is in place.
    #[default]
    None,
    /// A giver goes on using the units that it released.
    RaiseBeforeLower,
    /// Units of a host that left the list are free at once.
    ReclaimAtOnce,
    /// A host counts as gone if any list lacks it, one older than its grant included.
    TrustOldList,
    /// Long work is started under a grant for short work.
    StartLong,
    /// Released units are taken whatever version of the record they were released at.
    IgnoreVersion,
    /// A raise counts while its write has no answer yet.
    TrustUnanswered,
    /// Work starts under the old grants after the limit was lowered.
    IgnoreLowered,
}

/// How grants are moved.
#[derive(Clone, Copy, Debug)]
pub struct QuotaOptions {
    /// How long a host that left the list may still believe in its serving lease.
    pub lease_length: Duration,
    /// Added to it for the rates of two clocks.
    pub guard: Duration,
    /// The longest that work may run which a host started.
    pub max_deadline: Duration,
    /// Work up to this long counts as short: units of an ended host that started no other are free
    /// again the sooner. Without effect if it is not below `max_deadline`.
    pub short_deadline: Duration,
    /// Distance of questions for the same team; it doubles while they bring nothing.
    pub ask_interval: Duration,
    /// The longest such distance.
    pub ask_interval_max: Duration,
    /// How long answers to a question are collected before the record is written.
    pub collect: Duration,
    /// Writes a second that this host may do over time.
    pub writes_per_second: u32,
    /// Writes that it may do at once.
    pub write_burst: u32,
    /// Teams a second that this host may ask about over time.
    pub asks_per_second: u32,
    /// Teams that it may ask about at once.
    pub ask_burst: u32,
    /// Distance of the messages that tell the others of ended incarnations; the next one makes up
    /// for one that was lost.
    pub end_report_interval: Duration,
    /// Which guard a test takes away.
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
    /// How long after it left the list a host's units stay taken under which any work was started.
    #[must_use]
    pub fn reclaim_after(&self) -> Duration {
        self.free_after(self.max_deadline)
    }

    /// How long after it left the list a host's units of one grant stay taken.
    pub(super) fn reclaim_grant_after(&self, grant: &QuotaGrant) -> Duration {
        self.free_after(match grant.longest_ms {
            0 => self.max_deadline,
            longest => Duration::from_millis(longest),
        })
    }

    fn free_after(&self, longest: Duration) -> Duration {
        if self.mutation == QuotaMutation::ReclaimAtOnce {
            return Duration::ZERO;
        }
        self.lease_length + self.guard + longest
    }

    /// What a grant says under which only short work is started; 0 if there is no such grant.
    pub(super) fn short_deadline_ms(&self) -> u64 {
        if self.short_deadline >= self.max_deadline {
            return 0;
        }
        u64::try_from(self.short_deadline.as_millis()).unwrap_or_default()
    }
}
