use admin::view::StatusView;
use serde_json::json;

use crate::{
    args::{CliArguments, StatusArguments},
    client::AdminClient,
    command::print_json,
    exit::CommandError,
    table::TextTable,
};

/// Shows entry hosts, pools, hosts and teams.
pub fn run(arguments: &CliArguments, status: &StatusArguments) -> Result<(), CommandError> {
    let client = AdminClient::new(arguments)?;
    let (view, unanswered) = read_status(&client)?;
    if status.json {
        return print_json(&json!({ "status": view, "silent": unanswered }));
    }
    println!(
        "deployment {}  revision {}  hash {}",
        view.deployment, view.revision, view.hash
    );
    for (url, reason) in &unanswered {
        println!("no answer from {url}: {reason}");
    }
    println!();
    print_members(&view);
    print_pools(&view);
    print_hosts(&view, status.hosts);
    print_teams(&view);
    Ok(())
}

/// Reads the status of every named entry host.
///
/// Counts of running requests are summed over the hosts that answer; all else is from the one
/// with the newest configuration. Also returns the hosts that failed to answer, with the error.
pub fn read_status(
    client: &AdminClient,
) -> Result<(StatusView, Vec<(String, String)>), CommandError> {
    let mut views: Vec<StatusView> = Vec::new();
    let mut unanswered = Vec::new();
    let mut last = None;
    for url in client.urls() {
        match client.read_from(url, "/v1/status") {
            Ok(view) => views.push(view),
            Err(error) => {
                unanswered.push((url.clone(), error.to_string()));
                last = Some(error);
            }
        }
    }
    views.sort_by_key(|view| view.revision);
    let Some(mut merged) = views.pop() else {
        let none = || CommandError::Unavailable("no entry host was named".to_owned());
        return Err(last.unwrap_or_else(none));
    };
    for view in &views {
        add_running_counts(&mut merged, view);
    }
    Ok((merged, unanswered))
}

fn add_running_counts(merged: &mut StatusView, view: &StatusView) {
    for team in &mut merged.teams {
        let others = view.teams.iter().filter(|other| other.team == team.team);
        for other in others {
            team.granted += other.granted;
            team.running += other.running;
        }
    }
    for host in &mut merged.hosts {
        let others = view.hosts.iter().filter(|other| other.host == host.host);
        for other in others {
            host.running += other.running;
        }
    }
}

fn print_members(view: &StatusView) {
    let mut table = TextTable::new(&["ENTRY HOST", "LIFE", "REVISION", "STATE"]);
    for member in &view.members {
        let state = match (member.leaving, member.reachable) {
            (true, _) => "leaving",
            (false, true) => "heard",
            (false, false) => "silent",
        };
        table.add(vec![
            member.member.to_string(),
            member.incarnation.to_string(),
            member.config_revision.to_string(),
            state.to_owned(),
        ]);
    }
    table.print();
    println!();
}

fn print_pools(view: &StatusView) {
    let mut table = TextTable::new(&[
        "POOL",
        "ROLE",
        "SIZE",
        "BUDGET",
        "HOSTS",
        "SERVING",
        "MAINTAINED",
        "",
    ]);
    for pool in &view.pools {
        let remark = match (pool.serving < pool.budget, pool.spare) {
            (true, _) => "BELOW BUDGET",
            (false, true) => "spare",
            (false, false) => "",
        };
        table.add(vec![
            pool.pool.clone(),
            pool.role.clone(),
            pool.size.to_string(),
            pool.budget.to_string(),
            pool.hosts.to_string(),
            pool.serving.to_string(),
            pool.maintained.to_string(),
            remark.to_owned(),
        ]);
    }
    table.print();
    println!();
}

fn print_hosts(view: &StatusView, all: bool) {
    let shown = view
        .hosts
        .iter()
        .filter(|host| all || host.phase != "serving");
    let mut table = TextTable::new(&["HOST", "POOL", "PHASE", "RUNNING"]);
    let mut count = 0;
    for host in shown {
        count += 1;
        table.add(vec![
            host.host.to_string(),
            host.pool.to_string(),
            host.phase.clone(),
            host.running.to_string(),
        ]);
    }
    if count == 0 {
        return;
    }
    table.print();
    println!();
}

fn print_teams(view: &StatusView) {
    let mut table = TextTable::new(&["TEAM", "SHARE", "LIMIT", "GRANTED", "RUNNING"]);
    for team in &view.teams {
        table.add(vec![
            team.team.to_string(),
            team.share.to_string(),
            team.limit.to_string(),
            team.granted.to_string(),
            team.running.to_string(),
        ]);
    }
    table.print();
}
