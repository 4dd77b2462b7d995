use decide::budget::{FleetMap, HostState};
use ports::AuditRecord;
use wire::fleet::FleetChange;

use crate::{fleet_shared::FleetShared, map_store::MapSnapshot};

/// Records the changes of the pool map that this entry host wrote and that are newer than
/// `known` in the audit trail.
///
/// The changes come from the stored head and not from the requests. So a write whose
/// response was lost is recorded, and a write without effect is not.
pub(crate) fn audit_changes(shared: &FleetShared, known: &MapSnapshot, newer: &MapSnapshot) {
    let Some(audit) = &shared.audit else {
        return;
    };
    let own_id = shared.members.own_id();
    let mut map = known.map.clone();
    for change in &newer.head.tail {
        if change.revision <= known.map.revision {
            continue;
        }
        if change.author == own_id {
            for record in audit_records(&map, change) {
                audit.record(record);
            }
        }
        let mut upto = newer.head.clone();
        upto.tail.retain(|other| other.revision <= change.revision);
        upto.revision = change.revision;
        if map.catch_up(&upto).is_err() {
            return;
        }
    }
}

fn audit_records(before: &FleetMap, change: &FleetChange) -> Vec<AuditRecord> {
    let moved = change.hosts.iter().map(|record| {
        let next = HostState::from_record(record);
        let was = before.hosts.get(record.host.as_str());
        (record.host.as_str(), difference(was, Some(&next)))
    });
    let removed = change.removed.iter().map(|host| {
        let was = before.hosts.get(host.as_str());
        (host.as_str(), difference(was, None))
    });
    moved
        .chain(removed)
        .map(|(host, difference)| AuditRecord {
            author: change.author.clone(),
            change_id: format!("fleet-{}-{host}", change.revision),
            subject: format!("host {host}"),
            difference,
            revision_before: change.revision.saturating_sub(1),
            revision_after: change.revision,
        })
        .collect()
}

fn difference(before: Option<&HostState>, after: Option<&HostState>) -> String {
    let name = |state: Option<&HostState>| match state {
        None => "absent".to_owned(),
        Some(state) => format!("{} {:?} {:?}", state.pool, state.phase, state.cause),
    };
    format!("{} -> {}", name(before), name(after))
}
