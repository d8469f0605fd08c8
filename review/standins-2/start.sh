#!/bin/sh
# Starts a case: start.sh PROGRAM FOLDER, from the repository's root. Ends all that the case has started, also when it is
# interrupted, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
program=target/review-2/$1
test -x "$program" || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
export REVIEW_PIDS="$TMPDIR/pids"
: > "$REVIEW_PIDS"
end_all() {
    kill "$runner" 2>/dev/null
    while read -r pid; do
        kill -KILL "$pid" 2>/dev/null
    done < "$REVIEW_PIDS"
    test -n "$KEEP" || rm -rf "$TMPDIR"
}
trap 'end_all; exit 2' INT TERM HUP
timeout -k 1 115 "$program" "$2/record.txt" &
runner=$!
wait "$runner"
code=$?
end_all
test "$code" -le 1 || code=2
exit "$code"
