#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases with a script into target/review/. Needs the packages of
# deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
read -ra flags <<<"$(pkg-config --cflags --libs cpp-httplib)"
for main in review/*/main.cpp; do
    case=$(basename "$(dirname "$main")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/case-$case" "$main" review/standins/fleet.cpp "${flags[@]}"
done
