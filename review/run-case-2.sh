#!/bin/sh
# Runs a case or trial of the second review: run-case-2.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. Where the script is told to end, it ends the program and the mixers that the program has started.
name=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/release/wharfhub ] || [ ! -x target/review-2/driver ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
REVIEW_IDS=$(mktemp) || exit 2
export REVIEW_IDS
target/review-2/driver "$name" "$folder" &
driver=$!
stop() {
    kill -KILL "$driver" 2>/dev/null
    while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$REVIEW_IDS"
    rm -rf "$REVIEW_IDS" "${TMPDIR:-/tmp}/review-2-$driver"
    exit 2
}
trap stop TERM INT HUP
wait "$driver"
code=$?
rm -f "$REVIEW_IDS"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
