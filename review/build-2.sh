#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=target/review-2
mkdir -p "$folder"
compile() {
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -Ireview/lab -c "review/lab/$1.cpp" -o "$folder/$1.o"
}
for source in review/lab/*.cpp; do
  compile "$(basename "$source" .cpp)"
done
for program in Quota LateReport Isolated Island StaleSeeds; do
  g++ -pthread "$folder/$program.o" "$folder/Lab.o" "$folder/TenantLoad.o" -o "$folder/$program"
done
