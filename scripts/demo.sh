#!/usr/bin/env bash
# Builds, starts the stand-ins and a small fleet on loopback, applies a sample configuration, sends traffic,
# takes an availability zone out of service and back in, and prints a summary. Stops only the processes that it
# started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh >&2
cmake --preset release >&2
cmake --build build/release --parallel "$(nproc)" \
    --target persimmonfieldd persimmonctl standin-platform standin-server >&2
bin=$PWD/build/release
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT
export PERSIMMONFIELD_PLATFORM=http://127.0.0.1:20000

"$bin/tests/standin-platform" --port=20000 >"$work/platform.log" 2>&1 &
pids+=($!)
head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/secret"
number=0
for zone in a b c; do
    for _ in 1 2; do
        port=$((20010 + number * 10))
        "$bin/tests/standin-server" --port=$((port + 3)) >"$work/server-$number.log" 2>&1 &
        pids+=($!)
        cat >"$work/daemon-$number.ini" <<INI
[persimmonfieldd]
name = $zone$number
zone = $zone
service = cards
caller-address = 127.0.0.1:$port
peer-address = 127.0.0.1:$((port + 1))
operator-address = 127.0.0.1:$((port + 2))
server-address = 127.0.0.1:$((port + 3))
platform = $PERSIMMONFIELD_PLATFORM
peer-secret-file = $work/secret
caller-connections = 32
INI
        "$bin/persimmonfieldd" --settings="$work/daemon-$number.ini" 2>"$work/daemon-$number.log" &
        pids+=($!)
        number=$((number + 1))
    done
done

mkdir "$work/config"
key=$("$bin/persimmonctl" key organisers cairnloch)
secret=$(sed -n 's/^; .*: //p' <<<"$key")
{
    printf '[service cards]\npartitions = 32\n'
    printf '[route cards]\nservice = cards\npath = /cards/{key}\naccess = team\nidempotent = yes\n'
    printf '[team cairnloch]\nrate = 1000\nburst = 500\n%s\n' "$key"
} >"$work/config/fleet.ini"

apply() {
    for _ in $(seq 50); do
        "$bin/persimmonctl" apply "$work/config" --wait && return
        sleep 0.2
    done
    return 1
}
# Sends 60 requests through all daemons, prints how many were answered and fails unless all were.
send() {
    local answered=0
    for i in $(seq 60); do
        port=$((20010 + i % 6 * 10))
        status=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $secret" \
            "http://127.0.0.1:$port/cards/card-$i" || true)
        [ "$status" = 200 ] && answered=$((answered + 1))
    done
    echo "$1: $answered of 60 requests answered"
    [ "$answered" = 60 ]
}

apply
for _ in $(seq 100); do
    "$bin/persimmonctl" status | grep -c ' lease ' | grep -qx 6 && break
    sleep 0.2
done
sleep 3
send "all availability zones in"
printf '[availability-zone b]\nstate = out\n' >>"$work/config/fleet.ini"
apply
sleep 3
send "availability zone b out"
"$bin/persimmonctl" status
sed -i 's/^state = out/state = in/' "$work/config/fleet.ini"
apply
sleep 4
send "availability zone b back"
"$bin/persimmonctl" status
echo "events: $("$bin/persimmonctl" timeline | wc -l)"
