#!/usr/bin/env bash
# Measures what a controld costs at several fleet sizes, against one stand-in
# platform on loopback. HOSTS sets the sizes, ZONES the availability zones;
# arguments go to bench_control_scale, for example --seconds=30 --services=580.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  pids=()
}
trap 'stop; rm -rf "$work"' EXIT
for hosts in ${HOSTS:-10 30 100}; do
  mapfile -t ports < <("$bin/bench_control_scale" --ports=2)
  platform=127.0.0.1:${ports[0]}
  "$bin/standin-platform" "--listen=$platform" 2>"$work/platform.log" &
  pids+=($!)
  : >"$work/fleet"
  sleep 0.5
  for ((i = 1; i <= hosts; i++)); do
    address=127.0.1.$i
    zone=zone-$((i % ${ZONES:-3}))
    printf '{"address":"%s","zone":"%s"}' "$address" "$zone" |
      curl -sf -X PUT --data-binary @- "http://$platform/hosts/host-$i"
    cat >"$work/$i.toml" <<TOML
host = "host-$i"
zone = "$zone"
messages = "$address:${ports[1]}"
admin = "$address:$((ports[1] + 1))"
platform = "$platform"
log_level = "warning"
TOML
    "$bin/lacewing-controld" --settings "$work/$i.toml" 2>>"$work/controld.log" &
    pids+=($!)
    echo "$! $address:$((ports[1] + 1))" >>"$work/fleet"
  done
  "$bin/bench_control_scale" "--fleet=$work/fleet" "--platform=$platform" "$@"
  stop
done
