#!/usr/bin/env bash
# Runs the soak test of the platform daemon with each seed of a range, one after another, or with the seeds that
# failed in the past. The logs of a failed seed are kept in build/soak/SEED.
# Usage: scripts/soak.sh FIRST LAST [SECONDS]   or   scripts/soak.sh --known [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --known ]; then
    mapfile -t seeds < <(sed -n 's/^\([0-9]\+\) .*/\1/p' tests/soak/seeds.txt)
    seconds=${2:-20}
else
    mapfile -t seeds < <(seq "${1:?usage: scripts/soak.sh FIRST LAST [SECONDS]}" "${2:?usage: scripts/soak.sh FIRST LAST [SECONDS]}")
    seconds=${3:-20}
fi
binaries=build/release
failed=0
for seed in "${seeds[@]}"; do
    directory=build/soak/$seed
    rm -rf "$directory"
    mkdir -p "$directory"
    if "$binaries/tests/persimmonfield-soak" --program="$binaries/persimmonfield-platform" \
        --directory="$directory" --seed="$seed" --seconds="$seconds" >"$directory/soak.log" 2>&1; then
        grep '^seed' "$directory/soak.log"
        rm -rf "$directory"
    else
        failed=1
        grep -E '^BROKEN|^seed' "$directory/soak.log" || echo "seed $seed: ended without a result"
    fi
done
exit "$failed"
