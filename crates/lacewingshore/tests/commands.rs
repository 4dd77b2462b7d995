//! Command line tests: output, errors and exit codes.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use rstest::rstest;

const BINARY: &str = env!("CARGO_BIN_EXE_lacewingshore");

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn run(arguments: &[&str]) -> Output {
    let command = Command::new(BINARY)
        .args(arguments)
        .env_remove("LACEWINGSHORE_ADMIN")
        .env_remove("LACEWINGSHORE_KEY")
        .output();
    match command {
        Ok(output) => output,
        Err(error) => panic!("{BINARY}: {error}"),
    }
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
#[case::prairie(
    "prairie.ini",
    "10 pools, 5 services, 6 teams, 1 windows, 6 workspaces"
)]
#[case::karoo("karoo.ini", "10 pools, 5 services, 6 teams, 1 windows, 6 workspaces")]
fn manifest_check_examples(#[case] name: &str, #[case] counts: &str) {
    let output = run(&["manifest", "check", &example(name).to_string_lossy()]);
    let shown = text(&output.stdout);
    assert_eq!(code(&output), 0, "{}", text(&output.stderr));
    assert!(shown.contains(counts), "{shown}");
    assert!(!shown.contains("note:"), "{shown}");
}

#[test]
fn manifest_check_shrink() {
    // Guards against a `--shrink` check that misses a pool whose remaining hosts, after a loss of
    // half of them, are fewer than its budget.
    let file = example("karoo.ini");
    let output = run(&[
        "manifest",
        "check",
        &file.to_string_lossy(),
        "--shrink",
        "50",
    ]);
    let shown = text(&output.stdout);
    let expected =
        "[pool.quoting] without 6 of its hosts the pool has 6, fewer than its budget of 8";
    assert!(shown.contains(expected), "{shown}");
}

#[test]
fn serve_check_example() {
    let file = example("entry.ini");
    let output = run(&["serve", "--check", "--settings", &file.to_string_lossy()]);
    assert_eq!(code(&output), 0, "{}", text(&output.stderr));
}

#[rstest]
#[case::not_utf8(b"[deployment]\nname = \xff", "line 2: the text is not UTF-8")]
#[case::unknown_key(
    b"[deployment]\nname = a\nsize = 2",
    "line 3: [deployment] size: unknown key; known are name"
)]
#[case::empty(b"", "[deployment] the section is required")]
fn manifest_check_refused(#[case] bytes: &[u8], #[case] reason: &str) {
    let file = tempfile::NamedTempFile::new().expect("a file");
    fs::write(file.path(), bytes).expect("written");
    let path = file.path().to_string_lossy();
    let output = run(&["manifest", "check", &path]);
    assert_eq!(code(&output), 3);
    assert_eq!(
        text(&output.stderr),
        format!("lacewingshore: {path}: {reason}\n")
    );
    assert!(output.stdout.is_empty());
}

#[test]
fn manifest_check_huge_file() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    file.as_file().set_len(1 << 40).expect("a sparse file");
    let output = run(&["manifest", "check", &file.path().to_string_lossy()]);
    assert_eq!(code(&output), 3);
    assert!(text(&output.stderr).ends_with("larger than 1048576 bytes\n"));
}

#[rstest]
#[case::no_arguments(&[], 2)]
#[case::unknown_command(&["launch"], 2)]
#[case::unknown_option(&["status", "--loud"], 2)]
#[case::no_file(&["manifest", "check", "/nowhere/manifest.ini"], 1)]
#[case::no_address(&["status"], 1)]
#[case::no_key(&["--admin", "http://127.0.0.1:1", "status"], 1)]
#[case::help(&["--help"], 0)]
fn exit_code_by_failure(#[case] arguments: &[&str], #[case] expected: i32) {
    let output = run(arguments);
    assert_eq!(code(&output), expected, "{}", text(&output.stderr));
    assert_eq!(output.stderr.is_empty(), expected == 0);
}

#[test]
fn status_no_host_reachable() {
    let key = tempfile::NamedTempFile::new().expect("a file");
    fs::write(key.path(), "k1.secret").expect("written");
    let key = key.path().to_string_lossy().into_owned();
    let output = run(&[
        "--admin",
        "http://127.0.0.1:1",
        "--key-file",
        &key,
        "status",
    ]);
    assert_eq!(code(&output), 6, "{}", text(&output.stderr));
}

#[test]
fn key_mint_digest_valid_in_settings() {
    let output = run(&["key", "mint", "--json"]);
    let minted: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let digest = minted["bootstrap_key"].as_str().unwrap_or_default();
    let settings = fs::read_to_string(example("entry.ini")).expect("the example");
    let line = settings
        .lines()
        .find(|line| line.starts_with("bootstrap_key"))
        .unwrap_or_default();
    let settings = settings.replace(line, &format!("bootstrap_key = {digest}"));
    let settings = model::ServeSettings::from_ini(&settings).expect("valid settings");
    assert_eq!(settings.bootstrap_key, digest);
}

/// Guards against reports of a fault that do not say which build they are about.
#[test]
fn version_names_commit_and_platform() {
    let output = run(&["--version"]);
    assert_eq!(code(&output), 0);
    let line = text(&output.stdout);
    assert!(line.starts_with("lacewingshore "), "{line}");
    assert!(line.contains(" commit="), "{line}");
    assert!(line.contains(std::env::consts::ARCH), "{line}");
}
