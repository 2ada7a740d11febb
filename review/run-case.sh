#!/bin/sh
# Runs the program of one case (the argument: its folder) in a temporary folder, and writes record.txt.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
REVIEW_ROOT=$(cd "$folder/../.." && pwd) || exit 2
program=$REVIEW_ROOT/review/bin/case-$(basename "$folder")
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x "$REVIEW_ROOT/target/release/silverthread" ] || { echo "run the build of the deploy file first" >&2; exit 2; }
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_ROOT REVIEW_TMP
cd "$REVIEW_ROOT" || exit 2
# A process group of its own, so that whatever the case started can be ended by its id.
setsid timeout -k 2 110 "$program" >"$folder/record.txt" 2>"$REVIEW_TMP/errors" &
pid=$!
trap 'kill -KILL -- -$pid 2>/dev/null' INT TERM
wait $pid
code=$?
kill -CONT -- -$pid 2>/dev/null
kill -KILL -- -$pid 2>/dev/null
{ echo "--- errors"; cat "$REVIEW_TMP/errors"; echo "--- the node's log"; tail -n 60 "$REVIEW_TMP/node.log"; } >>"$folder/record.txt" 2>/dev/null
rm -rf "$REVIEW_TMP"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
