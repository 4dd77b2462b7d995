//! Log events of this crate.

model::event_catalogue! {
    HOST_LIST_UNREAD = 601, "host-list-unread", "The host list can't be read; the last list that was read stays in use.";
    OLD_BASE_KEPT = 602, "old-base-kept", "An older base of the pool map could not be removed; it only occupies space in the store.";
    HEALTH_UNREAD = 603, "health-unread", "A host did not respond to a health check.";
    HOST_CALL_FAILED = 604, "host-call-failed", "A request to drain, reboot or undrain a host failed; it is retried.";
    HOST_REBOOTED = 605, "host-rebooted", "A reboot request is sent to a host in a maintenance wave.";
    PLANNER_BEGAN = 606, "planner-began", "This entry host became the planner of outages.";
    MAINTENANCE_HALTED = 607, "maintenance-halted", "Maintenance stopped because hosts failed to return. Repair or retire them; the wave then continues automatically.";
    POOL_MAP_UNREAD = 608, "pool-map-unread", "The pool map can't be read from the store; the last map that was read stays in use, and no outage is permitted.";
    POOL_MAP_CHANGED = 609, "pool-map-changed", "The pool map changed; the event has its revision.";
    POOL_MAP_UNWRITTEN = 610, "pool-map-unwritten", "A change of the pool map was not written; it is planned again.";
    JOB_LOG_LOST = 621, "job-log-lost", "Another entry host took over the job log of this one, which had been unreachable for a while; a new log is created.";
    JOB_PAGE_UNSETTLED = 622, "job-page-unsettled", "The result of a write of jobs is unknown; the same write is repeated until its result is known.";
    JOB_PAGE_UNWRITTEN = 623, "job-page-unwritten", "The store did not accept a write of jobs; new jobs are rejected, other changes are written later.";
    JOB_PARKED = 624, "job-parked", "A job was parked for the given reason and is not retried. Correct it and submit it again.";
    JOB_INDEX_UNREAD = 625, "job-index-unread", "The index of job logs can't be read or written; it is retried.";
    JOB_LOG_TAKEN = 626, "job-log-taken", "This entry host took over the job log of an unreachable entry host.";
    WORKER_SUSPECT = 627, "worker-suspect", "A worker failed several jobs and gets no jobs for a while. Inspect it, or have the platform replace it.";
}
