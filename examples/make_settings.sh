#!/usr/bin/env bash
# Writes the settings of a deployment's nodes, one file a node.
#
# usage: make_settings.sh DIR BASE_PORT DOMAINS SERVICE:COUNT:SLOTS:CONNECTIONS...
#   DIR        folder that receives the files
#   BASE_PORT  the platform; node N uses the ten ports from BASE_PORT + 10 N
#   DOMAINS    failure domains, separated by commas
# Environment: EXTRA, lines of settings added to every file.
set -euo pipefail
dir=$1 base=$2 domains=$3
shift 3
mkdir -p "$dir"
IFS=, read -ra names <<<"$domains"
quoted=$(printf '"%s", ' "${names[@]}")
index=0
for spec in "$@"; do
  IFS=: read -r service count slots connections <<<"$spec"
  for ((i = 0; i < count; i++)); do
    index=$((index + 1))
    port=$((base + 10 * index))
    domain=${names[i % ${#names[@]}]}
    cat >"$dir/$service-$((i + 1)).jsonc" <<EOF
// Node beside instance $((i + 1)) of $service.
{
  "id": "$service-$((i + 1))",
  "service": "$service",
  "failure_domain": "$domain",
  "failure_domains": [${quoted%, }],
  "caller_address": "127.0.0.1:$port",
  "outbound_address": "127.0.0.1:$((port + 1))",
  "call_address": "127.0.0.1:$((port + 2))",
  "control_address": "127.0.0.1:$((port + 3))",
  "operators_address": "127.0.0.1:$((port + 4))",
  "backend_address": "127.0.0.1:$((port + 5))",
  "platform_address": "127.0.0.1:$base",
  ${EXTRA:-}
  "slots": $slots,
  "max_connections": $connections
}
EOF
  done
done
