#!/usr/bin/env bash
# Starts a fleet of processes on this machine, runs programs on it, and stops it.
#
# Usage: scripts/fleet.sh [DEPLOYMENT] [PROGRAMS] [SEED]
#
# All connections use the loopback interface. Only processes started by this script receive
# signals. Logs and data are stored in the folder that is printed first.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-celje}
programs=${2:-40}
seed=${3:-7}
folder=$(mktemp -d)
echo "folder $folder"
cargo build --release --quiet --bin calicohoist --bin calicohoist-lab
calicohoist=target/release/calicohoist
lab=target/release/calicohoist-lab

pids=()
# Starts COMMAND in the background. Its output goes to NAME.log, and its process id to NAME.pid,
# which `calicohoist-lab fleet` reads.
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  echo $! >"$folder/$name.pid"
  pids+=($!)
}
stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop_all EXIT

start backends "$lab" backends --deployment "$deployment" --folder "$folder" --seed "$seed"
until grep -q ready "$folder/backends.log"; do sleep 0.05; done
for file in "$folder"/store-*.toml "$folder"/gateway-*.toml; do
  "$calicohoist" check "$file" >/dev/null
done
for file in "$folder"/store-*.toml; do
  start "$(basename "$file" .toml)" "$calicohoist" --log-format json store --config "$file"
done
for file in "$folder"/gateway-*.toml; do
  start "$(basename "$file" .toml)" "$calicohoist" --log-format json gateway --config "$file"
done
gateway=$(sed -n 's/^http = "\(.*\)"/\1/p' "$folder/gateway-0.toml")
attempts=0
until "$calicohoist" apply --gateway "$gateway" --file "$folder/resources.toml" 2>"$folder/apply.log"; do
  attempts=$((attempts + 1))
  if [ "$attempts" -ge 50 ]; then
    cat "$folder/apply.log" >&2
    exit 1
  fi
  sleep 0.2
done
"$calicohoist" status --gateway "$gateway"
"$lab" fleet --folder "$folder" --programs "$programs" --seed "$seed" --json "$folder/report.json"
