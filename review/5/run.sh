#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/figturn ] && [ -x target/review/case-5 ] || exit 2
timeout --kill-after=5 110 target/review/case-5 review/5
Code=$?
[ "$Code" -le 1 ] && exit "$Code"
exit 2
