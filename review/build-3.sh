#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3, with the project's own stand-ins. The build of
# the deploy file must have run before: its libraries are used.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
packages="absl_status absl_statusor absl_strings fmt libcrypto libxxhash inih zlib"
flags=(-std=c++17 -O1 -pthread -DASIO_STANDALONE -Isrc -Iplatform -Itests -Ireview/shared-3)
# shellcheck disable=SC2046
common() { g++ "${flags[@]}" $(pkg-config --cflags $packages) -c "$1" -o "$out/$2.o"; }
common tests/standins/loopback.cpp loopback &
common tests/standins/faultproxy.cpp faultproxy &
common tests/fleet/process.cpp process &
for source in review/shared-3/*.cpp; do
    common "$source" "$(basename "$source" .cpp)" &
done
for job in $(jobs -p); do
    wait "$job"
done
libraries=()
for name in platform sidecar routing rollout ownership membership config store transport http limits messages base; do
    libraries+=("target/libpf-$name.a")
done
for source in review/shared-3/*.cpp; do
    name=$(basename "$source" .cpp)
    # shellcheck disable=SC2046
    g++ -pthread "$out/$name.o" "$out/loopback.o" "$out/faultproxy.o" "$out/process.o" -o "$out/$name" \
        -Wl,--start-group "${libraries[@]}" -Wl,--end-group $(pkg-config --libs $packages)
done
