#!/bin/sh
# Plays case N for its run.sh, which names the record: `run-case.sh N`. Exit 0: the rule held; 1: it was broken; 2: the case could not run.
cd "$(dirname "$0")/.." || exit 2
ROOT=$(pwd)
CASE=$ROOT/target/review/case-$1
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
TEMP=$(mktemp -d) || exit 2
export ROOT RUN TEMP
if [ ! -x "$CASE" ] || [ ! -x target/release/appledyke-sidecar ]; then
    echo "cannot run: build by the deploy file and by review/build.sh first" >&2
    exit 2
fi
"$CASE" &
PID=$!
# The stand-in ends its sidecars itself; should it be ended, they are ended here by the ids that it left.
trap 'kill "$PID" 2>/dev/null' INT TERM
wait "$PID"
CODE=$?
for id in $(cat "$TEMP"/*.pid 2>/dev/null); do kill -9 "$id" 2>/dev/null; done
rm -rf "$TEMP"
case $CODE in 0 | 1 | 2) exit $CODE ;; *) exit 2 ;; esac
