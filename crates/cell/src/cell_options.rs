use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use decide::work::SchedulerTuning;
use model::MemberId;

use crate::host_limits::HostLimits;

/// Identity, addresses, timeouts and limits of one process of a cell.
#[derive(Clone, Debug)]
pub struct CellOptions {
    /// Name of the process, unique in its cell.
    pub member: MemberId,
    /// Address on which it serves other processes of the cell.
    pub peer_address: SocketAddr,
    /// Address on which it serves its metrics.
    pub metrics_address: SocketAddr,
    /// Prefix of the cell's own keys in the store; it ends with a slash.
    pub key_prefix: CompactString,
    /// How often the lease on the ownership is renewed; three renewals may fail before it expires.
    pub renew_interval: Duration,
    /// How long a watch waits for changes. A dead connection is noticed after this time plus
    /// `watch_margin`. The sum has to be less than the time in which a stable process has to apply
    /// a change of the policy.
    pub watch_timeout: Duration,
    /// How much longer than its timeout a watch may take.
    pub watch_margin: Duration,
    /// Longest time between two writes of the job log while nobody waits for one. A longer time
    /// saves calls to the store, each of which has a cost, but ends of tasks are acknowledged only
    /// after it.
    pub max_record_delay: Duration,
    /// How long a caller waits for an owner before it is told to retry later. Beyond a short time
    /// an early answer is more useful to the caller.
    pub owner_timeout: Duration,
    /// After which time a refused caller may retry. An election, including the expiry of the old
    /// lease, takes about as long.
    pub retry_after: Duration,
    /// Time in which orders of two owners to one host count as a conflict. A new owner sends no
    /// order to a host for that long after an order of its predecessor.
    pub host_order_pause: Duration,
    /// How long a shutdown waits until callers use other processes.
    pub drain_period: Duration,
    /// Longest time for a shutdown; the platform kills the process a little later.
    pub stop_timeout: Duration,
    /// What this process may use of its host; strong processes campaign first.
    pub limits: HostLimits,
    /// Settings of the scheduler.
    pub scheduler: SchedulerTuning,
}

impl CellOptions {
    /// Options with the given name and addresses, and defaults for all else.
    pub fn new(member: MemberId, peer_address: SocketAddr, metrics_address: SocketAddr) -> Self {
        Self {
            member,
            peer_address,
            metrics_address,
            key_prefix: "cell/".into(),
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
            scheduler: SchedulerTuning::default(),
        }
    }

    /// Key of the owner's entry.
    pub fn owner_key(&self) -> CompactString {
        compact_str::format_compact!("{}owner", self.key_prefix)
    }

    /// Prefix of the entries of the processes.
    pub fn member_prefix(&self) -> CompactString {
        compact_str::format_compact!("{}member/", self.key_prefix)
    }

    /// Prefix of the stored cancellations, which the owner moves into its log.
    pub fn cancellation_prefix(&self) -> CompactString {
        compact_str::format_compact!("{}cancel/", self.key_prefix)
    }

    /// Key of the stored cancellation of a job.
    pub fn cancellation_key(&self, job: &str) -> CompactString {
        compact_str::format_compact!("{}{job}", self.cancellation_prefix())
    }

    /// Prefix of the pages of the job log.
    pub fn log_prefix(&self) -> CompactString {
        compact_str::format_compact!("{}log/", self.key_prefix)
    }
}
