#!/usr/bin/env bash
# Resident memory and idle CPU of one host's two daemons at several sizes of
# the configuration, and what lacewingctl needs to write it. SERVICES sets the
# sizes; each service has TARGETS targets.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
targets=${TARGETS:-26}
seconds=${SECONDS_IDLE:-10}
pids=()
work=$(mktemp -d)
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  pids=()
}
trap 'stop; rm -rf "$work"' EXIT

sheet() { # SERVICES
  awk -v services="$1" -v targets="$targets" 'BEGIN {
    print "kind,id,service,zone,address,state,slots,connections,idempotent methods,deadline,measuring budget,cold-start limit,cold time,ramp time"
    for (z = 0; z < 27; z++) print "zone,z" z ",,,,in-service,,,,,,,,"
    print "host,h0,,z0,,in-service,,,,,,,,"
    for (s = 0; s < services; s++) {
      print "service,s" s ",,,,,6,200,GET HEAD,10 s,1 %,1,3 s,5 s"
      for (t = 0; t < targets; t++) {
        n = s * targets + t
        printf "target,s%d-t%d,s%d,z%d,127.%d.%d.%d:9000,in-service,,,,,,,,\n", s, t, s, n % 27, 100 + n / 65536, (n / 256) % 256, n % 256
      }
    }
  }'
}
resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

printf '%9s %8s %12s %12s %14s %14s\n' services targets controld_MB entryd_MB controld_cpu_% entryd_cpu_%
for services in ${SERVICES:-58 290 580}; do
  mapfile -t ports < <("$bin/bench_control_scale" --ports=5)
  "$bin/standin-platform" "--listen=127.0.0.1:${ports[0]}" 2>"$work/platform.log" &
  pids+=($!)
  cat >"$work/controld.toml" <<TOML
host = "h0"
zone = "z0"
messages = "127.0.0.1:${ports[1]}"
admin = "127.0.0.1:${ports[2]}"
platform = "127.0.0.1:${ports[0]}"
log_level = "warning"
TOML
  cat >"$work/entryd.toml" <<TOML
host = "h0"
zone = "z0"
callers = "127.0.0.1:${ports[3]}"
admin = "127.0.0.1:${ports[4]}"
controld = "127.0.0.1:${ports[1]}"
drain_delay = "0 s"
log_level = "warning"
TOML
  "$bin/lacewing-controld" --settings "$work/controld.toml" 2>>"$work/controld.log" &
  controld=$!
  "$bin/lacewing-entryd" --settings "$work/entryd.toml" 2>>"$work/entryd.log" &
  entryd=$!
  pids+=("$controld" "$entryd")
  sleep 1
  sheet "$services" >"$work/sheet.csv"
  "$bin/lacewingctl" --platform="127.0.0.1:${ports[0]}" --timeout=60s --output=json apply "$work/sheet.csv" >"$work/apply.log"
  for _ in $(seq 100); do
    curl -sf -o /dev/null "http://127.0.0.1:${ports[4]}/ready" && break
    sleep 0.1
  done
  sleep 4
  controld_before=$(ticks "$controld") entryd_before=$(ticks "$entryd")
  sleep "$seconds"
  awk -v s="$services" -v n=$((services * targets)) -v c="$(resident_kb "$controld")" -v e="$(resident_kb "$entryd")" \
    -v cc=$(($(ticks "$controld") - controld_before)) -v ec=$(($(ticks "$entryd") - entryd_before)) \
    -v hz="$(getconf CLK_TCK)" -v t="$seconds" \
    'BEGIN { printf "%9d %8d %12.1f %12.1f %14.2f %14.2f\n", s, n, c / 1024, e / 1024, 100 * cc / hz / t, 100 * ec / hz / t }'
  stop
done
