# Functions that start processes in the background and stop them when the script
# ends. The example scripts source this file and set `bin` to the directory of
# the binaries. `$!` is the ID of the process that `run` started last.
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
run() { "$bin/$@" & pids+=($!); }

wait_port() {
  for _ in $(seq 100); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return; fi
    sleep 0.1
  done
  echo "port $1 did not open" >&2
  exit 1
}
