#!/usr/bin/env bash
# Plays the soak of real processes with fresh seeds.
# Usage: scripts/soak.sh [SEEDS] [SECONDS PER SEED] [FIRST SEED] [GATEWAYS]
# With CALICOHOIST_SOAK_OLDER_BINARY two builds run side by side, see scripts/mixed-soak.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-10}
seconds=${2:-20}
first=${3:-$(date +%s)}
export CALICOHOIST_SOAK_SEEDS="$first..$((first + count))"
export CALICOHOIST_SOAK_SECONDS="$seconds"
export CALICOHOIST_SOAK_FRONTS="${4:-4}"
echo "seeds $CALICOHOIST_SOAK_SEEDS, $seconds s each, $CALICOHOIST_SOAK_FRONTS gateways"
cargo test --locked -p calicohoist --test soak -- --nocapture
