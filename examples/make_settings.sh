#!/usr/bin/env bash
# Writes the settings files of a deployment, one per node.
#
# usage: make_settings.sh DIR BASE_PORT DOMAINS SERVICE:COUNT:SLOTS:CONNECTIONS...
#   DIR          folder that receives the files
#   BASE_PORT    port of the platform; node N, counted from 1 over all services,
#                has the ten ports from BASE_PORT + 10 N
#   DOMAINS      failure domains, separated by commas
#   SERVICE      name of a service
#   COUNT        number of its instances
#   SLOTS        slots of each instance
#   CONNECTIONS  max_connections of each node
# Environment: EXTRA, lines of settings added to every file.
set -euo pipefail
dir=$1 platform_port=$2 domains=$3
shift 3
mkdir -p "$dir"
IFS=, read -ra domain_names <<<"$domains"
quoted_domains=$(printf '"%s", ' "${domain_names[@]}")
node_number=0
for spec in "$@"; do
  IFS=: read -r service count slots connections <<<"$spec"
  for ((i = 0; i < count; i++)); do
    node_number=$((node_number + 1))
    first_port=$((platform_port + 10 * node_number))
    domain=${domain_names[i % ${#domain_names[@]}]}
    cat >"$dir/$service-$((i + 1)).jsonc" <<EOF
// Node beside instance $((i + 1)) of $service.
{
  "id": "$service-$((i + 1))",
  "service": "$service",
  "failure_domain": "$domain",
  "failure_domains": [${quoted_domains%, }],
  "caller_address": "127.0.0.1:$first_port",
  "outbound_address": "127.0.0.1:$((first_port + 1))",
  "call_address": "127.0.0.1:$((first_port + 2))",
  "control_address": "127.0.0.1:$((first_port + 3))",
  "operators_address": "127.0.0.1:$((first_port + 4))",
  "backend_address": "127.0.0.1:$((first_port + 5))",
  "platform_address": "127.0.0.1:$platform_port",
  ${EXTRA:-}
  "slots": $slots,
  "max_connections": $connections
}
EOF
  done
done
