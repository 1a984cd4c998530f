#!/usr/bin/env bash
# Exits with 1 when the rule was broken, 0 when it held, 2 when the case could not run. TROUBLE=0 moveds out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/siskin-edge ] && [ -x target/review-2/moved ] || exit 2
timeout 110 target/review-2/moved review/8
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
