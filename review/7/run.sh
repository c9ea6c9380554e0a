#!/usr/bin/env bash
# Plays this case. What was sent, answered and run is written to record.txt beside this script. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case-2.sh" "$folder" "$folder/record.txt"
