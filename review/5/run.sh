#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program="target/review/case-$(basename "$here")"
[ -x "$program" ] && [ -x target/persimmonfield-platform ] || exit 2
directory=$(mktemp -d)
# timeout leads a process group of its own, to which all processes of the case belong.
timeout -k 2 115 "$program" "$directory" "$here/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$directory"' EXIT
trap 'exit 2' INT TERM
wait "$group"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
