#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2/. Needs the build of the
# deploy file, whose program the scripts start, and the packages that it names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile="${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -I."
$compile -c review/fleet2/world.cpp -o "$out/world.o"
for source in review/6/leave.cpp review/7/lifted.cpp review/8/moved.cpp; do
    $compile "$source" "$out/world.o" -o "$out/$(basename "$source" .cpp)"
done
