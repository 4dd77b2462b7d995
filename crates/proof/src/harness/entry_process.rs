use std::{
    fmt::Write,
    fs,
    path::{Path, PathBuf},
};

use anyhow::Result;

use super::{BinaryKind, LiveProcess};

/// Where one entry host listens and whom it knows; kept over its restarts.
#[derive(Clone, Debug, Default)]
pub struct EntryPlace {
    /// Its id.
    pub member: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address for callers.
    pub caller: String,
    /// Address for operators.
    pub admin: String,
    /// Address for other entry hosts.
    pub peer: String,
    /// The other entry hosts, each with the address at which this one dials it.
    pub known: Vec<(String, String)>,
    /// URL of the store as this entry host reaches it.
    pub store_url: String,
    /// URL of the host list.
    pub host_list_url: String,
    /// Digest of the first administration key.
    pub bootstrap_key: String,
    /// Further lines of settings by section, such as `("peers", "lease_length = 3s")`.
    pub extra: Vec<(String, String)>,
}

impl EntryPlace {
    /// Base URL for callers.
    pub fn caller_url(&self) -> String {
        format!("http://{}", self.caller)
    }

    /// Base URL for operators.
    pub fn admin_url(&self) -> String {
        format!("http://{}", self.admin)
    }

    fn settings(&self) -> String {
        let known: Vec<String> = self
            .known
            .iter()
            .map(|(member, address)| format!("{member} {address}"))
            .collect();
        let lines = [
            ("entry", format!("member = {}", self.member)),
            ("entry", format!("data_centre = {}", self.data_centre)),
            ("entry", format!("address = {}", self.caller)),
            ("admin", format!("address = {}", self.admin)),
            ("admin", format!("bootstrap_key = {}", self.bootstrap_key)),
            ("peers", format!("address = {}", self.peer)),
            ("peers", format!("known = {}", known.join(", "))),
            ("platform", format!("store_url = {}", self.store_url)),
            (
                "platform",
                format!("host_list_url = {}", self.host_list_url),
            ),
            ("log", "level = info".to_owned()),
        ];
        let mut text = String::new();
        for section in ["entry", "admin", "peers", "platform", "log", "limits"] {
            let _ = writeln!(text, "[{section}]");
            let own = lines.iter().filter(|(of, _)| *of == section);
            own.for_each(|(_, line)| {
                let _ = writeln!(text, "{line}");
            });
            let extra = self.extra.iter().filter(|(of, _)| of == section);
            extra.for_each(|(_, line)| {
                let _ = writeln!(text, "{line}");
            });
        }
        text
    }
}

/// One entry host in a process of its own.
#[derive(Debug)]
pub struct EntryProcess {
    /// Where it listens.
    pub place: EntryPlace,
    /// The process; `None` while it is down.
    pub process: Option<LiveProcess>,
    directory: PathBuf,
}

impl EntryProcess {
    /// An entry host that is not started; its files go into `directory`.
    pub fn new(place: EntryPlace, directory: &Path) -> Self {
        Self {
            place,
            process: None,
            directory: directory.to_owned(),
        }
    }

    /// Starts it and waits until it listens.
    ///
    /// # Errors
    /// If it does not become ready.
    pub fn start(&mut self) -> Result<()> {
        let member = &self.place.member;
        let settings = self.directory.join(format!("{member}.ini"));
        fs::write(&settings, self.place.settings())?;
        let log = self.log_path();
        let path = settings.display().to_string();
        let args = ["serve", "--settings", &path];
        self.process = Some(LiveProcess::start(
            member,
            BinaryKind::Lacewingshore,
            &args,
            &log,
        )?);
        Ok(())
    }

    /// Kills it at once.
    ///
    /// # Errors
    /// If it can't be signalled.
    pub fn kill(&mut self) -> Result<()> {
        match self.process.take() {
            Some(mut process) => process.kill(),
            None => Ok(()),
        }
    }

    /// Its log over all its lives.
    pub fn log_path(&self) -> PathBuf {
        self.directory.join(format!("{}.log", self.place.member))
    }
}
