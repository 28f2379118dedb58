#!/bin/sh
# Run the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.  What was sent, answered and run is in record.txt.
cd "$(dirname "$0")" || exit 2
timeout -k 3 116 python3 case.py &
pid=$!
# The case ends its processes when it is told to stop.
trap 'kill "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
code=$?
if [ "$code" -gt 128 ]; then
    wait "$pid"
    code=$?
fi
case "$code" in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
