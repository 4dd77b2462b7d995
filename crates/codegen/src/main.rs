//! Generates the message types of the `wire` crate from its `.proto` files.
//!
//! Run `cargo run -p codegen` after a change in `crates/wire/proto`. The output is
//! committed so that the build doesn't run a generator. `cargo run -p codegen -- --check`
//! fails if the committed code is out of date.

use std::{fs, path::Path};

use anyhow::{Context, Result, bail};

const PROTO_DIR: &str = "crates/wire/proto";
const OUTPUT_DIR: &str = "crates/wire/src/generated";
const PACKAGES: [&str; 4] = ["peer", "state", "fleet", "work"];

fn main() -> Result<()> {
    let check_only = std::env::args().any(|arg| arg == "--check");
    let temp_dir = std::env::temp_dir().join(format!("codegen-{}", std::process::id()));
    fs::create_dir_all(&temp_dir)?;
    let outcome = generate(&temp_dir).and_then(|()| write_or_check(&temp_dir, check_only));
    fs::remove_dir_all(&temp_dir)?;
    outcome
}

fn generate(temp_dir: &Path) -> Result<()> {
    let files = PACKAGES.map(|package| format!("{package}.proto"));
    let descriptors = protox::compile(files, [PROTO_DIR]).context("compile the .proto files")?;
    prost_build::Config::new()
        .out_dir(temp_dir)
        .compile_fds(descriptors)
        .context("generate the message types")
}

fn write_or_check(temp_dir: &Path, check_only: bool) -> Result<()> {
    for package in PACKAGES {
        let name = format!("{package}.rs");
        let generated = fs::read_to_string(temp_dir.join(&name))?;
        let committed = Path::new(OUTPUT_DIR).join(&name);
        if !check_only {
            fs::write(&committed, generated)?;
            continue;
        }
        if fs::read_to_string(&committed).unwrap_or_default() != generated {
            bail!(
                "{} is out of date: run `cargo run -p codegen`",
                committed.display()
            );
        }
    }
    Ok(())
}
