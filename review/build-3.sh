#!/bin/sh
# Builds the stand-ins of the scripted cases 11 to 15. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness review/harness-3/main.rs
