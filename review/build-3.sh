#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-3.md into build/review-3. Needs the packages of deploy/system.toml.
# usage: review/build-3.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
build_case() {
    g++ -std=c++17 -O1 -Wall -Wextra -pthread review/fleet3/*.cpp "review/$1/$2.cpp" -o "build/review-3/$1"
}
pids=()
build_case 11 reset_answer & pids+=($!)
build_case 12 late_order & pids+=($!)
build_case 13 slow_readers & pids+=($!)
for pid in "${pids[@]}"; do
    wait "$pid"
done
echo "review-3: built"
