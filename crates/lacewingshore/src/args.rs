use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::exit::USAGE_CODE;

/// Fleet capacity and maintenance manager: run an entry host, or operate a deployment.
///
/// Commands that talk to a deployment take the address of any entry host's administration
/// interface from --admin or LACEWINGSHORE_ADMIN, and the key from --key-file or
/// LACEWINGSHORE_KEY.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Serve(ServeArguments),
    Events(EventArguments),
}

/// Run an entry host until SIGTERM, which shuts it down gracefully.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeArguments {
    /// settings of this entry host, see docs/SETTINGS.md
    #[argh(option, arg_name = "file")]
    pub settings: PathBuf,

    /// check the settings, say so and exit
    #[argh(switch)]
    pub check: bool,
}

/// Print the catalogue of log events.
#[derive(FromArgs)]
#[argh(subcommand, name = "events")]
pub struct EventArguments {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Arguments {
    /// Reads the command line; help and usage errors are printed and end the process.
    #[allow(clippy::print_stderr)]
    pub fn from_process() -> Result<Self, ExitCode> {
        let texts: Vec<String> = std::env::args_os()
            .map(|text| text.to_string_lossy().into_owned())
            .collect();
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        let (_, rest) = texts.split_first().unwrap_or((&"", &[]));
        Self::from_args(&["lacewingshore"], rest).map_err(|exit| {
            if exit.status.is_ok() {
                print!("{}", exit.output);
                return ExitCode::SUCCESS;
            }
            eprint!("{}", exit.output);
            ExitCode::from(USAGE_CODE)
        })
    }
}
