#!/usr/bin/env bash
# Runs a fleet of real processes on this machine, puts a load on it, and stops it.
#
#   scripts/fleet.sh [DEPLOYMENT] [PROGRAMS] [SEED]
#
# Everything is on loopback and ends by itself; only processes started here are
# signalled. Logs and data are in the folder that is printed first.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-celje}
programs=${2:-40}
seed=${3:-7}
folder=$(mktemp -d)
echo "folder $folder"
cargo build --release --quiet --bin calicohoist --bin calicohoist-lab
product=target/release/calicohoist
lab=target/release/calicohoist-lab

started=()
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  echo $! >"$folder/$name.pid"
  started+=($!)
}
stop_all() {
  kill "${started[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop_all EXIT

start backends "$lab" backends --deployment "$deployment" --folder "$folder" --seed "$seed"
until grep -q ready "$folder/backends.log"; do sleep 0.05; done
for file in "$folder"/store-*.toml "$folder"/gateway-*.toml; do
  "$product" check "$file" >/dev/null
done
for file in "$folder"/store-*.toml; do
  start "$(basename "$file" .toml)" "$product" --log-format json store --config "$file"
done
for file in "$folder"/gateway-*.toml; do
  start "$(basename "$file" .toml)" "$product" --log-format json gateway --config "$file"
done
gateway=$(sed -n 's/^http = "\(.*\)"/\1/p' "$folder/gateway-0.toml")
tries=0
until "$product" apply --gateway "$gateway" --file "$folder/resources.toml" 2>"$folder/apply.log"; do
  tries=$((tries + 1))
  if [ "$tries" -ge 50 ]; then
    cat "$folder/apply.log" >&2
    exit 1
  fi
  sleep 0.2
done
"$product" status --gateway "$gateway"
"$lab" fleet --folder "$folder" --programs "$programs" --seed "$seed" --json "$folder/report.json"
