#!/usr/bin/env bash
# Starts stand-ins, one agent and one gateway on the loopback address, applies
# the tables, and runs a command while they are up. The environment variable
# GATEWAY_PID gives the command the process ID of the gateway.
#
#   examples/overhead.sh BIN COMMAND...
set -euo pipefail
bin=$1
shift
here=$(cd "$(dirname "$0")" && pwd)
source "$here/processes.sh"

run wigeonspool-standin store --port 23900
run wigeonspool-standin vm-list "$here/overhead/vms.yaml" --port 23901
for index in 0 1 2 3; do
  run wigeonspool-standin target 1 "2310$index" "2319$index" --slots 64 \
    --work /queue=2 --seed "$index"
done
run wigeonspool-agent --settings "$here/overhead/vm.yaml"
run wigeonspool-gateway --settings "$here/overhead/vm.yaml" --index 0
export GATEWAY_PID=$!
for port in 23900 23901 23100 23101 23102 23103 23000 23010; do
  wait_port "$port"
done
"$bin/wigeonspool-ctl" apply "$here/overhead/tables.yaml" \
  --store http://127.0.0.1:23900 --agent 127.0.0.1:23000 --wait
"$@"
