#!/bin/bash
# Runs the program of a case: run-case.sh PROGRAM FOLDER. The program ends its mixers itself; where this script is told to end, it ends
# the program and the mixers that the program has started.
program=$1 folder=$2
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/release/wharfhub ] || [ ! -x "target/review/$program" ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build.sh first" >&2
    exit 2
fi
pids=$(mktemp)
"target/review/$program" "$folder" "$pids" &
child=$!
stop() {
    kill -KILL "$child" 2>/dev/null
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$pids"
    rm -rf "$pids" "${TMPDIR:-/tmp}/wharfhub-review-$child"
    exit 2
}
trap stop TERM INT HUP
wait "$child"
code=$?
rm -f "$pids"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
