#!/bin/sh
# Builds the stand-ins and drivers of all cases with the compiler alone, below target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/main.rs; do
    [ -f "$source" ] || continue
    case=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O "$source" -o "target/review/case-$case"
done
