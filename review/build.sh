#!/bin/sh
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
CARGO_TARGET_DIR=target/review exec cargo build --release --locked --manifest-path review/standins/Cargo.toml
