//! The lacewingshore program: one binary for entry hosts and for operators.
//!
//! Start with [`args`], the commands. `serve` runs an entry host and is wired in
//! [`serve`], `cell` a process on the users' platform, wired in [`cell_serve`]; every other
//! command is a client of the administration interface, or works offline. Exit codes are in [`exit`]
//! and in `docs/GETTING-STARTED.md`.

mod args;
mod build_info;
mod catalogue;
mod cell_serve;
mod client;
mod command;
mod exit;
mod line_sink;
mod log_setup;
mod serve;
mod table;

use std::process::ExitCode;

use args::{CliArguments, CliCommand};
use exit::CommandError;

fn main() -> ExitCode {
    let arguments = match CliArguments::from_process() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let Err(error) = run(&arguments) else {
        return ExitCode::SUCCESS;
    };
    error.report();
    error.exit_code()
}

fn run(arguments: &CliArguments) -> Result<(), CommandError> {
    match &arguments.command {
        CliCommand::Serve(serve) => command::serve::run(serve),
        CliCommand::Cell(cell) => command::cell::run(cell),
        CliCommand::Manifest(manifest) => command::manifest::run(arguments, &manifest.command),
        CliCommand::Key(key) => command::key::run(arguments, &key.command),
        CliCommand::Status(status) => command::status::run(arguments, status),
        CliCommand::Audit(audit) => command::audit::run(arguments, audit),
        CliCommand::Events(events) => command::events::run(events),
        CliCommand::Demo(demo) => command::demo::run(arguments, demo),
    }
}
