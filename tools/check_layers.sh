#!/usr/bin/env bash
# Fails when a file of a lower layer includes a header of an upper one.
set -euo pipefail
cd "$(dirname "$0")/.."
layers=(core domain decision adapters platform apps tests)
status=0
for i in "${!layers[@]}"; do
    for upper in "${layers[@]:$((i + 1))}"; do
        if grep -nE "#include \"${upper}/" "${layers[$i]}"/*.?pp 2>/dev/null; then
            echo "layer violation: ${layers[$i]}/ includes ${upper}/"
            status=1
        fi
    done
done
if grep -nE '#include <(thread|mutex|iostream|fstream|ctime)>|(steady|system)_clock::now' core/*.?pp domain/*.?pp decision/*.?pp 2>/dev/null |
    grep -v '^core/bounded_queue'; then
    echo "purity violation: core/, domain/ and decision/ use no I/O, clocks or threads"
    status=1
fi
exit $status
