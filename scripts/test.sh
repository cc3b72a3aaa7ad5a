#!/usr/bin/env bash
# Builds the programs that the end-to-end tests start, then runs all tests of the workspace.
# Arguments are passed to cargo test.
set -eu
cd "$(dirname "$0")/.."
cargo build --quiet --workspace --bins
cargo test --workspace "$@"
