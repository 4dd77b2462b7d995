//! Passes the commit and the target of the build to the program, so that its log says which build
//! runs.

use std::{path::Path, process::Command};

/// What the build depends on besides its sources, from the folder of this crate.
const GIT_FILES: [&str; 2] = ["../../.git/HEAD", "../../.git/index"];

fn main() {
    let files = GIT_FILES.into_iter();
    for file in files.filter(|file| Path::new(file).exists()) {
        println!("cargo::rerun-if-changed={file}");
    }
    println!("cargo::rerun-if-changed=build.rs");
    let commit = commit().unwrap_or_else(|| "unknown".to_owned());
    println!("cargo::rustc-env=LACEWINGSHORE_COMMIT={commit}");
    let target = std::env::var("TARGET").unwrap_or_else(|_| "unknown".to_owned());
    println!("cargo::rustc-env=LACEWINGSHORE_TARGET={target}");
}

/// The commit that is checked out; `None` outside a repository.
fn commit() -> Option<String> {
    let mut git = Command::new("git");
    let output = git
        .args(["describe", "--always", "--dirty", "--abbrev=12"])
        .output()
        .ok()?;
    let commit = String::from_utf8(output.stdout).ok()?;
    let commit = commit.trim();
    (output.status.success() && !commit.is_empty()).then(|| commit.to_owned())
}
