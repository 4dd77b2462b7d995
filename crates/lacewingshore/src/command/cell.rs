use std::path::PathBuf;

use model::event as log_event;

use crate::{
    args::CellArguments, build_info, catalogue::event, cell_serve, exit::CommandError, log_setup,
};

/// Environment variable with the path of the settings file, used without `--settings`.
const SETTINGS_VARIABLE: &str = "LACEWINGSHORE_SETTINGS";

/// Runs a process of a cell, or only checks its settings.
pub fn run(arguments: &CellArguments) -> Result<(), CommandError> {
    let path = settings_path(arguments)?;
    let settings = cell_serve::read_settings(&path)?;
    if arguments.check {
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    let lines = log_setup::start_bounded(settings.log_level)?;
    log_event::info(
        &event::PROCESS_STARTED,
        format_args!(
            "member={} data_centre={} version={} commit={} target={}",
            settings.member,
            settings.data_centre,
            build_info::VERSION,
            build_info::COMMIT,
            build_info::TARGET
        ),
    );
    let outcome = cell_serve::run(settings, path, lines.clone());
    match &outcome {
        Ok(()) => log_event::info(&event::PROCESS_STOPPED, format_args!("")),
        Err(error) => log_event::error(&event::PROCESS_FAILED, format_args!("cause=\"{error:#}\"")),
    }
    lines.flush();
    Ok(outcome?)
}

fn settings_path(arguments: &CellArguments) -> Result<PathBuf, CommandError> {
    let named = arguments.settings.clone();
    let path = named.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    path.ok_or_else(|| {
        CommandError::Invalid(format!("no --settings, and {SETTINGS_VARIABLE} is not set"))
    })
}
