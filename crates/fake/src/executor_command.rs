use std::time::Duration;

use anyhow::Result;
use argh::FromArgs;
use fake::{ExecutorFake, ExecutorSettings};

/// An executor.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "executor")]
pub(crate) struct ExecutorCommand {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "super::free_address()")]
    listen: String,
    /// requests run at once (default 8)
    #[argh(option, default = "8")]
    slots: usize,
    /// connections held at once (default 64)
    #[argh(option, default = "64")]
    connections: usize,
    /// mean service time in microseconds of bodies that don't say theirs (default 5000)
    #[argh(option, default = "5000")]
    service_us: u64,
    /// exponential service times in place of constant ones
    #[argh(switch)]
    exponential: bool,
    /// length of a reboot in milliseconds (default 500)
    #[argh(option, default = "500")]
    reboot_ms: u64,
    /// seed of the service times (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

impl ExecutorCommand {
    pub(crate) fn start(&self) -> Result<ExecutorFake> {
        let settings = ExecutorSettings {
            slots: self.slots,
            connections: self.connections,
            service: Duration::from_micros(self.service_us),
            exponential: self.exponential,
            reboot: Duration::from_millis(self.reboot_ms),
            seed: self.seed,
        };
        ExecutorFake::start(&self.listen, settings)
    }
}
