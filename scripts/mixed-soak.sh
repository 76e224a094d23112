#!/usr/bin/env bash
# Builds an earlier commit beside the tree and plays the soak with processes of both builds.
# Usage: scripts/mixed-soak.sh COMMIT [SEEDS] [SECONDS PER SEED] [FIRST SEED] [GATEWAYS]
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:?the commit of the older build}
shift
sources=target/older/$commit
if [[ ! -d $sources ]]; then
    git clone --quiet --no-checkout . "$sources"
    git -C "$sources" checkout --quiet "$commit"
fi
cargo build --quiet --release --locked --bin calicohoist --manifest-path "$sources/Cargo.toml"
export CALICOHOIST_SOAK_OLDER_BINARY="$PWD/$sources/target/release/calicohoist"
exec scripts/soak.sh "$@"
