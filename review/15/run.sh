#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of the deploy file and review/build-3.sh.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review-3/staleconfig
[ -x "$program" ] && [ -x target/persimmonfield-platform ] || { echo "cannot run: not built"; exit 2; }
CASE_DIRECTORY=$(mktemp -d) || exit 2
export CASE_DIRECTORY
trap 'rm -rf "$CASE_DIRECTORY"' EXIT
"$program" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
