use std::time::Duration;

use anyhow::Result;
use argh::FromArgs;
use fake::{WorkerFake, WorkerSettings};

/// A worker.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "worker")]
pub(crate) struct WorkerCommand {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "super::free_address()")]
    listen: String,
    /// processors (default 16)
    #[argh(option, default = "16")]
    cores: u32,
    /// memory in MB (default 32768)
    #[argh(option, default = "32768")]
    memory_mb: u64,
    /// accelerators (default 0)
    #[argh(option, default = "0")]
    accelerators: u32,
    /// run time in milliseconds of tasks that don't say theirs (default 200)
    #[argh(option, default = "200")]
    run_ms: u64,
    /// length of a reboot in milliseconds (default 500)
    #[argh(option, default = "500")]
    reboot_ms: u64,
}

impl WorkerCommand {
    pub(crate) fn start(&self) -> Result<WorkerFake> {
        let settings = WorkerSettings {
            cores: self.cores,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
            run_time: Duration::from_millis(self.run_ms),
            reboot: Duration::from_millis(self.reboot_ms),
        };
        WorkerFake::start(&self.listen, settings)
    }
}
