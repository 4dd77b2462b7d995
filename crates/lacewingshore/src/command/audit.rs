use admin::{
    audit::verify_chain,
    view::{AuditView, EntryView},
};
use serde_json::json;
use wire::state::AuditEntry;

use crate::{
    args::{AuditArguments, CliArguments},
    client::AdminClient,
    command::{format_time, print_json},
    exit::CommandError,
    table::TextTable,
};

/// Attempts to read a consistent trail while entries are added to it.
const MAX_READS: usize = 5;

/// Shows the audit trail and verifies its hash chain locally, without trusting the entry host.
pub fn run(arguments: &CliArguments, audit: &AuditArguments) -> Result<(), CommandError> {
    let client = AdminClient::new(arguments)?;
    let (view, entries) = read_trail(&client, audit.grants)?;
    let chain: Vec<AuditEntry> = entries.iter().map(EntryView::entry).collect();
    let mut faults: Vec<String> = match verify_chain(&view.head(), &chain) {
        Ok(()) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    };
    if let Some(expected) = &audit.expect {
        faults.extend(check_expected(expected, &entries)?);
    }
    let shown = entries.len().saturating_sub(audit.last);
    let newest = entries.get(shown..).unwrap_or_default();
    if audit.json {
        print_json(&json!({
            "entries": newest, "sequence": view.sequence, "digest": view.digest, "faults": faults,
        }))?;
    } else {
        print_entries(newest);
        println!(
            "\n{} entries kept, newest {}:{}",
            entries.len(),
            view.sequence,
            view.digest
        );
    }
    if faults.is_empty() {
        return Ok(());
    }
    Err(CommandError::Tampered(format!(
        "the audit trail was tampered with:\n  {}",
        faults.join("\n  ")
    )))
}

/// Reads a consistent snapshot of the whole trail.
///
/// Meanwhile entries may move from the head into a page, and the oldest page may be dropped.
/// This reads the pages that the head names, so only a dropped page requires another attempt.
fn read_trail(
    client: &AdminClient,
    grants: bool,
) -> Result<(AuditView, Vec<EntryView>), CommandError> {
    let trail = if grants { "grants" } else { "" };
    let head = format!("/v1/audit?trail={trail}");
    for _ in 0..MAX_READS {
        let view: AuditView = client.read(&head)?;
        let mut entries = Vec::new();
        let mut is_complete = true;
        for page in view.first_page..view.next_page {
            match client.read::<AuditView>(&format!("{head}&page={page}")) {
                Ok(part) => entries.extend(part.entries),
                Err(CommandError::Invalid(_)) => is_complete = false,
                Err(error) => return Err(error),
            }
        }
        if is_complete {
            entries.extend(view.entries.iter().cloned());
            return Ok((view, entries));
        }
        let after: AuditView = client.read(&head)?;
        if after.first_page == view.first_page {
            let reason = "the audit trail was tampered with: a page is missing".to_owned();
            return Err(CommandError::Tampered(reason));
        }
    }
    Err(CommandError::Unavailable(
        "the audit trail moves faster than it is read".to_owned(),
    ))
}

/// Checks that the trail holds the entry of an earlier run.
///
/// A trail that was rewritten from some entry on has a valid chain; only a digest that was
/// stored elsewhere reveals it.
fn check_expected(expected: &str, entries: &[EntryView]) -> Result<Option<String>, CommandError> {
    let invalid_argument =
        || CommandError::Invalid(format!("--expect: `{expected}` is not SEQUENCE:DIGEST"));
    let (sequence, digest) = expected.split_once(':').ok_or_else(invalid_argument)?;
    let sequence: u64 = sequence.parse().map_err(|_| invalid_argument())?;
    let found = entries.iter().find(|entry| entry.sequence == sequence);
    Ok(match found {
        Some(entry) if entry.digest == digest => None,
        Some(_) => Some(format!("entry {sequence} is not the one that was noted")),
        None => Some(format!(
            "entry {sequence} is not in the trail; it may be dropped for age"
        )),
    })
}

fn print_entries(entries: &[EntryView]) {
    let mut table = TextTable::new(&["NR", "TIME", "AUTHOR", "SUBJECT", "REVISION", "DIFFERENCE"]);
    for entry in entries {
        table.add(vec![
            entry.sequence.to_string(),
            format_time(entry.unix_ms),
            entry.author.clone(),
            entry.subject.clone(),
            format!("{}>{}", entry.revision_before, entry.revision_after),
            entry.difference.clone(),
        ]);
    }
    table.print();
}
