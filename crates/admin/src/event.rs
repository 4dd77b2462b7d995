//! Events of this crate, see `docs/EVENTS.md`.

model::event_catalogue! {
    ADMIN_STARTED = 800, "admin-started", "The administration interface listens on the address in the line.";
    CHANGE_ACCEPTED = 801, "change-accepted", "An operator's change is in force; carries the revision, the change id and the author.";
    CHANGE_REFUSED = 802, "change-refused", "An operator's change was refused or is not accepted yet; the operator saw the same reason.";
    ADMIN_KEY_REFUSED = 803, "admin-key-refused", "A call came without a granted administration key. Many of them from one peer: look who probes.";
    BOOTSTRAP_KEY_USED = 804, "bootstrap-key-used", "The bootstrap key of the settings was used because no administration key is granted. Grant one.";
    AUDIT_WRITTEN = 810, "audit-written", "Entries were appended to the audit trail.";
    AUDIT_DELAYED = 811, "audit-delayed", "The audit trail can't be written now; entries wait and are written once the store answers.";
    AUDIT_DROPPED = 812, "audit-dropped", "More notes came than could wait for the store; their number goes into the trail.";
    AUDIT_GAP = 813, "audit-gap", "Changes left the change log before they were audited; the trail says which revisions.";
    AUDIT_PAGE_FOREIGN = 814, "audit-page-foreign", "A sealed page of the audit trail differs from what was written. Run `lacewingshore audit`: someone edited the trail.";
}
