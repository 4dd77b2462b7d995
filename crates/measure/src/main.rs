//! Measures what entry hosts spend and keep, in real processes at chosen sizes.
//!
//! `measure sizes` runs entry hosts at several sizes and prints what one of them spends on
//! control: processor, memory, bytes and store calls. The last row is the target size itself;
//! `docs/MEASURES.md` has its figures.

mod bench_fleet;
mod bench_size;
mod node_meter;
mod size_table;

use anyhow::Result;
use argh::FromArgs;

/// Measure the system in real processes.
#[derive(Debug, FromArgs)]
struct MeasureArgs {
    #[argh(subcommand)]
    command: MeasureCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum MeasureCommand {
    Sizes(SizesCommand),
    Replace(ReplaceCommand),
}

/// Control cost of an entry host by size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sizes")]
pub struct SizesCommand {
    /// seconds that each row is measured (default 20)
    #[argh(option, default = "20.0")]
    pub seconds: f64,
    /// only rows whose name contains this
    #[argh(option, default = "String::new()")]
    pub only: String,
    /// file for the rows as JSON
    #[argh(option)]
    pub json: Option<String>,
}

/// Cost of replacing all entry hosts at once at the target size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replace")]
struct ReplaceCommand {
    /// seconds from the start that are measured (default 15)
    #[argh(option, default = "15.0")]
    seconds: f64,
}

fn main() -> Result<()> {
    let args: MeasureArgs = argh::from_env();
    match args.command {
        MeasureCommand::Sizes(command) => size_table::run(&command),
        MeasureCommand::Replace(command) => size_table::run_replace(command.seconds),
    }
}
