//! One stand-in in a process of its own; prints `ready ADDRESS` once it listens.

mod executor_command;
mod worker_command;

use std::io::{Read, Write, stdin, stdout};

use anyhow::Result;
use argh::FromArgs;
use fake::{FakeServer, HostListFake, RelayFake, StoreFake};

use crate::{executor_command::ExecutorCommand, worker_command::WorkerCommand};

/// Stand-ins of the platform and of the targets, for tests and the demo.
#[derive(Debug, FromArgs)]
struct FakeArgs {
    /// end when standard input closes, so that no stand-in outlives its test
    #[argh(switch)]
    until_eof: bool,
    #[argh(subcommand)]
    command: FakeCommand,
}

/// Which stand-in to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum FakeCommand {
    Store(StoreCommand),
    Hosts(HostsCommand),
    Executor(ExecutorCommand),
    Relay(RelayCommand),
    Worker(WorkerCommand),
}

/// The configuration store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreCommand {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "free_address()")]
    listen: String,
}

/// The host list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hosts")]
struct HostsCommand {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "free_address()")]
    listen: String,
}

/// Forwards TCP connections over links that can be cut and delayed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "relay")]
struct RelayCommand {
    /// address to listen on for controls (default 127.0.0.1:0)
    #[argh(option, default = "free_address()")]
    listen: String,
}

fn free_address() -> String {
    "127.0.0.1:0".to_owned()
}

fn main() -> Result<()> {
    let args: FakeArgs = argh::from_env();
    match args.command {
        FakeCommand::Store(command) => {
            let fake = StoreFake::start(&command.listen)?;
            serve(fake.server(), args.until_eof)
        }
        FakeCommand::Hosts(command) => {
            let fake = HostListFake::start(&command.listen)?;
            serve(fake.server(), args.until_eof)
        }
        FakeCommand::Executor(command) => {
            let fake = command.start()?;
            serve(fake.server(), args.until_eof)
        }
        FakeCommand::Worker(command) => {
            let fake = command.start()?;
            serve(fake.server(), args.until_eof)
        }
        FakeCommand::Relay(command) => {
            let fake = RelayFake::start(&command.listen)?;
            serve(fake.server(), args.until_eof)
        }
    }
}

fn serve(server: &FakeServer, until_eof: bool) -> Result<()> {
    println!("ready {}", server.address());
    stdout().flush()?;
    if until_eof {
        stdin().read_to_end(&mut Vec::new())?;
        return Ok(());
    }
    loop {
        std::thread::park();
    }
}
