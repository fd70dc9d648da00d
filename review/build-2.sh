#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later. Needs no network: the
# dependencies are those of the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
