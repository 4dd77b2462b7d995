use std::time::Duration;

use compact_str::CompactString;

/// Id of a team: callers with a common set of keys, one share and one upper limit.
pub type TeamId = CompactString;
/// Id of a pool of hosts.
pub type PoolId = CompactString;
/// Id of a service that callers submit requests to.
pub type ServiceId = CompactString;
/// Id of a workspace: the unit within a team that a job is accounted to.
pub type WorkspaceId = CompactString;
/// Id of a target host, as in the platform's host list.
pub type HostId = CompactString;
/// Id of an entry host of this system.
pub type MemberId = CompactString;
/// Id of a data centre.
pub type DataCentreId = CompactString;
/// Id of a rack, unique across data centres.
pub type RackId = CompactString;
/// The public part of an access key.
pub type KeyId = CompactString;
/// Id of a request, used by its caller and by the entry hosts.
pub type RequestId = CompactString;
/// Id of a durably accepted job.
pub type JobId = CompactString;
/// Id of a configuration change; the operator's tool chooses it, which makes retries idempotent.
pub type ChangeId = CompactString;
/// Number of accepted configuration changes; it only increases.
pub type Revision = u64;
/// Distinguishes successive processes with the same member id; a later one has the larger number.
pub type Incarnation = u64;
/// Capacity of a host for work, in thousandths of an amply sized host.
pub type HostStrength = u32;
/// Time since the machine booted, including time suspended.
pub type BootTime = Duration;
