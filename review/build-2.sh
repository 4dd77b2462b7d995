#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/stand-2/main.rs -o target/review-2/stand-2
