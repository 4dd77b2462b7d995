use std::time::Duration;

/// Bounds of the caller port and of the dispatch that settings do not name.
///
/// The defaults fit the sizes of today; `docs/design/03-callers.md` says why.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryTuning {
    /// Most connections from one source address, in percent of all. Generous, because
    /// many callers may stand behind one address, such as a balancer's, and still below
    /// the total, so that one can't take all.
    pub address_percent: usize,
    /// Longest wait for a whole request head, idle time between requests included.
    pub head_timeout: Duration,
    /// Longest time from the request head to the end of the body.
    pub body_timeout: Duration,
    /// Time within which a caller must take `write_floor` bytes of its answer.
    pub write_window: Duration,
    /// Fewest bytes of an answer that a caller must take within `write_window`.
    pub min_write_bytes: usize,
    /// Most bytes of request bodies held at once; one team gets three quarters at most.
    pub body_memory: usize,
    /// Most bytes of answers held at once; one team gets three quarters at most.
    pub answer_memory: usize,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Most requests in flight to targets.
    pub max_dispatch: usize,
    /// Longest wait for a connection to a target. A lost packet of the connect is sent again
    /// after a second only, so waiting longer gains nothing over another target.
    pub connect_timeout: Duration,
    /// Retries that a pool may have, in percent of its first attempts.
    pub retry_percent: u32,
    /// Retries that a pool may save up.
    pub retry_burst: u32,
    /// Longest wait for the home of a request id.
    pub claim_timeout: Duration,
    /// Most minted request ids that wait for their use.
    pub open_ids: usize,
    /// Threads that hand jobs to the store.
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
