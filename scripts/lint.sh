#!/usr/bin/env bash
# Checks the formatting and runs the linter. Usage: scripts/lint.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
find src tests bench platform \( -name '*.h' -o -name '*.cpp' \) -not -path '*/generated/*' -print0 \
    | xargs -0 clang-format --dry-run --Werror
find src platform -name '*.cpp' -print0 | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$1"
