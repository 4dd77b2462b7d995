use std::path::Path;

use admin::view::ChangeView;
use model::{Manifest, SectionTexts};

use crate::{
    args::{
        CliArguments, ManifestApplyArguments, ManifestCheckArguments, ManifestCommand,
        ManifestDiffArguments,
    },
    client::{AdminClient, AdminRequest},
    command::{mint_change_id, print_json, read_text},
    exit::CommandError,
};

/// Runs a manifest command.
pub fn run(arguments: &CliArguments, command: &ManifestCommand) -> Result<(), CommandError> {
    match command {
        ManifestCommand::Check(check) => run_check(check),
        ManifestCommand::Apply(apply) => run_apply(&AdminClient::new(arguments)?, apply),
        ManifestCommand::Show(_) => run_show(&AdminClient::new(arguments)?),
        ManifestCommand::Diff(diff) => run_diff(&AdminClient::new(arguments)?, diff),
    }
}

fn run_check(arguments: &ManifestCheckArguments) -> Result<(), CommandError> {
    let (_, manifest) = read_manifest(&arguments.file)?;
    let file = arguments.file.display();
    println!(
        "{file}: valid: {} pools, {} services, {} teams, {} windows, {} workspaces",
        manifest.pools.len(),
        manifest.services.len(),
        manifest.teams.len(),
        manifest.windows.len(),
        manifest.workspaces.len()
    );
    for advice in manifest.advice(arguments.shrink) {
        println!("{file}: note: {advice}");
    }
    Ok(())
}

fn run_apply(client: &AdminClient, arguments: &ManifestApplyArguments) -> Result<(), CommandError> {
    read_manifest(&arguments.file)?;
    let text = read_text(&arguments.file)?;
    // Without --base the change is made against the revision in force when the command starts.
    // Retries must name the same base, or they would undo a change made in between.
    let base = match arguments.base {
        Some(base) => base,
        None => client.read_text("/v1/manifest")?.1,
    };
    let change_id = arguments.change_id.clone().unwrap_or_else(mint_change_id);
    let request = AdminRequest {
        base_revision: Some(base),
        body: text.into_bytes(),
        ..AdminRequest::change("PUT", "/v1/manifest", &change_id)
    };
    let view: ChangeView = client.change(&request)?;
    if arguments.json {
        return print_json(&view);
    }
    match view.changed.len() {
        0 if !view.repeated => println!("revision {}: nothing to change", view.revision),
        _ => println!("revision {} is in force", view.revision),
    }
    for section in view.changed {
        println!("  [{section}]");
    }
    Ok(())
}

fn run_show(client: &AdminClient) -> Result<(), CommandError> {
    let (text, revision) = client.read_text("/v1/manifest")?;
    println!("; revision {revision}");
    print!("{text}");
    Ok(())
}

fn run_diff(client: &AdminClient, arguments: &ManifestDiffArguments) -> Result<(), CommandError> {
    let (after, _) = read_manifest(&arguments.file)?;
    let (text, revision) = client.read_text("/v1/manifest")?;
    let before =
        Manifest::split(&text).map_err(|fault| CommandError::Invalid(fault.to_string()))?;
    println!("against revision {revision}");
    for line in difference(&before, &after) {
        println!("{line}");
    }
    Ok(())
}

/// The removed and added lines of each section that differs.
fn difference(before: &SectionTexts, after: &SectionTexts) -> Vec<String> {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let mut lines = Vec::new();
    for name in names {
        let old = before.get(name).map_or("", String::as_str);
        let new = after.get(name).map_or("", String::as_str);
        if old == new {
            continue;
        }
        lines.push(format!("[{name}]"));
        let removed = old
            .lines()
            .filter(|line| !new.lines().any(|other| other == *line));
        lines.extend(removed.map(|line| format!("- {line}")));
        let added = new
            .lines()
            .filter(|line| !old.lines().any(|other| other == *line));
        lines.extend(added.map(|line| format!("+ {line}")));
    }
    lines
}

/// Reads and checks a manifest file.
pub fn read_manifest(file: &Path) -> Result<(SectionTexts, Manifest), CommandError> {
    let text = read_text(file)?;
    Manifest::from_ini(&text).map_err(|fault| CommandError::invalid_text(file, &fault))
}
