use std::fmt::Write;

use stand::RunRecord;

use super::SoakHistory;

/// Tells of a task that ran twice: its runs, who was the owner, who extended the leases of its
/// targets until when, and which partitions there were. Times are seconds of the boot clock since
/// the first owner was elected.
pub fn trace_task(history: &SoakHistory, task: &str) -> String {
    let mut text = format!("task {task}\n");
    let zero = history.owners.first().map_or(0, |owner| owner.written_ns);
    let time = |at_ns: u64| seconds_after(zero, at_ns);
    let runs = history.runs.iter().filter(|run| run.task == task);
    let mut runs: Vec<&RunRecord> = runs.collect();
    runs.sort_by_key(|run| run.start_ns);
    for run in &runs {
        let end = run.end.map(|(at, how)| (time(at), how));
        let _ = writeln!(
            text,
            "  run on t{} attempt {} token {} from {} to {end:?} noted {}",
            run.target,
            run.attempt,
            run.token,
            time(run.start_ns),
            run.noted,
        );
    }
    let from = runs.first().map_or(0, |run| run.start_ns);
    let ends = runs
        .iter()
        .map(|run| run.end.map_or(u64::MAX, |(at, _)| at));
    let to = ends.max().unwrap_or(u64::MAX);
    for renewal in &history.renewals {
        let concerns = runs.iter().any(|run| run.target == renewal.target);
        if concerns && renewal.last_ns >= from && renewal.from_ns <= to {
            let _ = writeln!(
                text,
                "  lease on t{} extended by token {} {} times from {} to {}, until {}",
                renewal.target,
                renewal.token,
                renewal.count,
                time(renewal.from_ns),
                time(renewal.last_ns),
                time(renewal.until_ns),
            );
        }
    }
    for (index, owner) in history.owners.iter().enumerate() {
        let next = history.owners.get(index + 1);
        let next_ns = next.map_or(u64::MAX, |next| next.written_ns);
        if next_ns >= from && owner.written_ns <= to {
            let _ = writeln!(
                text,
                "  token {} elected at {}: process {}",
                owner.token,
                time(owner.written_ns),
                owner.process,
            );
        }
    }
    for cut in &history.partitions {
        if cut.to_ns >= from && cut.from_ns <= to {
            let _ = writeln!(
                text,
                "  partition from {} to {}: processes {:?} targets {:?} store with {:?}",
                time(cut.from_ns),
                time(cut.to_ns),
                cut.process_groups,
                cut.target_groups,
                cut.store_groups,
            );
        }
    }
    text
}

fn seconds_after(zero_ns: u64, at_ns: u64) -> String {
    let nanos = i128::from(at_ns) - i128::from(zero_ns);
    format!("{:.3}", nanos as f64 / 1e9)
}
