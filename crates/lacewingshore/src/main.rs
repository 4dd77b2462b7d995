//! The lacewingshore program: one binary for entry hosts and for operators.
//!
//! Start with [`args`], the commands. `serve` runs an entry host and is wired in
//! [`serve`]; every other command is a client of the administration interface, or works
//! offline. Exit codes are in [`exit`] and in `docs/GETTING-STARTED.md`.

mod args;
mod catalogue;
mod command;
mod exit;
mod log_setup;
mod serve;

use std::process::ExitCode;

use args::{Arguments, Command};
use exit::CommandError;

fn main() -> ExitCode {
    let arguments = match Arguments::from_process() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let Err(error) = run(arguments.command) else {
        return ExitCode::SUCCESS;
    };
    error.report();
    error.exit_code()
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve(arguments) => command::serve::run(&arguments),
        Command::Events(arguments) => command::events::run(&arguments),
    }
}
