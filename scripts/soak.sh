#!/usr/bin/env bash
# Runs the soak test, which injects faults into a fleet of processes, once for each seed.
#
# Usage: scripts/soak.sh [SEEDS] [SECONDS PER SEED] [FIRST SEED] [GATEWAYS]
#
# SEEDS is the number of seeds. The first seed defaults to the current Unix time. If
# CALICOHOIST_SOAK_OLDER_BINARY is set, the fleet mixes two builds; see scripts/mixed-soak.sh.
# CALICOHOIST_SOAK_ENDLESS=0 leaves out the callers that ask for responses that never end.
# CALICOHOIST_SOAK_RETENTION_S plays the runs in which turns and budgets are kept for that many seconds
# and expire; two are played side by side, and each takes the retention and about 45 s more.
set -euo pipefail
cd "$(dirname "$0")/.."
seed_count=${1:-10}
seconds_per_seed=${2:-20}
first_seed=${3:-$(date +%s)}
export CALICOHOIST_SOAK_SEEDS="$first_seed..$((first_seed + seed_count))"
export CALICOHOIST_SOAK_SECONDS="$seconds_per_seed"
export CALICOHOIST_SOAK_FRONTS="${4:-4}"
echo "seeds $CALICOHOIST_SOAK_SEEDS, $seconds_per_seed s each, $CALICOHOIST_SOAK_FRONTS gateways"
retention_test=turns_and_budgets_are_kept_until_their_retention_ends_and_no_longer
if [[ -n ${CALICOHOIST_SOAK_RETENTION_S:-} ]]; then
    selection=(--exact "$retention_test")
else
    selection=(--skip "$retention_test")
fi
cargo test --locked -p calicohoist --test soak -- --nocapture "${selection[@]}"
