//! Log events of this crate, see `docs/EVENTS.md`.

model::event_catalogue! {
    MEMBER_LIST = 300, "member-list",
        "A newer member list is in use.";
    CONFIG_IN_FORCE = 301, "config-in-force",
        "A newer configuration is in force on this host.";
    STORE_RECORD_BROKEN = 302, "store-record-broken",
        "A record can't be decoded; the host keeps its current state. Check who writes to the store.";
    CONFIG_RECORD_STALE = 303, "config-record-stale",
        "The store or a watch returned an older configuration than the one in force; it was ignored.";
    CONFIG_MANIFEST_UNREADABLE = 304, "config-manifest-unreadable",
        "This version can't parse the manifest in force and keeps the previous one. Upgrade the host.";
    CONFIG_FAULT = 305, "config-fault",
        "A configuration change does not follow from the configuration in force, or its hash is wrong. Compare the hosts' hashes.";
    MEMBER_UNREACHABLE = 306, "member-unreachable",
        "The member list has an address that can't be dialled.";
    CONFIG_DIVERGED = 307, "config-diverged",
        "Two entry hosts hold different configurations of one revision: the store or a host is corrupt.";
    PEER_TAIL_REFUSED = 308, "peer-tail-refused",
        "Changes received from another entry host could not be applied.";
    CONFIG_WATCH_FAILED = 309, "config-watch-failed",
        "The watch on the configuration failed; it is retried.";
    MEMBER_JOINED = 310, "member-joined",
        "This host joined the member list.";
    MEMBER_LEAVE_FAILED = 311, "member-leave-failed",
        "This host could not remove itself from the member list; other hosts remove it later.";
    MEMBER_ID_TAKEN = 312, "member-id-taken",
        "Another process joined with this host's id. Give each entry host a unique id.";
    MEMBER_JOIN_WAITS = 313, "member-join-waits",
        "This host can't join the member list yet; it retries.";
    MEMBER_LIFE_BEGAN = 314, "member-life-began",
        "This host was removed from the member list and joins it again with a new incarnation.";
    MEMBER_REMOVED = 316, "member-removed",
        "A member that left or was lost was removed from the list.";
    MEMBER_GONE = 319, "member-gone",
        "An unresponsive member refuses connections at its address: its process ended, and quorums no longer count it.";
    STORE_BACK = 317, "store-back",
        "The store answers again.";
    STORE_FAILING = 318, "store-failing",
        "The store does not answer or refuses calls; the host goes on serving while it hears from a quorum of members.";
    QUOTA_CALL_FAILED = 320, "quota-call-failed",
        "A store call for a team's quota record failed; it is retried if still needed.";
    MEMBER_DUTY_FAILED = 321, "member-duty-failed",
        "A thread of the member service panicked. Restart the process and report it.";
    CHANGE_OUTCOME_UNKNOWN = 330, "change-outcome-unknown",
        "The store did not answer the write of a change; a read will show whether it took effect.";
    CHANGE_OUTCOME_UNREAD = 331, "change-outcome-unread",
        "The read that shows the outcome of a change failed; it is retried.";
    CONFIG_BASE_KEPT = 332, "config-base-kept",
        "An old base of the configuration could not be removed; a later change removes it.";
}
