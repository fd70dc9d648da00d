#!/usr/bin/env bash
# Builds what the scripts of cases 11 and up start, besides the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
