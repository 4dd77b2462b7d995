use std::{fs, time::Duration};

use anyhow::{Context, Result};
use serde::Serialize;

use crate::{SizesCommand, bench_fleet::BenchFleet, bench_size::BenchSize, node_meter::NodeCost};

/// 4,000 changes a day.
const TARGET_CHANGES: f64 = 4000.0 / 86_400.0;

#[derive(Serialize)]
struct SizeRow {
    size: BenchSize,
    cost: NodeCost,
}

/// Measures all rows and prints them.
///
/// # Errors
/// If a deployment does not come up.
pub fn run(command: &SizesCommand) -> Result<()> {
    print_head();
    let mut rows = Vec::new();
    for size in sizes()
        .into_iter()
        .filter(|size| size.name.contains(&command.only))
    {
        let mut fleet = BenchFleet::start(&size).with_context(|| format!("row {}", size.name))?;
        let cost = fleet.measure(Duration::from_secs_f64(command.seconds))?;
        print_row(&size, &cost);
        rows.push(SizeRow { size, cost });
    }
    if let Some(file) = &command.json {
        fs::write(file, serde_json::to_string_pretty(&rows)?)?;
    }
    Ok(())
}

/// Replaces all entry hosts at the target size at once, and prints what that costs.
///
/// # Errors
/// If a deployment does not come up, or not again.
pub fn run_replace(seconds: f64) -> Result<()> {
    let size = target();
    let mut fleet = BenchFleet::start(&size)?;
    let (serving, cost) = fleet.replace_all(Duration::from_secs_f64(seconds))?;
    println!(
        "all serve again after {:.2} s; in the first {seconds} s:",
        serving.as_secs_f64()
    );
    print_head();
    print_row(
        &BenchSize {
            name: "replaced".to_owned(),
            ..size
        },
        &cost,
    );
    Ok(())
}

fn target() -> BenchSize {
    let target = BenchSize::new("target", 7)
        .with_fleet(313, 1200)
        .with_teams(110);
    target.with_changes(TARGET_CHANGES)
}

fn sizes() -> Vec<BenchSize> {
    let mut sizes = Vec::new();
    for members in [2, 3, 5, 7] {
        sizes.push(BenchSize::new(&format!("members-{members}"), members));
    }
    for pools in [40, 80, 160, 313] {
        sizes.push(BenchSize::new(&format!("pools-{pools}"), 3).with_fleet(pools, pools * 4));
    }
    for hosts in [150, 300, 600, 1200] {
        sizes.push(BenchSize::new(&format!("hosts-{hosts}"), 3).with_fleet(40, hosts));
    }
    for teams in [14, 28, 55, 110] {
        sizes.push(BenchSize::new(&format!("teams-{teams}"), 3).with_teams(teams));
    }
    for changes in [0.5, 1.0, 2.0, 4.0] {
        sizes.push(BenchSize::new(&format!("changes-{changes}"), 3).with_changes(changes));
    }
    sizes.push(target());
    sizes
}

fn print_head() {
    println!(
        "| {:<16} | members | pools | hosts | teams | changes/s | cpu % | memory MB | threads | peer out B/s | peer in B/s | msgs/s | store B/s | list B/s | all B/s | on the wire B/s | writes/s | reads/s |",
        "row"
    );
    println!("|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
}

fn print_row(size: &BenchSize, cost: &NodeCost) {
    println!(
        "| {:<16} | {} | {} | {} | {} | {:.3} | {:.2} | {:.1} | {} | {:.0} | {:.0} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {:.2} |",
        size.name,
        size.members,
        size.pools,
        size.hosts,
        size.teams,
        size.changes_per_second,
        cost.cpu_percent,
        cost.memory_mb,
        cost.threads,
        cost.peer_sent,
        cost.peer_received,
        cost.peer_messages,
        cost.store_bytes,
        cost.list_bytes,
        cost.control_bytes(),
        cost.wire_bytes(),
        cost.store_writes,
        cost.store_reads
    );
}
