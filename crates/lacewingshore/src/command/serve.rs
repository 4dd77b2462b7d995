use model::{ServeSettings, event as log_event};

use crate::{
    args::ServeArguments, build_info, catalogue::event, command::read_text, exit::CommandError,
};
use crate::{log_setup, serve};

/// Runs an entry host, or only checks its settings.
pub fn run(arguments: &ServeArguments) -> Result<(), CommandError> {
    let path = &arguments.settings;
    let text = read_text(path)?;
    let settings =
        ServeSettings::from_ini(&text).map_err(|fault| CommandError::invalid_text(path, &fault))?;
    if arguments.check {
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    log_setup::start(&settings)?;
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
    let outcome = serve::run(settings);
    match &outcome {
        Ok(()) => log_event::info(&event::PROCESS_STOPPED, format_args!("")),
        Err(error) => log_event::error(&event::PROCESS_FAILED, format_args!("cause=\"{error:#}\"")),
    }
    Ok(outcome?)
}
