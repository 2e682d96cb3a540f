#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wisteriareel-router ] && [ -x target/review-2/case-8 ] || exit 2
timeout 115 target/review-2/case-8 review/8
status=$?
[ $status -le 1 ] || exit 2
exit $status
