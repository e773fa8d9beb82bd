#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 does
# the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/quetzalbend-gateway ] || exit 2
timeout --kill-after=3 115 target/review/standin dark review/10/record.txt target/quetzalbend-gateway
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
