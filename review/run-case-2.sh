#!/bin/sh
# Runs the program of one case (the argument: its folder), which writes record.txt, in a process group of its own, so that whatever
# the case started can be ended by its id. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program=$root/target/review-2/case-$(basename "$folder")
[ -x "$root/target/release/silverthread" ] || { echo "run the build of the deploy file first" >&2; exit 2; }
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
setsid timeout -k 2 115 "$program" &
pid=$!
trap 'kill -KILL -- -$pid 2>/dev/null' INT TERM
wait $pid
code=$?
kill -KILL -- -$pid 2>/dev/null
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
