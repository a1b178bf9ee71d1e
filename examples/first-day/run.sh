#!/usr/bin/env bash
# Runs each command of docs/OPERATING.md against a small fleet on the loopback
# address, and prints it with its output. Argument: the directory of the
# binaries.
set -uo pipefail
bin=$(cd "$1" && pwd)
logs=$(mktemp -d)
cp "$(dirname "$0")"/*.yaml "$logs"
cd "$logs"
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$logs"
}
trap stop_all EXIT
export WIGEONSPOOL_STORE=http://127.0.0.1:26900
export WIGEONSPOOL_AGENT=127.0.0.1:26200
export WIGEONSPOOL_VM_LIST=http://127.0.0.1:26901/v1/vms
export LOGNAME=ann
export PATH="$bin:$PATH"

start() {
  local name=$1
  shift
  "$@" >"$logs/$name" 2>&1 &
  pids+=($!)
}
show() {
  echo "\$ $*"
  "$@" 2>&1
  local code=$?
  if [ "$code" != 0 ]; then echo "(exit code $code)"; fi
}
title() { printf '\n== %s\n' "$1"; }
set_faults() {
  curl -s -o /dev/null -X POST -d "$2" "http://127.0.0.1:$1/faults"
}
read_queue() {
  curl -s -o /dev/null -w '%{http_code}\n' -H "Wigeonspool-Request: $1" \
    "http://127.0.0.1:${3:-26210}/queue/1${2:-}"
}
start_reads() {
  reads=()
  for i in $(seq "$1"); do
    read_queue "$2-$i" "" "${3:-26210}" >"$logs/$2-$i" &
    reads+=($!)
  done
}
count_reads() {
  wait "${reads[@]}"
  cat "$logs/$1"-* | sort | uniq -c
}
wait_port() {
  for _ in $(seq 100); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return; fi
    sleep 0.1
  done
}

if (exec 3<>/dev/tcp/127.0.0.1/26900) 2>/dev/null; then
  echo "port 26900 is in use; another run may be in progress" >&2
  exit 1
fi
start store wigeonspool-standin store --port 26900
start vm-list wigeonspool-standin vm-list vms.yaml --port 26901
start targets wigeonspool-standin target 3 26000 26090 --work /queue=5
for port in 26900 26901 26090; do wait_port "$port"; done
start agent-1 wigeonspool-agent --settings vm-1.yaml
start agent-2 wigeonspool-agent --settings vm-2.yaml
start gateway-1 wigeonspool-gateway --settings vm-1.yaml
start gateway-2 wigeonspool-gateway --settings vm-2.yaml
stopped=$!
for port in 26200 26300 26210 26310; do wait_port "$port"; done
sleep 1.5

title "First day"
show wigeonspool-ctl validate tables.yaml
show wigeonspool-ctl diff tables.yaml
show wigeonspool-ctl apply tables.yaml --wait
show wigeonspool-ctl status
for i in 1 2 3; do read_queue "first-$i" >/dev/null; done
show wigeonspool-timeline --vm-list "$WIGEONSPOOL_VM_LIST" --request first-1

title "Drain a target"
show wigeonspool-ctl drain host-3 --wait
show wigeonspool-ctl status
show wigeonspool-ctl apply tables.yaml --base 1
show wigeonspool-ctl history --last 1
show wigeonspool-ctl undrain 127.0.0.1:26002 --wait

title "The store is down"
set_faults 26900 '{"down": true}'
show wigeonspool-ctl diff tables.yaml
echo "a read during the outage: $(read_queue down-1)"
show wigeonspool-ctl status
sleep 1
tail -n 2 "$logs/agent-1"
set_faults 26900 '{"down": false}'
sleep 1.5
sed 's/slots: 4/slots: 6/' tables.yaml >more.yaml
show wigeonspool-ctl apply more.yaml --wait

title "Crest"
set_faults 26090 '{"slow": 60}'
start_reads 60 crest
sleep 0.4
show wigeonspool-ctl status
count_reads crest
curl -s http://127.0.0.1:26211/metrics | grep '^wigeonspool_gateway_requests'
set_faults 26090 '{"slow": 1}'

title "A target that fails"
set_faults 26090 '{"targets": ["127.0.0.1:26000"], "failing": true}'
for round in 1 2 3 4 5; do
  start_reads 20 "fail-$round"
  wait "${reads[@]}"
done
count_reads fail
sleep 0.5
show wigeonspool-timeline "$WIGEONSPOOL_AGENT" --target 127.0.0.1:26000 \
  --kind target-ejected --kind target-restored --last 4
set_faults 26090 '{"targets": ["127.0.0.1:26000"], "failing": false}'

title "Silent connections"
set_faults 26090 '{"targets": ["127.0.0.1:26000"], "silent": true}'
for i in $(seq 6); do read_queue "silent-$i"; done | sort | uniq -c
show wigeonspool-timeline "$WIGEONSPOOL_AGENT" --kind connection-silent --last 3
set_faults 26090 '{"targets": ["127.0.0.1:26000"], "silent": false}'

title "A request that crashes targets"
echo "the caller is told: $(read_queue crash-1 '?crash-target')"
show wigeonspool-timeline "$WIGEONSPOOL_AGENT" --request crash-1
show wigeonspool-ctl status
curl -s -o /dev/null -X POST http://127.0.0.1:26090/restart -d \
  '{"targets": ["127.0.0.1:26000", "127.0.0.1:26001", "127.0.0.1:26002"]}'

title "Why a request went where it went"
set_faults 26090 '{"slow": 60}'
start_reads 60 why 26310
sleep 0.5
start_reads 60 late 26310
sleep 2.5
set_faults 26090 '{"slow": 1}'
show wigeonspool-timeline 127.0.0.1:26300 --request why-1
for kind in target-chosen request-queued request-refused; do
  show wigeonspool-timeline 127.0.0.1:26300 --kind "$kind" --last 1
done

title "Replace a VM"
kill -TERM "$stopped"
sleep 1
show wigeonspool-ctl status
wait "$stopped"
echo "gateway ended with code $?"
cat "$logs/gateway-2"
show wigeonspool-timeline --vm-list "$WIGEONSPOOL_VM_LIST" --vm entry-2 --last 5
