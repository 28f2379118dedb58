#!/bin/sh
# Run the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.  What was sent, answered and run is written to record.txt.
cd "$(dirname "$0")/../.." || exit 2
folder=review/4
TROUBLE="${TROUBLE:-1}"
export TROUBLE
: > "$folder/record.txt" || exit 2
PYTHONPATH="target/deps:." python3 "$folder/case.py" &
pid=$!
# The case ends its processes when it is told to stop.
trap 'kill "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
code=$?
if [ "$code" -gt 128 ]; then
    wait "$pid"
    code=$?
fi
# Python ends with 1 at any error, so a broken rule has another code there.
case "$code" in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
