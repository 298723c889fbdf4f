#!/usr/bin/env bash
# Builds the programs of the scripts in review/6 to review/10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly sources=review/standins-2 programs=target/review-2
mkdir -p $programs
for it in lateorder overfull reborn stalledlog; do
    g++ -std=c++20 -O1 -Wall -pthread -I$sources $sources/$it.cpp $sources/fleet.cpp $sources/http.cpp -o $programs/$it
done
