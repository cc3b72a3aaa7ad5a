#!/usr/bin/env bash
# Passes the tests: builds the programs that tests start, then runs every test.
set -eu
cd "$(dirname "$0")/.."
cargo build --quiet --workspace --bins
cargo test --workspace "$@"
