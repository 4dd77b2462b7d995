//! The JSON bodies of the administration interface.

use model::{KeyId, Revision, TeamId};
use ports::{HostStatus, MemberStatus, TeamStatus};
use serde::{Deserialize, Serialize};
use wire::state::{AuditEntry, AuditHead};

use crate::key_secret::{from_hex, to_hex};

/// Answer to a change that is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeView {
    /// Revision that is in force.
    pub revision: Revision,
    /// True if an earlier call with the same change id had made the change.
    pub repeated: bool,
    /// Sections that changed.
    pub changed: Vec<String>,
}

/// What to grant: a key for a team, or an administration key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantCall {
    /// Team whose work the key admits; empty for an administration key.
    #[serde(default)]
    pub team: TeamId,
    /// True for an administration key.
    #[serde(default)]
    pub admin: bool,
    /// End of the key, in milliseconds of the Unix epoch; 0 for none.
    #[serde(default)]
    pub expires_unix_ms: u64,
    /// Id, salt and digest of a key minted by the caller as `ID:SALT:DIGEST`; empty to let
    /// the entry host mint it.
    #[serde(default)]
    pub minted: String,
}

/// Answer to a grant that is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantView {
    /// Public part of the key.
    pub key_id: KeyId,
    /// The key as its holder presents it, if the entry host minted it; shown only here.
    #[serde(default)]
    pub key: String,
    /// Revision that is in force.
    pub revision: Revision,
    /// True if an earlier call with the same change id had made the change.
    pub repeated: bool,
}

/// A granted key, without its digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyView {
    /// Public part of the key.
    pub key_id: KeyId,
    /// Team whose work it admits; empty for an administration key.
    pub team: TeamId,
    /// True for an administration key.
    pub admin: bool,
    /// When it was granted, in milliseconds of the Unix epoch.
    pub granted_unix_ms: u64,
    /// End of the key, in milliseconds of the Unix epoch; 0 for none.
    pub expires_unix_ms: u64,
}

/// One entry host's view of the deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The entry host that answers.
    pub member: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Revision of the configuration in force there.
    pub revision: Revision,
    /// Hash of that configuration, in hex.
    pub hash: String,
    /// `yes`, or why it takes no new work.
    pub serving: String,
    /// Entry hosts.
    pub members: Vec<MemberStatus>,
    /// Pools.
    pub pools: Vec<PoolView>,
    /// Target hosts.
    pub hosts: Vec<HostStatus>,
    /// Teams, with what they run through this entry host.
    pub teams: Vec<TeamStatus>,
}

/// A pool against its budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolView {
    /// Its id.
    pub pool: String,
    /// `executor` or `worker`.
    pub role: String,
    /// Hosts that it should have.
    pub size: u32,
    /// Hosts that must be in service.
    pub budget: u32,
    /// Hosts that it has.
    pub hosts: u32,
    /// Hosts in service.
    pub serving: u32,
    /// Hosts that drain, reboot or are checked.
    pub maintained: u32,
    /// True for the pool that lends its hosts.
    pub spare: bool,
}

/// Part of the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditView {
    /// Sequence of the newest entry of the trail.
    pub sequence: u64,
    /// Digest of the newest entry, in hex.
    pub digest: String,
    /// Oldest page that is kept.
    pub first_page: u64,
    /// Page after the newest one.
    pub next_page: u64,
    /// Sequence of the newest entry that was dropped for age.
    pub anchor_sequence: u64,
    /// Digest of that entry, in hex.
    pub anchor_digest: String,
    /// The entries of the page asked for, or those newer than every page.
    pub entries: Vec<EntryView>,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryView {
    /// Place in the trail, from 1.
    pub sequence: u64,
    /// When it happened, in milliseconds of the Unix epoch.
    pub unix_ms: u64,
    /// Who caused it.
    pub author: String,
    /// Id of the change.
    pub change_id: String,
    /// What changed.
    pub subject: String,
    /// The difference.
    pub difference: String,
    /// Revision before.
    pub revision_before: u64,
    /// Revision after.
    pub revision_after: u64,
    /// Digest of the entry before, in hex.
    pub previous_digest: String,
    /// Digest of this entry, in hex.
    pub digest: String,
}

impl AuditView {
    /// The view of a head with some entries.
    pub fn new(head: &AuditHead, entries: &[AuditEntry]) -> Self {
        Self {
            sequence: head.sequence,
            digest: to_hex(&head.digest),
            first_page: head.first_page,
            next_page: head.next_page,
            anchor_sequence: head.anchor_sequence,
            anchor_digest: to_hex(&head.anchor_digest),
            entries: entries.iter().map(EntryView::new).collect(),
        }
    }

    /// The head, for checking the chain; digests that are not hex come out empty.
    pub fn head(&self) -> AuditHead {
        AuditHead {
            sequence: self.sequence,
            digest: from_hex(&self.digest).unwrap_or_default(),
            anchor_sequence: self.anchor_sequence,
            anchor_digest: from_hex(&self.anchor_digest).unwrap_or_default(),
            first_page: self.first_page,
            next_page: self.next_page,
            ..AuditHead::default()
        }
    }
}

impl EntryView {
    /// The view of an entry.
    pub fn new(entry: &AuditEntry) -> Self {
        Self {
            sequence: entry.sequence,
            unix_ms: entry.unix_ms,
            author: entry.author.clone(),
            change_id: entry.change_id.clone(),
            subject: entry.subject.clone(),
            difference: entry.difference.clone(),
            revision_before: entry.revision_before,
            revision_after: entry.revision_after,
            previous_digest: to_hex(&entry.previous_digest),
            digest: to_hex(&entry.digest),
        }
    }

    /// The entry, for checking the chain; digests that are not hex come out empty.
    pub fn entry(&self) -> AuditEntry {
        AuditEntry {
            sequence: self.sequence,
            unix_ms: self.unix_ms,
            author: self.author.clone(),
            change_id: self.change_id.clone(),
            subject: self.subject.clone(),
            difference: self.difference.clone(),
            revision_before: self.revision_before,
            revision_after: self.revision_after,
            previous_digest: from_hex(&self.previous_digest).unwrap_or_default(),
            digest: from_hex(&self.digest).unwrap_or_default(),
        }
    }
}
