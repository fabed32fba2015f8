#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing if all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy curl
    libabsl-dev libwebsocketpp-dev libasio-dev libboost-dev libcpp-httplib-dev libinih-dev libdocopt-dev libfmt-dev
    nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev libcpputest-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -q
    apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
