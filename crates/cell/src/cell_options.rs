use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use decide::work::DeskTuning;
use model::MemberId;

use crate::host_limits::HostLimits;

/// What one process of a cell is told of its surroundings, and the times that it works with.
#[derive(Clone, Debug)]
pub struct CellOptions {
    /// Its name, unique among the processes of the system.
    pub member: MemberId,
    /// Where it answers other processes of the system.
    pub peer_address: SocketAddr,
    /// Where it serves its metrics.
    pub metrics_address: SocketAddr,
    /// Prefix of the system's own keys in the store; it ends with a slash.
    pub key_prefix: CompactString,
    /// Length of the lease on the ownership. A killed owner is succeeded after this time, and
    /// a store that answers sixty times as slowly as usual (4 ms) still renews in time. Days with
    /// lost owners were worth 0.01 less with a lease of 1.5 s; the platform allows no less than 1 s.
    pub owner_lease: Duration,
    /// How often the lease is renewed; three renewals may fail before it lapses.
    pub renew_interval: Duration,
    /// How long a watch waits for changes. A connection that went silent is noticed this
    /// time and `watch_margin` later, which has to be below the time that a stable process has
    /// to put a change of the terms in force.
    pub watch_timeout: Duration,
    /// What a watch may take beyond its patience.
    pub watch_margin: Duration,
    /// Longest time between two writes of the job log while nobody waits for one. Longer saves
    /// calls to the store, of which each is paid for; ends are only observed after it.
    pub max_record_delay: Duration,
    /// How long a caller is kept waiting before it is told to come back while nobody owns the
    /// cell. Beyond a short time it serves the caller better to know.
    pub owner_timeout: Duration,
    /// When a caller that was refused may come back: an election with its lapse takes about
    /// as long.
    pub retry_after: Duration,
    /// Time in which the orders of two owners to one host count as a conflict; a new owner leaves
    /// a host alone for that long after an order of its predecessor.
    pub host_order_pause: Duration,
    /// How long a shutdown waits until callers have been led elsewhere.
    pub drain_period: Duration,
    /// Longest time for a shutdown; the platform kills the process a little later.
    pub stop_timeout: Duration,
    /// What this process may use; strong processes stand for election first.
    pub limits: HostLimits,
    /// What the owner decides with.
    pub scheduler: DeskTuning,
}

impl CellOptions {
    /// Options with the times of the code and the given names and addresses.
    pub fn new(member: MemberId, peer_address: SocketAddr, metrics_address: SocketAddr) -> Self {
        Self {
            member,
            peer_address,
            metrics_address,
            key_prefix: "cell/".into(),
            owner_lease: Duration::from_millis(1100),
            renew_interval: Duration::from_millis(280),
            watch_timeout: Duration::from_millis(1500),
            watch_margin: Duration::from_millis(500),
            max_record_delay: Duration::from_millis(80),
            owner_timeout: Duration::from_millis(150),
            retry_after: Duration::from_secs(1),
            host_order_pause: Duration::from_secs(3),
            drain_period: Duration::from_millis(2200),
            stop_timeout: Duration::from_millis(5200),
            limits: HostLimits::default(),
            scheduler: DeskTuning::default(),
        }
    }

    /// Key of the ownership.
    pub fn owner_key(&self) -> CompactString {
        compact_str::format_compact!("{}owner", self.key_prefix)
    }

    /// Prefix of the entries of the processes.
    pub fn member_prefix(&self) -> CompactString {
        compact_str::format_compact!("{}member/", self.key_prefix)
    }

    /// Prefix of the cancellations that are kept for the owner to record.
    pub fn cancellation_prefix(&self) -> CompactString {
        compact_str::format_compact!("{}cancel/", self.key_prefix)
    }

    /// Key of the cancellation of a job that is kept.
    pub fn cancellation_key(&self, job: &str) -> CompactString {
        compact_str::format_compact!("{}{job}", self.cancellation_prefix())
    }

    /// Prefix of the pages of the job log.
    pub fn log_prefix(&self) -> CompactString {
        compact_str::format_compact!("{}log/", self.key_prefix)
    }
}
