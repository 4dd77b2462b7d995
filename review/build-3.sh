#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/9 to review/13: one program, without libraries. The
# program of the project itself is built by the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-3 review/stand-3/main.rs
