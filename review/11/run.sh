#!/bin/bash
# Shows whether an acknowledged configuration is lost. Exit status: 1 the rule was broken, 0 it
# held, 2 the case could not run. TROUBLE=0 leaves out the disruptions.
here="$(cd "$(dirname "$0")" && pwd)"
root="$here/../.."
program="$root/target/release/bamboospur"
operator="$root/target/review-3/lost-ack"
[ -x "$program" ] && [ -x "$operator" ] || exit 2
folder="$(mktemp -d)" || exit 2
timeout -k 2 116 "$operator" "$program" "$folder" "$here/record.txt" "${TROUBLE:-1}"
status=$?
rm -rf "$folder"
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
