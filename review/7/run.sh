#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=5 110 node case.mjs
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
