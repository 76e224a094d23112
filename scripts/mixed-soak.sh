#!/usr/bin/env bash
# Runs the soak test on a fleet that mixes processes of the work tree and of an older COMMIT.
#
# Usage: scripts/mixed-soak.sh COMMIT [SEEDS] [SECONDS PER SEED] [FIRST SEED] [GATEWAYS]
#
# The older commit is checked out and built in target/older/COMMIT. The other arguments are those
# of scripts/soak.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:?missing argument COMMIT}
shift
older_tree=target/older/$commit
if [[ ! -d $older_tree ]]; then
    git clone --quiet --no-checkout . "$older_tree"
    git -C "$older_tree" checkout --quiet "$commit"
fi
cargo build --quiet --release --locked --bin calicohoist --manifest-path "$older_tree/Cargo.toml"
export CALICOHOIST_SOAK_OLDER_BINARY="$PWD/$older_tree/target/release/calicohoist"
exec scripts/soak.sh "$@"
