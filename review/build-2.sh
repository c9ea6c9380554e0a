#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the programs of the deploy file: the project's daemon and the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p appledyke-daemon
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.rs; do
    if [ -f "$source" ]; then
        number=$(basename "$(dirname "$source")")
        rm -f "target/review-2/case-$number"
        rustc --edition 2024 -O -o "target/review-2/case-$number" "$source"
    fi
done
