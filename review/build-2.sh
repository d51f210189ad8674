#!/bin/sh
# Builds the cases of the second review and their stand-ins, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.rs" ]; then
        rustc --edition 2024 -O -A dead_code "$case/case.rs" -o "target/review-2/case-$(basename "$case")"
    fi
done
