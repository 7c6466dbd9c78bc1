#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bluebellfieldd ] && [ -x target/review-6 ] || exit 2
# Without the disruption if TROUBLE is 0; the program reads the variable.
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 target/review-6
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
