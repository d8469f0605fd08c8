#!/bin/sh
# Runs the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-2/late_copy || exit 2
exec target/review-2/late_copy review/6/record.txt
