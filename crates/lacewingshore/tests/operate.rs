//! Operator commands against one entry host, in separate processes, with fakes of the platform.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, Output, Stdio},
    thread,
    time::Duration,
};

use fake::{HostListFake, StoreFake, StoreFaults};
use tempfile::TempDir;

const BINARY: &str = env!("CARGO_BIN_EXE_lacewingshore");
const MANIFEST: &str = "\
[deployment]
name = trial
[pool.quote]
role = executor
size = 8
budget = 6
[service.quotes]
pool = quote
[team.sales]
share = 1
limit = 10
";

/// Starts an entry host; returns its process and the URL of its administration interface.
fn start_host(settings: &Path) -> anyhow::Result<(Child, String)> {
    let mut host = Command::new(BINARY)
        .args(["serve", "--settings"])
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()?;
    let mut line = String::new();
    if let Some(output) = host.stdout.take() {
        BufReader::new(output).read_line(&mut line)?;
    }
    let admin = line
        .split_whitespace()
        .find_map(|word| word.strip_prefix("admin="));
    Ok((host, format!("http://{}", admin.unwrap_or_default())))
}

/// Polls `is_true` until it holds, for at most 30 seconds.
fn eventually(what: &str, mut is_true: impl FnMut() -> bool) {
    for _ in 0..300 {
        if is_true() {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("never: {what}");
}

/// A running entry host with fakes of the platform; killed when dropped.
struct EntryHostFixture {
    host: Child,
    admin: String,
    dir: TempDir,
    store: StoreFake,
    _hosts: HostListFake,
}

impl Drop for EntryHostFixture {
    fn drop(&mut self) {
        self.kill();
    }
}

impl EntryHostFixture {
    fn start() -> anyhow::Result<Self> {
        let store = StoreFake::start("127.0.0.1:0")?;
        let hosts = HostListFake::start("127.0.0.1:0")?;
        let dir = tempfile::tempdir()?;
        let minted = Command::new(BINARY)
            .args(["key", "mint", "--json"])
            .output()?;
        let minted: serde_json::Value = serde_json::from_slice(&minted.stdout)?;
        let text = |name: &str| minted[name].as_str().unwrap_or_default().to_owned();
        fs::write(dir.path().join("key"), text("key"))?;
        let settings = format!(
            "[entry]\nmember = e1\ndata_centre = north\naddress = 127.0.0.1:0\n\
             [admin]\naddress = 127.0.0.1:0\nbootstrap_key = {}\n\
             [peers]\naddress = 127.0.0.1:0\n\
             [platform]\nstore_url = {}\nhost_list_url = {}\n\
             [log]\nfile = {}\n",
            text("bootstrap_key"),
            store.url(),
            hosts.url(),
            dir.path().join("log").display()
        );
        let file = dir.path().join("entry.ini");
        fs::write(&file, settings)?;
        let (host, admin) = start_host(&file)?;
        Ok(Self {
            host,
            admin,
            dir,
            store,
            _hosts: hosts,
        })
    }

    fn kill(&mut self) {
        let _ = self.host.kill();
        let _ = self.host.wait();
    }

    /// Kills the entry host and starts it again; only its settings file remains.
    fn restart(&mut self) -> anyhow::Result<()> {
        self.kill();
        let file = self.dir.path().join("entry.ini");
        (self.host, self.admin) = start_host(&file)?;
        Ok(())
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let output = Command::new(BINARY)
            .env("LACEWINGSHORE_ADMIN", &self.admin)
            .arg("--key-file")
            .arg(self.dir.path().join("key"))
            .args(arguments)
            .output();
        match output {
            Ok(output) => output,
            Err(error) => panic!("{BINARY}: {error}"),
        }
    }

    /// Runs a command that must succeed; returns its standard output.
    fn run_ok(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        let shown = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {shown}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.dir.path().join(name);
        let _ = fs::write(&path, text);
        path.to_string_lossy().into_owned()
    }
}

#[test]
fn commands_against_one_host() {
    let fixture = EntryHostFixture::start().expect("an entry host");
    let operator = fixture.run_ok(&["key", "grant", "--operator"]);
    assert_eq!(
        fixture.run(&["key", "list"]).status.code(),
        Some(7),
        "the bootstrap key is used up"
    );
    fixture.write("key", &operator);

    let manifest = fixture.write("manifest.ini", MANIFEST);
    assert!(
        fixture
            .run_ok(&["manifest", "apply", &manifest])
            .contains("revision 2 is in force")
    );
    assert!(
        fixture
            .run_ok(&["manifest", "apply", &manifest])
            .contains("nothing to change")
    );
    assert!(
        fixture
            .run_ok(&["manifest", "show"])
            .contains("[team.sales]\nlimit = 10")
    );

    let changed = fixture.write("changed.ini", &MANIFEST.replace("limit = 10", "limit = 20"));
    let difference = fixture.run_ok(&["manifest", "diff", &changed]);
    assert_eq!(
        difference,
        "against revision 2\n[team.sales]\n- limit = 10\n+ limit = 20\n"
    );
    let stale = fixture.run(&["manifest", "apply", &changed, "--base", "1"]);
    assert_eq!(
        stale.status.code(),
        Some(4),
        "{}",
        String::from_utf8_lossy(&stale.stderr)
    );
    let apply = [
        "manifest",
        "apply",
        &changed,
        "--base",
        "2",
        "--change-id",
        "release-1",
    ];
    assert!(fixture.run_ok(&apply).contains("revision 3 is in force"));
    assert!(
        fixture.run_ok(&apply).contains("revision 3 is in force"),
        "repeating is harmless"
    );

    let invalid = fixture.write("invalid.ini", &MANIFEST.replace("share = 1", "share = 0"));
    let refused = fixture.run(&["manifest", "apply", &invalid]);
    assert_eq!(refused.status.code(), Some(3));

    let key = fixture.run_ok(&["key", "grant", "--team", "sales", "--expires", "30d"]);
    let key_id = key.split('.').next().unwrap_or_default();
    assert!(fixture.run_ok(&["key", "list"]).contains(key_id));
    assert!(
        fixture
            .run_ok(&["key", "withdraw", key_id])
            .contains("is withdrawn")
    );
    assert!(!fixture.run_ok(&["key", "list"]).contains(key_id));
    let unknown = fixture.run(&["key", "withdraw", "k000"]);
    assert_eq!(unknown.status.code(), Some(3));

    let status = fixture.run_ok(&["status"]);
    assert!(status.contains("deployment trial"), "{status}");
    assert!(status.contains("BELOW BUDGET"), "{status}");
    let json: serde_json::Value =
        serde_json::from_str(&fixture.run_ok(&["status", "--json"])).expect("JSON");
    assert_eq!(json["status"]["teams"][0]["limit"], 20);
}

#[test]
fn audit_shows_difference_and_checks_digest() {
    // Guards against an audit trail that lacks the difference of a change, and against an
    // `--expect` that rejects the right digest or accepts a wrong one (exit code 8).
    let fixture = EntryHostFixture::start().expect("an entry host");
    let manifest = fixture.write("manifest.ini", MANIFEST);
    fixture.run_ok(&["manifest", "apply", &manifest]);
    let changed = fixture.write("changed.ini", &MANIFEST.replace("limit = 10", "limit = 20"));
    fixture.run_ok(&["manifest", "apply", &changed]);
    let mut trail = String::new();
    eventually("the change is audited", || {
        trail = fixture.run_ok(&["audit"]);
        trail.contains("+limit = 20")
    });
    assert!(trail.contains("-limit = 10; +limit = 20;"), "{trail}");
    let newest = trail
        .split_whitespace()
        .last()
        .unwrap_or_default()
        .to_owned();
    fixture.run_ok(&["audit", "--expect", &newest]);
    let (sequence, _) = newest.split_once(':').unwrap_or_default();
    let other = format!("{sequence}:{}", "00".repeat(32));
    assert_eq!(
        fixture.run(&["audit", "--expect", &other]).status.code(),
        Some(8)
    );
}

#[test]
fn audit_after_loss_of_every_host() {
    // The only entry host dies after accepting a change, before it could write the audit trail.
    // Its successor must add the change to the trail from the store alone.
    let mut fixture = EntryHostFixture::start().expect("an entry host");
    let manifest = fixture.write("manifest.ini", MANIFEST);
    let apply = [
        "manifest",
        "apply",
        &manifest,
        "--change-id",
        "the-last-change",
    ];
    fixture.run_ok(&apply);
    fixture.restart().expect("a restarted entry host");
    let mut trail = serde_json::Value::Null;
    eventually("the change is audited", || {
        let output = fixture.run(&["audit", "--json"]);
        trail = serde_json::from_slice(&output.stdout).unwrap_or_default();
        trail.to_string().contains("the-last-change")
    });
    let entries = trail["entries"].as_array().cloned().unwrap_or_default();
    let is_change = |entry: &&serde_json::Value| entry["change_id"] == "the-last-change";
    assert_eq!(entries.iter().filter(is_change).count(), 1);
    assert_eq!(trail["faults"], serde_json::json!([]));
    assert!(
        fixture
            .run_ok(&["manifest", "show"])
            .contains("[team.sales]")
    );
}

#[test]
fn withdraw_while_store_is_down() {
    // While the store is down, the withdrawal of a key can't be recorded and must not be
    // reported as done. Once the store is back, the same change id withdraws the key once.
    let fixture = EntryHostFixture::start().expect("an entry host");
    let manifest = fixture.write("manifest.ini", MANIFEST);
    fixture.run_ok(&["manifest", "apply", &manifest]);
    let key = fixture.run_ok(&["key", "grant", "--team", "sales"]);
    let key_id = key.split('.').next().unwrap_or_default();
    fixture.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let withdraw = [
        "--patience",
        "1",
        "key",
        "withdraw",
        key_id,
        "--change-id",
        "w-1",
    ];
    let output = fixture.run(&withdraw);
    let code = output.status.code();
    assert!(code == Some(5) || code == Some(6), "{code:?}");
    fixture.store.set_faults(StoreFaults::default());
    eventually("the key is withdrawn", || {
        fixture.run(&withdraw).status.success()
    });
    assert!(!fixture.run_ok(&["key", "list"]).contains(key_id));
    fixture.run_ok(&withdraw);
}

#[test]
fn commands_first_address_down() {
    // The first of the named entry hosts is down; commands must fail over to the next.
    let mut fixture = EntryHostFixture::start().expect("an entry host");
    fixture.admin = format!("http://127.0.0.1:1,{}", fixture.admin);
    let manifest = fixture.write("manifest.ini", MANIFEST);
    fixture.run_ok(&["manifest", "apply", &manifest]);
    let status = fixture.run_ok(&["status"]);
    assert!(
        status.contains("no answer from http://127.0.0.1:1"),
        "{status}"
    );
    assert!(status.contains("deployment trial"), "{status}");
}

#[test]
fn audit_large_manifest() {
    // A manifest that exceeds the limit of the change log is applied at once. The trail must
    // still record its change id, author and subject.
    let fixture = EntryHostFixture::start().expect("an entry host");
    let teams = (0..300).map(|n| format!("[team.member-{n}]\nshare = 1\nlimit = 160\n"));
    let text = format!("{MANIFEST}{}", teams.collect::<String>());
    let manifest = fixture.write("manifest.ini", &text);
    fixture.run_ok(&[
        "manifest",
        "apply",
        &manifest,
        "--change-id",
        "first-release",
    ]);
    let changed = fixture.write(
        "changed.ini",
        &text.replacen("limit = 160", "limit = 150", 1),
    );
    fixture.run_ok(&[
        "manifest",
        "apply",
        &changed,
        "--change-id",
        "second-release",
    ]);
    let mut entries = Vec::new();
    eventually("both releases are audited", || {
        let output = fixture.run(&["audit", "--json"]);
        let trail: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        entries = trail["entries"].as_array().cloned().unwrap_or_default();
        let has = |id: &str, subject: &str| {
            let found = |entry: &serde_json::Value| {
                entry["change_id"] == id && entry["subject"].to_string().contains(subject)
            };
            entries.iter().any(found)
        };
        has("first-release", "manifest")
            && has("first-release", "large change")
            && has("second-release", "manifest")
    });
    let second = entries
        .iter()
        .find(|entry| entry["change_id"] == "second-release");
    let difference = second
        .map(|entry| entry["difference"].to_string())
        .unwrap_or_default();
    assert!(difference.contains("+limit = 150;"), "{difference}");
    assert!(
        !entries
            .iter()
            .any(|entry| entry["subject"] == "lost changes"),
        "{entries:#?}"
    );
}
