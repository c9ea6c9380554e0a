#!/usr/bin/env bash
# Runs one of the cases 6 to 10, whose folder is the argument, with a temporary folder of its own. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd) || exit 2
program="$folder/../../target/review-2/case-$(basename "$folder")"
[ -x "$program" ] || { echo "could not run: review/build-2.sh has not built it"; exit 2; }
temporary=$(mktemp -d) || exit 2
if [ -n "${KEEP:-}" ]; then echo "$temporary"; else trap 'rm -rf "$temporary"' EXIT; fi
"$program" "$folder" "$temporary"
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
