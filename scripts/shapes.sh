#!/usr/bin/env bash
# Plays a deployment's whole shape as real processes, with planned work of all kinds, once for each seed.
#
# Usage: scripts/shapes.sh [SHAPE] [SECONDS PER SEED] [SEED...]
#
# SHAPE is a file in crates/calicohoist/tests/shapes. Data is written to TMPDIR.
set -euo pipefail
cd "$(dirname "$0")/.."
export CALICOHOIST_SHAPE=${1:-eight_gateways.toml}
export CALICOHOIST_SHAPE_SECONDS=${2:-120}
shift $(($# < 2 ? $# : 2))
for seed in "${@:-$(date +%s)}"; do
    echo "$CALICOHOIST_SHAPE, seed $seed, $CALICOHOIST_SHAPE_SECONDS s"
    CALICOHOIST_SHAPE_SEED=$seed cargo test --locked -p calicohoist --test shapes -- --nocapture
done
