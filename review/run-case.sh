#!/bin/bash
# Usage: run-case.sh CASE FOLDER. Runs a case and leaves its record in the folder. Exits with 1 if
# the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the disruption
# is left out.
cd "$(dirname "$0")/.." || exit 2
for program in target/release/bamboospur target/review/cases; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of the deploy file and review/build.sh"
        exit 2
    fi
done
# The case and all processes that it starts are one process group.
set -m
target/review/cases "$1" "$2/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
