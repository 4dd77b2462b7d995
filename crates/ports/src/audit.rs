/// Something that changed and that operators want to find in the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditRecord {
    /// Who caused it: an administration key, or the id of an entry host.
    pub author: String,
    /// Id of the change; repeating it does not add an entry.
    pub change_id: String,
    /// What changed, such as `member e1`, `grant members` or `host w-03`.
    pub subject: String,
    /// The difference in a short text.
    pub difference: String,
    /// Revision of the record before.
    pub revision_before: u64,
    /// Revision of the record after.
    pub revision_after: u64,
}

/// Takes notes for the audit trail, which is written to the store in batches.
pub trait AuditSink: Send + Sync {
    /// Queues the note and returns at once.
    fn record(&self, note: AuditRecord);
}
