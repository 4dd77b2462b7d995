//! The API page lists every problem with its status, and the current limits.
#![allow(clippy::unwrap_used)]

use entry::EntryTuning;
use model::{ProblemKind, ServeSettings};

const PAGE: &str = include_str!("../../../docs/API.md");

const KINDS: [ProblemKind; 13] = [
    ProblemKind::BadRequest,
    ProblemKind::KeyRefused,
    ProblemKind::NotFound,
    ProblemKind::TooLarge,
    ProblemKind::SlowSender,
    ProblemKind::Duplicate,
    ProblemKind::Deadline,
    ProblemKind::QueueFull,
    ProblemKind::TeamLimit,
    ProblemKind::NotServing,
    ProblemKind::StoreDown,
    ProblemKind::NoTarget,
    ProblemKind::TargetFailed,
];

#[test]
fn api_page_problems() {
    for kind in KINDS {
        let name = serde_json::to_value(kind).unwrap();
        let row = format!("| `{}` | {} |", name.as_str().unwrap(), kind.status());
        assert!(PAGE.contains(&row), "the page lacks the row {row}");
    }
}

#[test]
fn api_page_bounds() {
    let tuning = EntryTuning::default();
    let settings = ServeSettings::default();
    let mebibytes = |bytes: usize| format!("{} MiB", bytes / 1024 / 1024);
    let thousands = |count: usize| format!("{},{:03}", count / 1000, count % 1000);
    for text in [
        format!("`max_body`, {}", mebibytes(settings.max_body)),
        format!("`max_connections`, {}", thousands(settings.max_connections)),
        format!("`max_queue`, {}", thousands(settings.max_queue)),
        format!("one address | {} % of them", tuning.address_percent),
        format!("included | {} s ", tuning.head_timeout.as_secs()),
        format!("whole body | {} s ", tuning.body_timeout.as_secs()),
        format!(
            "| {}, {} a team ",
            mebibytes(tuning.body_memory),
            mebibytes(tuning.body_memory / 4 * 3)
        ),
        format!("three windows of {} s", tuning.write_window.as_secs()),
        format!("| {} | further ones queue", tuning.max_dispatch),
        format!("when {}", thousands(tuning.open_ids)),
        format!(
            "| {} |\n| `Idempotent`",
            tuning.default_deadline.as_millis()
        ),
        format!(
            "`max_deadline` ({})",
            thousands(usize::try_from(settings.max_deadline.as_millis()).unwrap())
        ),
    ] {
        assert!(PAGE.contains(&text), "the page lacks {text}");
    }
}
