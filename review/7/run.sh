#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needs the build of deploy/system.toml and review/build-2.sh. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/StaleSeeds
[ -x "$program" ] && [ -x target/bin/lacewing-hostd ] || exit 2
folder=$(mktemp -d)
finish() {
  for pid in $(cat "$folder/pids" 2>/dev/null); do
    kill -KILL "$pid" 2>/dev/null
  done
  rm -rf "$folder"
}
trap finish EXIT
timeout -k 2 100 "$program" review/7/record.txt "$folder" "${TROUBLE:-1}" >"$folder/out"
code=$?
tail -n 2 "$folder/out"
[ "$code" -le 1 ] || code=2
exit "$code"
