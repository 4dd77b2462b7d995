//! Writes the generated code of the `wire` crate from its protocol descriptions.
//!
//! Run `cargo run -p codegen` after a change below `crates/wire/proto`. The output is
//! committed, so that the build needs no generator. `cargo run -p codegen -- --check`
//! fails when the committed code is out of date.

use std::{fs, path::Path};

use anyhow::{Context, Result, bail};

const PROTO_DIR: &str = "crates/wire/proto";
const OUTPUT_DIR: &str = "crates/wire/src/generated";
const PACKAGES: [&str; 4] = ["peer", "state", "fleet", "work"];

fn main() -> Result<()> {
    let check_only = std::env::args().any(|arg| arg == "--check");
    let scratch = std::env::temp_dir().join(format!("codegen-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let outcome = generate(&scratch).and_then(|()| publish(&scratch, check_only));
    fs::remove_dir_all(&scratch)?;
    outcome
}

fn generate(scratch: &Path) -> Result<()> {
    let files = PACKAGES.map(|package| format!("{package}.proto"));
    let descriptors = protox::compile(files, [PROTO_DIR]).context("compile the descriptions")?;
    prost_build::Config::new()
        .out_dir(scratch)
        .compile_fds(descriptors)
        .context("generate the types")
}

fn publish(scratch: &Path, check_only: bool) -> Result<()> {
    for package in PACKAGES {
        let name = format!("{package}.rs");
        let fresh = fs::read_to_string(scratch.join(&name))?;
        let target = Path::new(OUTPUT_DIR).join(&name);
        if !check_only {
            fs::write(&target, fresh)?;
            continue;
        }
        if fs::read_to_string(&target).unwrap_or_default() != fresh {
            bail!(
                "{} is out of date: run `cargo run -p codegen`",
                target.display()
            );
        }
    }
    Ok(())
}
