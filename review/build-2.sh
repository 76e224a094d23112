#!/bin/sh
# Builds the stand-ins and cases of the second review with the compiler alone, below target/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2/release
mkdir -p "$out"
rustc --edition 2024 -O --crate-type rlib --crate-name review_2 --out-dir "$out" \
    review/common-2/src/lib.rs
for source in review/common-2/src/bin/*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O --extern review_2="$out/libreview_2.rlib" -o "$out/$name" "$source"
done
