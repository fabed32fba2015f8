#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++17 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standins-2/harness.cpp -o target/review-2/harness.o
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = harness ] && continue
    g++ "${flags[@]}" "$source" target/review-2/harness.o -o "target/review-2/$name"
done
