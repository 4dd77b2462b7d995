use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::{build_info, exit::USAGE_CODE};

/// Fleet capacity and maintenance manager: run an entry host, or operate a deployment.
///
/// Commands that talk to a deployment need --admin or LACEWINGSHORE_ADMIN, and a key in
/// --key-file or LACEWINGSHORE_KEY. Exit codes: 0 done, 1 failed, 2 wrong arguments,
/// 3 invalid file or change, 4 conflict with another change, 5 not accepted yet, 6 no entry
/// host serves, 7 key refused, 8 audit trail tampered with. Alone, --version prints the version,
/// the commit and the platform of this build.
#[derive(FromArgs)]
pub struct CliArguments {
    /// administration address of an entry host as http://ip:port; several are separated by
    /// commas and tried in turn
    #[argh(option, arg_name = "urls")]
    pub admin: Option<String>,

    /// file that holds the administration key
    #[argh(option, arg_name = "file")]
    pub key_file: Option<PathBuf>,

    /// seconds for which a change is repeated that is not accepted yet (default 30)
    #[argh(option, default = "30")]
    pub patience: u64,

    #[argh(subcommand)]
    pub command: CliCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum CliCommand {
    Serve(ServeArguments),
    Cell(CellArguments),
    Manifest(ManifestArguments),
    Key(KeyArguments),
    Status(StatusArguments),
    Audit(AuditArguments),
    Events(EventArguments),
    Demo(DemoArguments),
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

/// Run a process of a cell on a platform with a store of leases, until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "cell")]
pub struct CellArguments {
    /// settings of this process, see docs/SETTINGS.md; left out, the file that
    /// LACEWINGSHORE_SETTINGS names
    #[argh(option, arg_name = "file")]
    pub settings: Option<PathBuf>,

    /// check the settings, say so and exit
    #[argh(switch)]
    pub check: bool,
}

/// Check, apply, show or compare the manifest, see docs/MANIFEST.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "manifest")]
pub struct ManifestArguments {
    #[argh(subcommand)]
    pub command: ManifestCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ManifestCommand {
    Check(ManifestCheckArguments),
    Apply(ManifestApplyArguments),
    Show(ManifestShowArguments),
    Diff(ManifestDiffArguments),
}

/// Check a manifest without talking to a deployment.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct ManifestCheckArguments {
    /// the manifest
    #[argh(positional)]
    pub file: PathBuf,

    /// advise on what happens when each pool loses this part of its hosts, in percent
    #[argh(option, default = "0")]
    pub shrink: u32,
}

/// Make a manifest the one in force; returns once it is accepted.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ManifestApplyArguments {
    /// the manifest
    #[argh(positional)]
    pub file: PathBuf,

    /// revision that the manifest was made against; refused if another one is in force
    #[argh(option)]
    pub base: Option<u64>,

    /// id of the change; the one of an earlier try makes repeating it harmless
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Print the manifest in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ManifestShowArguments {}

/// Print what applying a manifest would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct ManifestDiffArguments {
    /// the manifest
    #[argh(positional)]
    pub file: PathBuf,
}

/// Grant, withdraw, list or mint keys, see docs/KEYS.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyArguments {
    #[argh(subcommand)]
    pub command: KeyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum KeyCommand {
    Grant(KeyGrantArguments),
    Withdraw(KeyWithdrawArguments),
    List(KeyListArguments),
    Mint(KeyMintArguments),
}

/// Grant a key to a team or to an operator; the key is shown once.
#[derive(FromArgs)]
#[argh(subcommand, name = "grant")]
pub struct KeyGrantArguments {
    /// team whose work the key admits
    #[argh(option)]
    pub team: Option<String>,

    /// grant an administration key
    #[argh(switch)]
    pub operator: bool,

    /// how long the key works, such as 30d; left out, until it is withdrawn
    #[argh(option, arg_name = "time")]
    pub expires: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Withdraw a key; returns once it works nowhere any more.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct KeyWithdrawArguments {
    /// public part of the key, before the dot
    #[argh(positional)]
    pub key_id: String,

    /// id of the change; the one of an earlier try makes repeating it harmless
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List the granted keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct KeyListArguments {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Make a bootstrap key and print its digest for the settings; talks to nobody.
#[derive(FromArgs)]
#[argh(subcommand, name = "mint")]
pub struct KeyMintArguments {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show entry hosts, pools, hosts and teams.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {
    /// list every host, not only those out of service
    #[argh(switch)]
    pub hosts: bool,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the audit trail and check that nobody edited it.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct AuditArguments {
    /// entries to show, from the newest; all are checked
    #[argh(option, default = "50")]
    pub last: usize,

    /// the trail of how team limits were divided, in place of the one of changes
    #[argh(switch)]
    pub grants: bool,

    /// entry that the trail must hold, as SEQUENCE:DIGEST from an earlier run
    #[argh(option, arg_name = "entry")]
    pub expect: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Print the catalogue of log events.
#[derive(FromArgs)]
#[argh(subcommand, name = "events")]
pub struct EventArguments {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Operate a running fleet of stand-ins through its main job and report; scripts/demo
/// starts the fleet, the entry hosts and the load.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArguments {
    /// changed manifest to apply after a third of the time
    #[argh(option, arg_name = "file")]
    pub manifest: PathBuf,

    /// file with the key to withdraw after two thirds of the time
    #[argh(option, arg_name = "file")]
    pub withdraw: PathBuf,

    /// addresses at which callers are answered, separated by commas
    #[argh(option, arg_name = "urls")]
    pub callers: String,

    /// addresses of the stand-in executors, separated by commas
    #[argh(option, arg_name = "urls")]
    pub runs: String,

    /// service that gets a batch of jobs
    #[argh(option)]
    pub service: String,

    /// file with the key that the jobs are submitted with
    #[argh(option, arg_name = "file")]
    pub job_key: PathBuf,

    /// report that the load tool writes when it ends; may be repeated
    #[argh(option, arg_name = "file")]
    pub load: Vec<PathBuf>,

    /// how long the load runs, in seconds
    #[argh(option, default = "20")]
    pub seconds: u64,
}

impl CliArguments {
    /// Parses the command line. Prints help and usage errors, and returns their exit code as the
    /// error.
    #[allow(clippy::print_stderr)]
    pub fn from_process() -> Result<Self, ExitCode> {
        let texts: Vec<String> = std::env::args_os()
            .map(|text| text.to_string_lossy().into_owned())
            .collect();
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        let (_, rest) = texts.split_first().unwrap_or((&"", &[]));
        if rest == ["--version"] {
            let (version, commit, target) =
                (build_info::VERSION, build_info::COMMIT, build_info::TARGET);
            println!("lacewingshore {version} commit={commit} target={target}");
            return Err(ExitCode::SUCCESS);
        }
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
