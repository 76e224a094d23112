#!/bin/sh
# Builds the stand-ins of the second review, which need no crate.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/common-2/Cargo.toml --target-dir target/review-2
