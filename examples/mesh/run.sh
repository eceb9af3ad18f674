#!/usr/bin/env bash
# Starts the nodes of a deployment on the loopback interface, with stand-ins for
# the platform and for the backend servers. Makes a few calls, prints their
# outcomes and the status of all nodes, and stops the nodes with SIGTERM.
#
# usage: run.sh [DEPLOYMENT]        (addis or attica; default addis)
# Environment: BUILD, the build folder (default build).
# Exit status: 0 if every node has stopped with status 0.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
deployment=${1:-addis}
dir=examples/$deployment
logs=$(mktemp -d)
node_pids=() standin_pids=()
stop_processes() {
  for pid in "${node_pids[@]}" "${standin_pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
}
trap stop_processes EXIT

contract_arguments=()
for file in "$dir"/contracts/*.jsonc; do contract_arguments+=(-c "$file"); done
settings_files=("$dir"/*-[0-9]*.jsonc)
platform_port=$(sed -n 's/.*"platform_address": ".*:\([0-9]*\)".*/\1/p' \
  "${settings_files[0]}")
"$build/examples/platform_standin" --port "$platform_port" \
  "${contract_arguments[@]}" "${settings_files[@]}" 2>"$logs/platform.log" &
standin_pids+=($!)
for file in "${settings_files[@]}"; do
  id=$(basename "$file" .jsonc)
  "$build/examples/backend_standin" "$file" "$dir/script.jsonc" \
    2>"$logs/$id-backend.log" &
  standin_pids+=($!)
  "$build/apps/jujubespand" "$file" 2>"$logs/$id.log" &
  node_pids+=($!)
done

# Prints an address setting of a node: read_address NODE SETTING.
read_address() { sed -n "s/.*\"$2\": \"\\(.*\\)\",/\\1/p" "$dir/$1.jsonc"; }
operators_addresses=()
for file in "${settings_files[@]}"; do
  operators_addresses+=("$(read_address "$(basename "$file" .jsonc)" \
    operators_address)")
done
# Waits until every node has the contracts and the instance list, and then for
# list_lag_ms, after which the nodes have their shares of the customers' rates.
for _ in $(seq 100); do
  ready_nodes=$("$build/apps/jujubespan" status "${operators_addresses[@]}" \
    2>/dev/null | awk 'NR > 1 && $2 > 0 && $3 > 0' | wc -l)
  [ "$ready_nodes" -eq "${#settings_files[@]}" ] && break
  sleep 0.1
done
list_lag_ms=$(sed -n 's/.*"list_lag_ms": \([0-9]*\),/\1/p' "${settings_files[0]}")
sleep "$(awk "BEGIN {print $list_lag_ms / 1000 + 0.5}")"

make_call() { # CUSTOMER NODE VERB TARGET [CURL ARGUMENT...]
  local customer=$1 node=$2 verb=$3 target=$4
  shift 4
  printf '%-9s %-4s %-22s ' "$customer" "$verb" "$target"
  curl -s -o "$logs/body" -D "$logs/head" -X "$verb" \
    -H "Jujubespan-Customer: $customer" "$@" \
    "http://$(read_address "$node" caller_address)$target"
  sed -n '1s/\r//p' "$logs/head" | tr '\n' ' '
  grep -iE '^jujubespan-(outcome|reason)' "$logs/head" | tr -d '\r' |
    sed 's/.*: //' | paste -sd ' '
}

if [ "$deployment" = addis ]; then
  make_call bole-academy modules-1 GET /modules/athletics
  make_call bole-academy results-2 GET /results/42
  make_call bole-academy enrolment-1 POST /enrolments -d candidate-7
  ticket=$(sed -n 's/^Jujubespan-Ticket: \(.*\)\r/\1/pI' "$logs/head")
  make_call bole-academy enrolment-1 POST /enrolments -d candidate-8 \
    -H "Idempotency-Key: $ticket"
  make_call bole-academy enrolment-2 POST /enrolments -d candidate-8 \
    -H "Idempotency-Key: $ticket"
  make_call bole-academy enrolment-1 POST /fees -d candidate-9
  make_call nobody modules-1 GET /modules/athletics
else
  make_call chronos catalogue-1 GET /faces/7
  make_call chronos preview-2 GET /previews/7
  make_call chronos purchase-1 POST /purchases -d face-7
  make_call chronos sync-1 POST /syncs -d face-7
  make_call nobody catalogue-1 GET /faces/7
fi
"$build/apps/jujubespan" status "${operators_addresses[@]}"

for pid in "${node_pids[@]}"; do kill -TERM "$pid"; done
failed_nodes=0
for pid in "${node_pids[@]}"; do
  wait "$pid" || failed_nodes=$((failed_nodes + 1))
done
node_pids=()
echo "nodes stopped: ${#settings_files[@]}," \
  "with a non-zero exit status: $failed_nodes; logs in $logs"
[ "$failed_nodes" -eq 0 ]
