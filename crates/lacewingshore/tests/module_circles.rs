//! Tests of `scripts/module-circles`, which finds cyclic dependencies between files of a crate.

use std::{fs, path::Path, process::Command};

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scripts/module-circles");

/// Runs the script on a crate of these files; returns whether it found no cycle, and its output.
fn circles(files: &[(&str, &str)]) -> anyhow::Result<(bool, String)> {
    let folder = tempfile::tempdir()?;
    for (name, text) in files {
        let path = folder.path().join(name);
        fs::create_dir_all(path.parent().unwrap_or(Path::new("/")))?;
        fs::write(path, text)?;
    }
    let output = Command::new(SCRIPT).arg(folder.path()).output()?;
    let said = String::from_utf8(output.stdout)?;
    Ok((output.status.success(), said))
}

/// Guards against missed cycles whose `use` paths are in trees, span several lines, or begin at
/// another module.
#[test]
fn circles_found_through_trees() -> anyhow::Result<()> {
    let (clean, said) = circles(&[
        ("lib.rs", "mod a;\nmod part;\n"),
        (
            "a.rs",
            "use crate::{\n    other::X,\n    part::{b::{self, B}},\n};\n",
        ),
        ("part/mod.rs", "mod b;\nmod c;\n"),
        ("part/b.rs", "use super::c::C;\n"),
        ("part/c.rs", "fn run() {\n    super::super::a::run();\n}\n"),
    ])?;
    assert!(!clean);
    let named = |file: &str| said.lines().any(|line| line == file);
    assert!(named("a") && named("part/b") && named("part/c"), "{said}");
    Ok(())
}

/// Guards against false cycles where a file only uses the root of its module, or names another
/// file in a comment.
#[test]
fn circles_not_seen_in_roots() -> anyhow::Result<()> {
    let (clean, said) = circles(&[
        ("lib.rs", "mod a;\nmod b;\npub use a::A;\n"),
        ("a.rs", "use crate::b::B;\n"),
        ("b.rs", "// See crate::a::A.\nuse crate::A;\n"),
    ])?;
    assert!(clean, "{said}");
    Ok(())
}
