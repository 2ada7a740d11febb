#!/usr/bin/env bash
# Everything a change must pass: format, lints, documentation, build and tests, of the node and of every crate.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --lib
cargo build --locked --release
cargo test --locked --workspace
# The rules hold whatever the kind of address: the tests that play servers run again over the other kinds.
for kind in v6 unix; do
    SILVERTHREAD_TEST_KIND=$kind cargo test --locked --test servers --test node --test clients --test consul
done
# Each subject of the measurements for a moment, so that none rots; the figures say nothing here.
cargo build --locked --release -p measure
timeout 300 target/release/measure all --brief
timeout 60 target/release/allocations
