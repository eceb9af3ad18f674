#!/usr/bin/env bash
# Runs a deployment of stand-ins and nodes on loopback, makes a few calls and
# prints their outcomes, then stops every node cleanly.
#
# usage: run.sh [DEPLOYMENT]        (addis or attica; default addis)
# Environment: BUILD, the build folder (default build).
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
name=${1:-addis}
dir=examples/$name
logs=$(mktemp -d)
nodes=() others=()
stop() {
  for pid in "${nodes[@]}" "${others[@]}"; do kill "$pid" 2>/dev/null || true; done
}
trap stop EXIT

contracts=()
for file in "$dir"/contracts/*.jsonc; do contracts+=(-c "$file"); done
settings=("$dir"/*-[0-9]*.jsonc)
port=$(sed -n 's/.*"platform_address": ".*:\([0-9]*\)".*/\1/p' "${settings[0]}")
"$build/examples/platform_standin" --port "$port" "${contracts[@]}" \
  "${settings[@]}" 2>"$logs/platform.log" &
others+=($!)
for file in "${settings[@]}"; do
  id=$(basename "$file" .jsonc)
  "$build/examples/backend_standin" "$file" "$dir/script.jsonc" \
    2>"$logs/$id-backend.log" &
  others+=($!)
  "$build/apps/jujubespand" "$file" 2>"$logs/$id.log" &
  nodes+=($!)
done

address() { sed -n "s/.*\"$2\": \"\\(.*\\)\",/\\1/p" "$dir/$1.jsonc"; }
operators=()
for file in "${settings[@]}"; do
  operators+=("$(address "$(basename "$file" .jsonc)" operators_address)")
done
# Wait until every node has the contracts and its share of the customers' rate.
for _ in $(seq 100); do
  ready=$("$build/apps/jujubespan" status "${operators[@]}" 2>/dev/null |
    awk 'NR > 1 && $2 > 0 && $3 > 0' | wc -l)
  [ "$ready" -eq "${#settings[@]}" ] && break
  sleep 0.1
done
lag=$(sed -n 's/.*"list_lag_ms": \([0-9]*\),/\1/p' "${settings[0]}")
sleep "$(awk "BEGIN {print $lag / 1000 + 0.5}")"

call() { # CUSTOMER NODE VERB TARGET [CURL ARGUMENT...]
  local customer=$1 node=$2 verb=$3 target=$4
  shift 4
  printf '%-9s %-4s %-22s ' "$customer" "$verb" "$target"
  curl -s -o "$logs/body" -D "$logs/head" -X "$verb" \
    -H "Jujubespan-Customer: $customer" "$@" \
    "http://$(address "$node" caller_address)$target"
  sed -n '1s/\r//p' "$logs/head" | tr '\n' ' '
  grep -iE '^jujubespan-(outcome|reason)' "$logs/head" | tr -d '\r' |
    sed 's/.*: //' | paste -sd ' '
}

if [ "$name" = addis ]; then
  call bole-academy modules-1 GET /modules/athletics
  call bole-academy results-2 GET /results/42
  call bole-academy enrolment-1 POST /enrolments -d candidate-7
  ticket=$(sed -n 's/^Jujubespan-Ticket: \(.*\)\r/\1/pI' "$logs/head")
  call bole-academy enrolment-1 POST /enrolments -d candidate-8 \
    -H "Idempotency-Key: $ticket"
  call bole-academy enrolment-2 POST /enrolments -d candidate-8 \
    -H "Idempotency-Key: $ticket"
  call bole-academy enrolment-1 POST /fees -d candidate-9
  call nobody modules-1 GET /modules/athletics
else
  call chronos catalogue-1 GET /faces/7
  call chronos preview-2 GET /previews/7
  call chronos purchase-1 POST /purchases -d face-7
  call chronos sync-1 POST /syncs -d face-7
  call nobody catalogue-1 GET /faces/7
fi
"$build/apps/jujubespan" status "${operators[@]}"

for pid in "${nodes[@]}"; do kill -TERM "$pid"; done
failed=0
for pid in "${nodes[@]}"; do wait "$pid" || failed=$((failed + 1)); done
nodes=()
echo "nodes stopped: ${#settings[@]}, not cleanly: $failed; logs in $logs"
[ "$failed" -eq 0 ]
