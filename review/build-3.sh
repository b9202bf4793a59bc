#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on that have a script; run it behind the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/1[1-5]/*.cpp; do
  [ -f "$source" ] || continue
  g++ -std=c++17 -O1 -Wall -Wextra -Werror -pthread "$source" review/stand3/Stand.cpp -o "$out/$(basename "$source" .cpp)"
done
