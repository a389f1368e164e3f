#!/bin/sh
# Exits with 1 if DRAIN was broken, 0 if it held, and 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case/../.." && pwd)
[ -x "$root/target/review-2/departure" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$root/target/review-2/departure" "$root" "$case"
