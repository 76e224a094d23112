#!/usr/bin/env bash
# Counts failed requests in FILE, which contains the JSON log lines of all processes.
#
# Usage: scripts/explained.sh FILE
#
# A request fails if it does not end with a 2xx status. The log explains a failure if it contains
# the outcome of the request or a restart of the gateway that had received it. The other failed
# requests are listed by id and node.
set -euo pipefail
awk '
  function value(key,    text) {
    if (!match($0, "\"" key "\":\"?[^\",}]*")) return ""
    text = substr($0, RSTART, RLENGTH)
    sub("\"" key "\":\"?", "", text)
    return text
  }
  /"name":"RequestTaken"/ { received++; gateway_of[value("request")] = value("node") }
  /"name":"RequestEnded"/ {
    id = value("request")
    if (!(id in gateway_of)) next
    if (value("outcome") !~ /^2[0-9][0-9]$/) with_outcome++
    delete gateway_of[id]
  }
  /"name":"RoleStarted"/ {
    node = value("node")
    for (id in gateway_of) if (gateway_of[id] == node) { restarted++; delete gateway_of[id] }
  }
  END {
    for (id in gateway_of) unexplained++
    failed = with_outcome + restarted + unexplained
    printf "received %d, failed %d: outcome logged %d, gateway restarted %d, unexplained %d\n",
      received, failed, with_outcome, restarted, unexplained
    for (id in gateway_of) print id, gateway_of[id]
  }' "$1"
