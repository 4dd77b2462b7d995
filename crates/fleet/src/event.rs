//! Log events of this crate.

model::event_catalogue! {
    HOST_LIST_UNREAD = 601, "host-list-unread", "The host list can't be read; the last one read stays the best known.";
    OLD_BASE_KEPT = 602, "old-base-kept", "An older base of the pool map could not be removed; it only takes up room in the store.";
    HEALTH_UNREAD = 603, "health-unread", "A host did not answer the question for its health.";
    HOST_CALL_FAILED = 604, "host-call-failed", "A host did not follow a call to drain, reboot or return; the call is repeated.";
    HOST_REBOOTED = 605, "host-rebooted", "A host was told to reboot in a maintenance wave.";
    PLANNER_BEGAN = 606, "planner-began", "This entry host plans outages from now on.";
    MAINTENANCE_HALTED = 607, "maintenance-halted", "Maintenance stopped because hosts failed to return. Mend them or retire them; the wave goes on by itself then.";
    POOL_MAP_UNREAD = 608, "pool-map-unread", "The pool map can't be read from the store; the last one read is used, and no outage is permitted.";
    POOL_MAP_CHANGED = 609, "pool-map-changed", "The pool map changed; carries its revision.";
    POOL_MAP_UNWRITTEN = 610, "pool-map-unwritten", "A change of the pool map was not written; it is decided anew.";
    JOB_LOG_LOST = 621, "job-log-lost", "Another entry host took this one's job log over, because it was not heard for a while; a new log is begun.";
    JOB_PAGE_UNSETTLED = 622, "job-page-unsettled", "The store did not answer a write of jobs; the same write is repeated until it is settled.";
    JOB_PAGE_UNWRITTEN = 623, "job-page-unwritten", "The store took no write of jobs; new jobs are refused, other changes are written later.";
    JOB_PARKED = 624, "job-parked", "A job was set aside for the reason given; it is not tried again. Correct it and submit it anew.";
    JOB_INDEX_UNREAD = 625, "job-index-unread", "The index of job logs can't be read or written; it is tried again.";
    JOB_LOG_TAKEN = 626, "job-log-taken", "The jobs of an entry host that is gone are held here from now on.";
    WORKER_SUSPECT = 627, "worker-suspect", "A worker fails whatever it runs and gets no jobs for a while. Look at it, or have the platform replace it.";
}
