#!/usr/bin/env bash
# Lets 13 of 40 targets report that they are draining. Prints how many probes,
# bytes and milliseconds of processor time the agents use for probing in some
# seconds, and how soon the targets are restored. Arguments: the directory of
# the binaries, and the number of seconds.
set -euo pipefail
bin=$1
seconds=$2
here=$(cd "$(dirname "$0")" && pwd)
source "$here/processes.sh"
work=$(mktemp -d)
trap 'stop_all; rm -rf "$work"' EXIT
export PATH="$bin:$PATH"
export WIGEONSPOOL_STORE=http://127.0.0.1:30900
export WIGEONSPOOL_AGENT=127.0.0.1:30200
for file in vm-1 vm-2 vms; do
  sed 's/127.0.0.1:26/127.0.0.1:30/g' "$here/first-day/$file.yaml" \
    >"$work/$file.yaml"
done
{
  sed -n '/^routes/,$p' "$here/first-day/tables.yaml"
  printf 'pools:\n  - name: queue\n    slots: 4\n    targets:\n'
  for port in $(seq 30000 30039); do
    echo "      - {address: \"127.0.0.1:$port\", zone: ege-1}"
  done
} >"$work/tables.yaml"
draining_targets=$(printf '"127.0.0.1:%s", ' $(seq 30000 30012))
gauge=wigeonspool_gateway_targets

set_draining() {
  curl -s -o /dev/null -X POST http://127.0.0.1:30090/faults \
    -d "{\"targets\": [${draining_targets%, }], \"draining\": $1}"
}
show() {
  echo "\$ $*"
  "$@"
}
read_some() {
  for _ in $(seq 4); do
    for _ in $(seq 60); do
      curl -s -o /dev/null http://127.0.0.1:30210/queue/1 & reads+=($!)
    done
    wait "${reads[@]}"
    reads=()
  done
}
reads=()
# The gauge has no series with state="draining" until a target drains.
count_draining() {
  local value
  value=$(curl -s http://127.0.0.1:30211/metrics |
    sed -n "s/^$gauge{pool=\"queue\",state=\"draining\"} //p")
  echo "${value:-0}"
}
sum_metric() {
  cat <(curl -s http://127.0.0.1:30201/metrics) \
    <(curl -s http://127.0.0.1:30301/metrics) |
    awk -v name="$1{" 'index($0, name) == 1 { sum += $2 } END { print sum + 0 }'
}
# Prints the processor time that both agents have used, in ticks of 10 ms.
count_ticks() {
  awk '{ sum += $14 + $15 } END { print sum }' \
    "/proc/$agent_1/stat" "/proc/$agent_2/stat"
}
measure() {
  local probes bytes ticks
  probes=$(sum_metric wigeonspool_agent_probes_total)
  bytes=$(sum_metric wigeonspool_agent_probe_bytes_total)
  ticks=$(count_ticks)
  sleep "$seconds"
  probes=$(($(sum_metric wigeonspool_agent_probes_total) - probes))
  bytes=$(($(sum_metric wigeonspool_agent_probe_bytes_total) - bytes))
  ticks=$(($(count_ticks) - ticks))
  echo "$1: $(count_draining) of 40 targets draining; in $seconds s $probes" \
    "probes, $bytes bytes; both agents used ${ticks}0 ms of processor time"
}

run wigeonspool-standin store --port 30900
run wigeonspool-standin vm-list "$work/vms.yaml" --port 30901
run wigeonspool-standin target 40 30000 30090 --work /queue=5
for port in 30900 30901 30090; do wait_port "$port"; done
run wigeonspool-agent --settings "$work/vm-1.yaml" 2>"$work/agent-1"
agent_1=$!
run wigeonspool-agent --settings "$work/vm-2.yaml" 2>"$work/agent-2"
agent_2=$!
run wigeonspool-gateway --settings "$work/vm-1.yaml" 2>"$work/gateway-1"
run wigeonspool-gateway --settings "$work/vm-2.yaml" 2>"$work/gateway-2"
for port in 30200 30300 30210 30310; do wait_port "$port"; done
sleep 1.5
wigeonspool-ctl apply "$work/tables.yaml" --wait
read_some
sleep 2
measure before
set_draining true
read_some
sleep 3
measure "while they are out"
show wigeonspool-ctl status
show wigeonspool-timeline 127.0.0.1:30200 127.0.0.1:30300 --target 127.0.0.1:30000 --last 4
set_draining false
undrained_at=$(date +%s%N)
while [ "$(count_draining)" != 0 ]; do sleep 0.1; done
echo "all serve after $((($(date +%s%N) - undrained_at) / 1000000)) ms"
read_some
sleep 3
show wigeonspool-timeline 127.0.0.1:30200 127.0.0.1:30300 --target 127.0.0.1:30000 --last 3
