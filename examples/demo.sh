#!/usr/bin/env bash
# Runs the demo on the loopback address: stand-ins of the platform and of all
# targets, two agents and four gateways. It applies the tables and sends load
# for ten seconds, while one target is drained and one gateway is stopped.
# Argument: the directory of the binaries.
set -euo pipefail
bin=$1
here=$(cd "$(dirname "$0")" && pwd)
source "$here/processes.sh"

run wigeonspool-standin store --port 22900
run wigeonspool-standin vm-list "$here/demo/vms.yaml" --port 22901
target() { run wigeonspool-standin target "$1" "$2" "$3" --work "$4"; }
target 14 21000 21090 /queue=5
target 12 21100 21190 /decision=10
target 12 21200 21290 /archive=300
target 22 21300 21390 /balance=5
target 12 21400 21490 /refund=10
target 12 21500 21590 /settlement=300
run wigeonspool-agent --settings "$here/demo/vm-1.yaml"
run wigeonspool-agent --settings "$here/demo/vm-2.yaml"
run wigeonspool-gateway --settings "$here/demo/vm-1.yaml" --index 0
run wigeonspool-gateway --settings "$here/demo/vm-1.yaml" --index 1
run wigeonspool-gateway --settings "$here/demo/vm-2.yaml" --index 0
run wigeonspool-gateway --settings "$here/demo/vm-2.yaml" --index 1
stopped=$!

for port in 22900 22901 21090 21190 21290 21390 21490 21590 \
  22000 22100 22010 22011 22110 22111; do wait_port "$port"; done

"$bin/wigeonspool-ctl" apply "$here/yorumkalkan.yaml" "$here/ingoma.yaml" \
  --store http://127.0.0.1:22900 --agent 127.0.0.1:22000 --wait
(sleep 4 && kill -TERM "$stopped") &
"$bin/wigeonspool-load" demo --drain 127.0.0.1:21003 --seconds 10 \
  --gateway 127.0.0.1:22010 --gateway 127.0.0.1:22110 \
  --control 127.0.0.1:21090 --control 127.0.0.1:21190 \
  --control 127.0.0.1:21290 --control 127.0.0.1:21390 \
  --control 127.0.0.1:21490 --control 127.0.0.1:21590 \
  --zone ege-1 --zone ege-2
