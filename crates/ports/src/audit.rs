/// A change to be recorded in the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditRecord {
    /// Author of the change: the id of an administration key or of an entry host.
    pub author: String,
    /// Id of the change. A record with a known id adds no entry.
    pub change_id: String,
    /// Changed object, such as `member e1`, `grant members` or `host w-03`.
    pub subject: String,
    /// Short text of the difference.
    pub difference: String,
    /// Revision of the object before the change.
    pub revision_before: u64,
    /// Revision of the object after the change.
    pub revision_after: u64,
}

/// Accepts records for the audit trail, which is written to the store in batches.
pub trait AuditSink: Send + Sync {
    /// Queues a record and returns at once.
    fn record(&self, note: AuditRecord);
}
