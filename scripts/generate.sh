#!/usr/bin/env bash
# Regenerates src/messages/generated from the schemas with quicktype.
# Usage: scripts/generate.sh [--check]   (--check only compares, and passes if quicktype is not installed)
set -euo pipefail
cd "$(dirname "$0")/.."
quicktype=${QUICKTYPE:-$(command -v quicktype || true)}
if [ -z "$quicktype" ]; then
    [ "${1:-}" = --check ] && { echo "quicktype is absent: schema and code not compared"; exit 0; }
    echo "quicktype is needed: npm install -g quicktype@26" >&2
    exit 1
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for schema in src/messages/schema/*.json; do
    name=$(basename "$schema" .json)
    "$quicktype" --lang c++ --src-lang schema --code-format with-struct --no-boost \
        --type-style pascal-case --member-style camel-case --enumerator-style pascal-case \
        --include-location global-include --namespace "persimmonfield::$name" --top-level "$(head -c1 <<<"$name" | tr a-z A-Z)${name:1}Schema" \
        -o "$work/$name.h" "$schema"
done
if [ "${1:-}" = --check ]; then
    diff -r "$work" src/messages/generated
else
    cp "$work"/*.h src/messages/generated/
fi
