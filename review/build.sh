#!/usr/bin/env bash
# Builds the stand-ins and the program of each case into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for each in review/*/case.cpp; do
    number=$(basename "$(dirname "$each")")
    "${CXX:-c++}" -std=c++17 -O1 -Wall -Wextra -I. -o "target/review/case-$number" "$each" \
        review/standins/net.cpp review/standins/fleet.cpp -pthread
done
