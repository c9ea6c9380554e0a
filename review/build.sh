#!/bin/sh
# Builds what the cases start beside the deploy file's build: the stand-ins, into target/review, which need the toolchain
# alone and no package, and the project's daemon, which case 3 starts.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$case"
done
cargo build --release --locked -p appledyke-daemon
