#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] || exit 2
PROCESS_LIST=$(mktemp) || exit 2
export PROCESS_LIST
target/review/standins ghost-voter review/1 &
standins=$!
# Ends the stand-ins and all that they have started, if the script is interrupted.
trap 'kill -KILL $standins $(cat "$PROCESS_LIST") 2>/dev/null; rm -f "$PROCESS_LIST"; exit 2' INT TERM HUP
wait $standins
code=$?
rm -f "$PROCESS_LIST"
exit $code
