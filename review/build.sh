#!/bin/bash
# Builds the stand-ins and the cases. The programs of the project come from the build of the
# deploy file. Needs rustc and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stand-ins/main.rs -o target/review/cases
