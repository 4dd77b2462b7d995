//! The audit trail: nothing lost, nothing twice, tampering shows.

mod common;

use std::sync::Arc;

use admin::audit::{AuditBatch, AuditDraft, AuditStore, ChainFault, TrailName, verify_chain};
use common::{LoneHost, MemoryStore, WriteFault, eventually, start};
use ports::{AuditRecord, AuditSink};
use store::KeyStore;
use wire::state::{AuditEntry, AuditHead, AuditPage};

fn batch(member: &str, number: u64, texts: &[&str]) -> AuditBatch {
    let drafts = texts.iter().map(|text| AuditDraft {
        subject: (*text).to_owned(),
        ..AuditDraft::default()
    });
    AuditBatch {
        member: member.to_owned(),
        incarnation: 1,
        batch: number,
        config_revision: 0,
        drafts: drafts.collect(),
    }
}

/// All kept entries, oldest first.
fn read_trail(trail: &AuditStore) -> (AuditHead, Vec<AuditEntry>) {
    let (_, head) = trail.read_head().unwrap_or_default();
    let mut entries = Vec::new();
    for page in head.first_page..head.next_page {
        entries.extend(
            trail
                .read_page(page)
                .unwrap_or_default()
                .unwrap_or_default(),
        );
    }
    entries.extend(head.tail.iter().cloned());
    (head, entries)
}

fn new_trail() -> (Arc<MemoryStore>, AuditStore) {
    let store = Arc::new(MemoryStore::default());
    let trail = AuditStore::new(store.clone() as Arc<dyn KeyStore>, TrailName::Changes);
    (store, trail)
}

#[test]
fn append_in_pages() {
    let (_, trail) = new_trail();
    for number in 1..=500 {
        trail
            .append(&batch("e1", number, &["host w-01"]))
            .expect("written");
    }
    let (head, entries) = read_trail(&trail);
    assert_eq!(entries.len(), 500);
    assert!(head.next_page >= 14, "{}", head.next_page);
    assert!(head.tail.len() <= 48, "{}", head.tail.len());
    assert_eq!(verify_chain(&head, &entries), Ok(()));
}

#[test]
fn append_oldest_dropped() {
    // The trail is bounded: the oldest page goes, and the chain still verifies from the
    // anchor on.
    let (store, trail) = new_trail();
    let texts = vec!["host w-01"; 64];
    for number in 1..=1_040 {
        trail.append(&batch("e1", number, &texts)).expect("written");
    }
    let (head, entries) = read_trail(&trail);
    assert!(head.first_page > 0);
    assert!(head.tail.len() < 48 + 64, "{}", head.tail.len());
    assert_eq!(head.anchor_sequence + entries.len() as u64, head.sequence);
    assert_eq!(verify_chain(&head, &entries), Ok(()));
    let pages = store.values.lock().len() as u64;
    assert!(
        pages <= head.next_page - head.first_page + 1,
        "{pages} keys"
    );
}

#[test]
fn append_answer_lost() {
    // The store writes an entry and its answer is lost. The keeper writes the batch again;
    // an operator must see the change once.
    let (store, trail) = new_trail();
    store.faults.lock().push(WriteFault::AnswerLost);
    trail
        .append(&batch("e1", 1, &["member e1"]))
        .expect("written");
    trail
        .append(&batch("e1", 1, &["member e1"]))
        .expect("written");
    assert_eq!(read_trail(&trail).1.len(), 1);
}

#[test]
fn append_stopped_while_sealing() {
    // A writer dies after it wrote a page and before the head named it. The next writer
    // finds the page there, and neither loses its entries nor shows them twice.
    let (store, trail) = new_trail();
    for number in 1..=48 {
        trail
            .append(&batch("e1", number, &["host w-01"]))
            .expect("written");
    }
    let (_, head) = trail.read_head().expect("a head");
    let page = AuditPage {
        entries: head.tail[..32].to_vec(),
    };
    store.put("audit/page-00000000", &page);
    trail
        .append(&batch("e2", 1, &["host w-02"]))
        .expect("written");
    let (head, entries) = read_trail(&trail);
    assert_eq!((entries.len(), head.next_page), (49, 1));
    assert_eq!(verify_chain(&head, &entries), Ok(()));
}

#[test]
fn append_two_writers() {
    let (_, trail) = new_trail();
    let trail = Arc::new(trail);
    let threads = ["e1", "e2", "e3"].map(|member| {
        let trail = Arc::clone(&trail);
        std::thread::spawn(move || {
            for number in 1..=100 {
                while trail.append(&batch(member, number, &[member])).is_err() {}
            }
        })
    });
    for thread in threads {
        thread.join().expect("the writer ends");
    }
    let (head, entries) = read_trail(&trail);
    assert_eq!(entries.len(), 300);
    assert_eq!(verify_chain(&head, &entries), Ok(()));
}

