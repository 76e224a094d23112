#!/usr/bin/env bash
# Counts, in a file of JSON log lines of all processes, the requests that a gateway had
# read and that got no success of a replica, and how many of them the log explains: by a
# last line with their id, or by a new start of the process that had them.
#
#   scripts/explained.sh FILE
set -euo pipefail
awk '
  function value(key,    found) {
    if (!match($0, "\"" key "\":\"?[^\",}]*")) return ""
    found = substr($0, RSTART, RLENGTH)
    sub("\"" key "\":\"?", "", found)
    return found
  }
  /"name":"RequestTaken"/ { taken++; holder[value("request")] = value("node") }
  /"name":"RequestEnded"/ {
    id = value("request")
    if (!(id in holder)) next
    if (value("outcome") !~ /^2[0-9][0-9]$/) last_line++
    delete holder[id]
  }
  /"name":"RoleStarted"/ {
    node = value("node")
    for (id in holder) if (holder[id] == node) { restarted++; delete holder[id] }
  }
  END {
    for (id in holder) unexplained++
    failed = last_line + restarted + unexplained
    printf "taken %d, not served %d: with a last line %d, by a new start of the process %d, not explained %d\n",
      taken, failed, last_line, restarted, unexplained
    for (id in holder) print id, holder[id]
  }' "$1"
