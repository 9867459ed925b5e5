#!/bin/bash
# Builds the stand-ins and checkers of the review's cases and trials, after the build of the deploy file. Needs rustc and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand-ins/*.rs review/trials/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc --edition 2021 -O -o "target/review/$name" "$source"
done
