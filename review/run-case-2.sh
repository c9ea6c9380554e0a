#!/usr/bin/env bash
# Runs one of the cases 6 to 10 for its run.sh, which names the folder of the case and its record.txt. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run.
set -u
folder=$1
record=$2
program="$folder/../../target/review-2/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$folder/../../target/release/appledyke-sidecar" ]; then
    echo "could not run: build by the deploy file and by review/build-2.sh first" | tee "$record"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
"$program" "$folder" "$temporary" "$record" &
id=$!
trap 'kill -9 "$id" 2>/dev/null' INT TERM
wait "$id"
code=$?
# The program ends what it has started; should it be ended itself, that is ended here, by the ids that it left.
for file in "$temporary"/*.pid; do
    [ -e "$file" ] && kill -9 "$(basename "$file" .pid)" 2>/dev/null
done
rm -rf "$temporary"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
