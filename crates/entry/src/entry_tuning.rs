use std::time::Duration;

/// Limits of the caller port and of dispatch that are not part of the settings.
///
/// See `docs/design/03-callers.md` for the reasons for the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryTuning {
    /// Maximum number of connections from one source address, in percent of all
    /// connections. It is high because many callers may share one address, such as that of
    /// a load balancer, but below 100 so that one address can't take all connections.
    pub address_percent: usize,
    /// Maximum wait for a complete request head, including idle time between requests.
    pub head_timeout: Duration,
    /// Maximum time from the request head to the end of the body.
    pub body_timeout: Duration,
    /// Time within which a caller must read `min_write_bytes` of its response.
    pub write_window: Duration,
    /// Minimum number of bytes of a response that a caller must read within `write_window`.
    pub min_write_bytes: usize,
    /// Maximum memory for request bodies, in bytes; one team gets at most three quarters.
    pub body_memory: usize,
    /// Maximum memory for response bodies, in bytes; one team gets at most three quarters.
    pub answer_memory: usize,
    /// Deadline of a request that does not specify one.
    pub default_deadline: Duration,
    /// Maximum number of requests in flight to targets.
    pub max_dispatch: usize,
    /// Timeout for connecting to a target. A lost SYN packet is sent again only after one
    /// second, so a longer wait is no better than trying another target.
    pub connect_timeout: Duration,
    /// Retry budget of a pool, in percent of its first attempts.
    pub retry_percent: u32,
    /// Maximum number of unused retries that a pool can accumulate.
    pub retry_burst: u32,
    /// Maximum wait for the home of a request id to answer a claim.
    pub claim_timeout: Duration,
    /// Maximum number of minted request ids that are not used yet.
    pub open_ids: usize,
    /// Number of threads that record jobs in the store.
    pub job_threads: usize,
}

impl Default for EntryTuning {
    fn default() -> Self {
        Self {
            address_percent: 75,
            head_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_secs(10),
            write_window: Duration::from_secs(10),
            min_write_bytes: 64 * 1024,
            body_memory: 384 * 1024 * 1024,
            answer_memory: 384 * 1024 * 1024,
            default_deadline: Duration::from_secs(10),
            max_dispatch: 512,
            connect_timeout: Duration::from_millis(250),
            retry_percent: 10,
            retry_burst: 16,
            claim_timeout: Duration::from_millis(400),
            open_ids: 65_536,
            job_threads: 32,
        }
    }
}