#[test]
fn verify_shows_tampering() {
    let (_, trail) = new_trail();
    for number in 1..=20 {
        trail
            .append(&batch("e1", number, &["host w-01"]))
            .expect("written");
    }
    let (head, entries) = read_trail(&trail);
    let faults = |change: fn(&mut Vec<AuditEntry>)| {
        let mut entries = entries.clone();
        change(&mut entries);
        verify_chain(&head, &entries).expect_err("tampering must show")
    };
    let edited = faults(|entries| entries[4].author = "somebody else".to_owned());
    assert_eq!(edited, [ChainFault::Edited(5)]);
    let shifted = faults(|entries| {
        entries[4].author = "host".to_owned();
        entries[4].subject = " w-01".to_owned();
    });
    assert_eq!(shifted, [ChainFault::Edited(5)]);
    let removed = faults(|entries| {
        entries.remove(4);
    });
    assert_eq!(
        removed,
        [ChainFault::OutOfOrder {
            expected: 5,
            found: 6
        }]
    );
    let cut = faults(|entries| entries.truncate(19));
    assert_eq!(
        cut,
        [ChainFault::WrongEnd {
            expected: 20,
            found: 19
        }]
    );
    let rewritten = faults(|entries| {
        entries[4].author = "somebody else".to_owned();
        entries[4].digest = admin::audit::entry_digest(&entries[4]).to_vec();
    });
    assert_eq!(rewritten, [ChainFault::Unlinked(6)]);
}

const MANIFEST: &str = "[deployment]\nname = trial\n[team.sales]\nshare = 1\nlimit = 10\n";

#[test]
fn changes_audited_once() {
    // Changes are accepted while no keeper runs: the entry host died right after accepting
    // them. The next one to hold the duty still finds them in the change log, with their
    // difference, and writes each once.
    let host = LoneHost::with_manifest(MANIFEST);
    let bench = start(host).expect("the interface starts");
    let text = MANIFEST.replace("limit = 10", "limit = 20");
    let (status, _) = bench.call("PUT", "/v1/manifest", &["Change-Id: c1"], &text);
    assert_eq!(status, 200);
    let grant = "{\"team\":\"sales\"}";
    assert_eq!(
        bench.call("POST", "/v1/keys", &["Change-Id: c2"], grant).0,
        200
    );
    let trail = AuditStore::new(
        bench.host.store.clone() as Arc<dyn KeyStore>,
        TrailName::Changes,
    );
    eventually("both changes are audited", || {
        read_trail(&trail).1.len() >= 2
    });
    bench.audit.record(AuditRecord {
        author: "e1".to_owned(),
        subject: "host w-03".to_owned(),
        ..AuditRecord::default()
    });
    eventually("the note is written", || read_trail(&trail).1.len() >= 3);
    bench.audit.stop();
    let (head, entries) = read_trail(&trail);
    assert_eq!(verify_chain(&head, &entries), Ok(()));
    let subjects: Vec<&str> = entries.iter().map(|entry| entry.subject.as_str()).collect();
    assert_eq!(subjects[0], "manifest");
    assert!(subjects[1].starts_with("key k"), "{subjects:?}");
    assert_eq!(subjects[2..], ["host w-03"]);
    assert_eq!(entries[0].change_id, "c1");
    assert!(
        entries[0].difference.contains("[team.sales]"),
        "{}",
        entries[0].difference
    );
    assert!(
        entries[0].difference.contains("+limit = 20"),
        "{}",
        entries[0].difference
    );
    assert_eq!(
        (entries[0].revision_before, entries[0].revision_after),
        (0, 1)
    );
}

#[test]
fn notes_wait_for_the_store() {
    // The store is down while hosts fail. Nothing of it is in the trail yet; once the store
    // answers, every note is, in order and once.
    let bench = start(LoneHost::with_manifest(MANIFEST)).expect("the interface starts");
    *bench.host.store.down.lock() = true;
    for index in 0..200 {
        bench.audit.record(AuditRecord {
            subject: format!("host w-{index}"),
            ..AuditRecord::default()
        });
    }
    std::thread::sleep(std::time::Duration::from_millis(300));
    *bench.host.store.down.lock() = false;
    let trail = AuditStore::new(
        bench.host.store.clone() as Arc<dyn KeyStore>,
        TrailName::Changes,
    );
    eventually("all notes are written", || {
        read_trail(&trail).1.len() >= 200
    });
    bench.audit.stop();
    let (head, entries) = read_trail(&trail);
    let subjects: Vec<String> = entries.iter().map(|entry| entry.subject.clone()).collect();
    let expected: Vec<String> = (0..200).map(|index| format!("host w-{index}")).collect();
    assert_eq!(subjects, expected);
    assert_eq!(verify_chain(&head, &entries), Ok(()));
}

#[test]
fn grants_apart_and_merged() {
    // Grants of team limits move with demand, several a second. They have a trail of their
    // own, one entry for each team in ten seconds, so that they push out no operator's change.
    let bench = start(LoneHost::with_manifest(MANIFEST)).expect("the interface starts");
    for revision in 1..=50 {
        for team in ["sales", "stock"] {
            bench.audit.record(AuditRecord {
                subject: format!("grant {team}"),
                change_id: format!("quota-{team}-{revision}"),
                revision_before: revision - 1,
                revision_after: revision,
                ..AuditRecord::default()
            });
        }
    }
    bench.audit.stop();
    let store = bench.host.store.clone() as Arc<dyn KeyStore>;
    let changes = AuditStore::new(Arc::clone(&store), TrailName::Changes);
    assert!(read_trail(&changes).1.is_empty());
    let grants = AuditStore::new(store, TrailName::Grants);
    let (head, entries) = read_trail(&grants);
    assert_eq!(verify_chain(&head, &entries), Ok(()));
    let spans: Vec<(u64, u64)> = entries
        .iter()
        .map(|entry| (entry.revision_before, entry.revision_after))
        .collect();
    assert_eq!(spans, [(0, 50), (0, 50)]);
}
