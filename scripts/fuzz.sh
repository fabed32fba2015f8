#!/usr/bin/env bash
# Runs the stateful property-based tests with a given seed and number of cases. Usage: scripts/fuzz.sh SEED COUNT
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:?usage: scripts/fuzz.sh SEED COUNT}
count=${2:?usage: scripts/fuzz.sh SEED COUNT}
export RC_PARAMS="seed=$seed max_success=$count"
for name in membership ownership limits gate platform config messages; do
    (cd "tests/$name" && "../../build/release/tests/test-$name")
done
