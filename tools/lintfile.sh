#!/usr/bin/env bash
# Lints one source file; a clean result is remembered under the hash of the file and the headers it includes.
set -euo pipefail
readonly folder=$1 file=$2
includes=$(g++ -std=c++20 -MM -I. -Iinclude -Isrc -Itests "$file" 2>/dev/null | tr -d '\\\n' | cut -d: -f2-)
mark=$folder/clean/$(cat .clang-tidy $includes | sha1sum | cut -c1-24)-${file//\//_}
[ -f "$mark" ] && exit 0
clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$folder" "$file" 2>/dev/null
touch "$mark"
