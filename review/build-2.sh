#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The programs of the deploy file are built before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = rig ] && continue
    rustc --edition 2024 -O --crate-name "$name" -o "target/review-2/$name" "$source"
done
