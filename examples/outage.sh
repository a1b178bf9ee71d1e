#!/usr/bin/env bash
# Keeps the store of a small fleet down for some seconds, while reads continue
# and a VM is replaced. Then measures how long the first change after the outage
# takes. Arguments: the directory of the binaries, and the number of seconds.
set -euo pipefail
bin=$1
seconds=$2
here=$(cd "$(dirname "$0")" && pwd)
source "$here/processes.sh"
work=$(mktemp -d)
trap 'stop_all; rm -rf "$work"' EXIT
store=http://127.0.0.1:29900
reads_every_seconds=0.5

sed 's/127.0.0.1:26/127.0.0.1:29/' "$here/first-day/tables.yaml" \
  >"$work/tables.yaml"
cat >"$work/vms.yaml" <<END
vms:
  - {name: entry-1, zone: ege-1, region: ege, address: "127.0.0.1:29200", role: entry, state: live}
  - {name: entry-2, zone: ege-2, region: ege, address: "127.0.0.1:29300", role: entry, state: live}
  - {name: entry-3, zone: ege-2, region: ege, address: "127.0.0.1:29400", role: entry, state: live}
END
start_vm() {
  sed -e "s/127.0.0.1:26/127.0.0.1:29/g" \
    -e "s/^vm: .*/vm: entry-$1/; s/^zone: .*/zone: ege-$2/" \
    -e "s/listen: .*/listen: 127.0.0.1:29$3/" \
    -e "s/\(metrics: \)127.*/\1127.0.0.1:29$(($3 + 1))/" \
    -e "s/addresses: .*/addresses: [\"127.0.0.1:29$(($3 + 10))\"]/" \
    -e "s/metrics: \[.*/metrics: [\"127.0.0.1:29$(($3 + 11))\"]/" \
    "$here/first-day/vm-1.yaml" >"$work/vm-$1.yaml"
  run wigeonspool-agent --settings "$work/vm-$1.yaml"
  run wigeonspool-gateway --settings "$work/vm-$1.yaml"
  wait_port "29$3"
  wait_port "29$(($3 + 10))"
}
set_down() {
  curl -s -o /dev/null -X POST -d "{\"down\": $1}" "$store/faults"
}
read_for() {
  local until=$((SECONDS + $1))
  while [ "$SECONDS" -lt "$until" ]; do
    curl -s -o /dev/null -w '%{http_code}\n' -m 3 \
      "http://127.0.0.1:$2/queue/1" >>"$work/reads" || true
    sleep "$reads_every_seconds"
  done
}
ctl() {
  "$bin/wigeonspool-ctl" "$@" --store "$store" --agent 127.0.0.1:29200
}

run wigeonspool-standin store --port 29900
run wigeonspool-standin vm-list "$work/vms.yaml" --port 29901
run wigeonspool-standin target 3 29000 29090 --work /queue=5
for port in 29900 29901 29090; do wait_port "$port"; done
start_vm 1 1 200
start_vm 2 2 300
replaced=("${pids[@]: -2}")
ctl apply "$work/tables.yaml" --wait

set_down true
echo "the store is down"
read_for "$((seconds * 3 / 4))" 29210
kill -TERM "${replaced[@]}"
start_vm 3 2 400
echo "entry-3 starts in place of entry-2"
read_for "$((seconds / 4))" 29410
echo "reads by status:"
sort "$work/reads" | uniq -c
"$bin/wigeonspool-ctl" status --agent 127.0.0.1:29400
ctl apply "$work/tables.yaml" || echo "(exit code $?)"

set_down false
echo "the store is back"
sed 's/slots: 4/slots: 6/' "$work/tables.yaml" >"$work/more.yaml"
time ctl apply "$work/more.yaml" --wait
"$bin/wigeonspool-ctl" status --agent 127.0.0.1:29400
