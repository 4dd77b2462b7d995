use std::time::Duration;

use compact_str::CompactString;

/// A team: the callers that share one set of keys, one share and one upper limit.
pub type TeamId = CompactString;
/// A pool of hosts.
pub type PoolId = CompactString;
/// A service that callers submit requests to.
pub type ServiceId = CompactString;
/// A workspace: the place within a team that a job is accounted to.
pub type WorkspaceId = CompactString;
/// A target host, as the platform's host list names it.
pub type HostId = CompactString;
/// An entry host of this system.
pub type MemberId = CompactString;
/// A data centre.
pub type DataCentreId = CompactString;
/// A rack, unique across data centres.
pub type RackId = CompactString;
/// The public part of a key.
pub type KeyId = CompactString;
/// A request, as its caller and its entry hosts name it.
pub type RequestId = CompactString;
/// A job that was accepted durably.
pub type JobId = CompactString;
/// A change of configuration; chosen by the operator's tool, so that repeating it is idempotent.
pub type ChangeId = CompactString;
/// Count of accepted changes; it only grows.
pub type Revision = u64;
/// Tells two lives of one member id apart; a newer life has the larger number.
pub type Incarnation = u64;
/// How much work a host can carry, in thousandths of what is ample.
pub type HostStrength = u32;
/// Time since the machine booted, suspended time included.
pub type BootTime = Duration;
