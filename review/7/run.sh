#!/usr/bin/env bash
# Exits with 1 when the rule was broken, 0 when it held, 2 when the case could not run. TROUBLE=0 lifteds out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/siskin-edge ] && [ -x target/review-2/lifted ] || exit 2
timeout 110 target/review-2/lifted review/7
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
