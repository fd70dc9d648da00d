#!/bin/sh
# Runs a case: run.sh CASE BINARY. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PIDS=$(mktemp) || exit 2
export PIDS
timeout 115 "target/review/release/$2" "review/$1"
status=$?
if [ "$status" -gt 1 ]; then
    # The stand-ins end their processes themselves unless they were ended.
    while read -r pid; do
        kill -KILL "$pid" 2>/dev/null
    done <"$PIDS"
    status=2
fi
rm -f "$PIDS"
exit "$status"
