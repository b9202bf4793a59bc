#!/usr/bin/env bash
# Measures the latency that one entryd adds and its requests per core, against
# one stand-in target on loopback. Arguments go to bench_hop_cost, for example
# --rate=2000 --seconds=20 --body=1024. WORKERS sets the traffic threads.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$work"
}
trap stop EXIT
mapfile -t ports < <("$bin/bench_hop_cost" --ports=4)
"$bin/standin-target" "--listen=127.0.0.1:${ports[0]}" "--admin=127.0.0.1:${ports[1]}" \
  "--set=slots=256,service_ms=2,max_connections=1000" 2>"$work/target.log" &
pids+=($!)
cat >"$work/entryd.toml" <<TOML
host = "bench"
zone = "z"
callers = "127.0.0.1:${ports[2]}"
admin = "127.0.0.1:${ports[3]}"
workers = ${WORKERS:-1}
max_buffered = "1 GiB"
drain_delay = "0 s"
[static.s]
slots = 256
connections = 1000
idempotent = "GET HEAD"
[static.s.targets.t]
endpoint = "127.0.0.1:${ports[0]}"
zone = "z"
TOML
"$bin/lacewing-entryd" --settings "$work/entryd.toml" 2>"$work/entryd.log" &
pids+=($!)
sleep 1
"$bin/bench_hop_cost" "--direct=127.0.0.1:${ports[0]}" "--entry=127.0.0.1:${ports[2]}" \
  "--pid=${pids[1]}" "$@"
