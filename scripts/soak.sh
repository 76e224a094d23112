#!/usr/bin/env bash
# Runs the soak test, which injects faults into a fleet of processes, once for each seed.
#
# Usage: scripts/soak.sh [SEEDS] [SECONDS PER SEED] [FIRST SEED] [GATEWAYS]
#
# SEEDS is the number of seeds. The first seed defaults to the current Unix time. If
# CALICOHOIST_SOAK_OLDER_BINARY is set, the fleet mixes two builds; see scripts/mixed-soak.sh.
# CALICOHOIST_SOAK_ENDLESS=0 leaves out the callers that ask for responses that never end.
set -euo pipefail
cd "$(dirname "$0")/.."
seed_count=${1:-10}
seconds_per_seed=${2:-20}
first_seed=${3:-$(date +%s)}
export CALICOHOIST_SOAK_SEEDS="$first_seed..$((first_seed + seed_count))"
export CALICOHOIST_SOAK_SECONDS="$seconds_per_seed"
export CALICOHOIST_SOAK_FRONTS="${4:-4}"
echo "seeds $CALICOHOIST_SOAK_SEEDS, $seconds_per_seed s each, $CALICOHOIST_SOAK_FRONTS gateways"
cargo test --locked -p calicohoist --test soak -- --nocapture
