#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. Needs the build of the deploy file first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/lost-ack review/stand-ins-3/lost_ack.rs
