#!/usr/bin/env bash
# Runs the benchmarks and compares the results with the required bounds.
# Usage: scripts/bench.sh [path|ownership|requests|config|capacity] [--json]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh >&2
cmake --preset release >&2
cmake --build build/release --parallel "$(nproc)" >&2
exec build/release/persimmonfield-bench "$@"
