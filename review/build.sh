#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs g++ and the Boost and JSON headers that deploy/system.toml declares.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
pids=()
for it in http executor fleet; do
    g++ "${flags[@]}" -c "$it.cpp" -o "bin/$it.o" &
    pids+=($!)
done
for it in "${pids[@]}"; do
    wait "$it"
done
pids=()
for it in lateorder cancelledjob drainedjobs movedexecutor labelledjobs; do
    g++ "${flags[@]}" "$it.cpp" bin/http.o bin/executor.o bin/fleet.o -o "bin/$it" &
    pids+=($!)
done
for it in "${pids[@]}"; do
    wait "$it"
done
