#!/usr/bin/env bash
# Plays a case of REPORT-3.md with a temporary folder, for 120 s at most, and ends what it has started.
# usage: review/run-3.sh CASE; TROUBLE=0 leaves out the disruption
set -uo pipefail
case=$1
cd "$(dirname "$0")/.."
program=build/review-3/$case
if [ ! -x "$program" ] || [ ! -x target/siskin-edge ]; then
    echo "not built: $program or target/siskin-edge" >&2
    exit 2
fi
folder=$(mktemp -d "${TMPDIR:-/tmp}/siskin-review-XXXXXX")
# The program's own processes end with it.
trap 'kill -KILL "$pid" 2> /dev/null; rm -rf "$folder"' EXIT
"$program" "$folder" "review/$case/record.txt" "${TROUBLE:-1}" &
pid=$!
for ((i = 0; i < 1150; ++i)); do
    kill -0 "$pid" 2> /dev/null || break
    sleep 0.1
done
if kill -0 "$pid" 2> /dev/null; then
    echo "the case has not ended within 115 s" >&2
    exit 2
fi
wait "$pid"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
