#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
"${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -o bin/stand stand/Stand.cpp
