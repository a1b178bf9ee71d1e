#!/usr/bin/env bash
# Measures the cost of the control plane on a VM: first the memory of one agent
# process with large tables, then the cost of fleets of agents that use the
# stand-ins and share one event loop. Arguments: the directory of the binaries,
# then options of `wigeonspool-load control`.
set -euo pipefail
bin=$1
shift
here=$(cd "$(dirname "$0")" && pwd)
source "$here/processes.sh"

run wigeonspool-standin store --port 22960
run wigeonspool-standin vm-list "$here/control/vms.yaml" --port 22961
run wigeonspool-standin vm-list "$here/control/one.yaml" --port 22962
run wigeonspool-agent --settings "$here/control/agent.yaml"
agent=$!
sleep 4
"$bin/wigeonspool-load" memory --store http://127.0.0.1:22960 --pid "$agent"
"$bin/wigeonspool-load" control --store http://127.0.0.1:22960 \
  --vm-list http://127.0.0.1:22961 "$@"
