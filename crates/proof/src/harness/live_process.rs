use std::{
    env,
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};

/// Longest wait for a process to say that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How often an exit is looked for.
const EXIT_TICK: Duration = Duration::from_millis(5);

/// The programs that run in processes of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BinaryKind {
    /// An entry host.
    Lacewingshore,
    /// A stand-in.
    Fake,
}

impl BinaryKind {
    /// Path of the program, beside the directory of the running test.
    ///
    /// # Errors
    /// If it has not been built; `scripts/test` builds every program first.
    pub fn path(self) -> Result<PathBuf> {
        let name = match self {
            Self::Lacewingshore => "lacewingshore",
            Self::Fake => "fake",
        };
        let test = env::current_exe()?;
        let places = test.ancestors().skip(1).take(2);
        let found = places.map(|place| place.join(name)).find(|p| p.is_file());
        found
            .with_context(|| format!("program {name} is not built: cargo build --workspace --bins"))
    }
}

/// A process that is killed and reaped when dropped, also when the test panics.
#[derive(Debug)]
pub struct LiveProcess {
    name: String,
    child: Child,
    ready: String,
}

impl LiveProcess {
    /// Starts `program` with its errors in `log`, and waits for its line `ready ...`.
    ///
    /// # Errors
    /// If it can't be started, or ends or hangs before it is ready.
    pub fn start(name: &str, program: BinaryKind, args: &[&str], log: &Path) -> Result<Self> {
        let mut child = Command::new(program.path()?)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(log)?)
            .spawn()
            .with_context(|| format!("start {name}"))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let mut process = Self {
            name: name.to_owned(),
            child,
            ready: String::new(),
        };
        let (sender, receiver) = mpsc::channel();
        thread::Builder::new()
            .name(format!("read-{name}"))
            .spawn(move || {
                // Reads to the end, so that the process never waits for a full pipe.
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    let _ = sender.send(line);
                }
            })?;
        let deadline = Instant::now() + READY_TIMEOUT;
        while process.ready.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = receiver.recv_timeout(left) else {
                bail!("{name} did not become ready, see {}", log.display());
            };
            if let Some(ready) = line.strip_prefix("ready ") {
                process.ready = ready.to_owned();
            }
        }
        Ok(process)
    }

    /// Starts `program` with all that it prints in `log`, and waits for nothing.
    ///
    /// # Errors
    /// If it can't be started.
    pub fn spawn(name: &str, program: BinaryKind, args: &[&str], log: &Path) -> Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program.path()?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("start {name}"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            ready: String::new(),
        })
    }

    /// Whether it has ended.
    ///
    /// # Errors
    /// If that can't be asked.
    pub fn has_ended(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// What it said after `ready`.
    pub fn ready(&self) -> &str {
        &self.ready
    }

    /// Kills it at once, as a host that loses power, and reaps it.
    ///
    /// # Errors
    /// If it can't be signalled.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Stops it without its notice, as a host that is paused.
    ///
    /// # Errors
    /// If it can't be signalled.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on after [`LiveProcess::pause`].
    ///
    /// # Errors
    /// If it can't be signalled.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to shut down gracefully.
    ///
    /// # Errors
    /// If it can't be signalled.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// If it has not ended within `patience`.
    pub fn wait_exit(&mut self, patience: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + patience;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > deadline {
                bail!("{} has not ended within {patience:?}", self.name);
            }
            thread::sleep(EXIT_TICK);
        }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).with_context(|| format!("signal {}", self.name))
    }
}

impl Drop for LiveProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
