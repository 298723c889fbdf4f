#!/usr/bin/env bash
# Commands behind ./run. Each installs what it needs, builds, and exits non-zero on failure.
set -euo pipefail

readonly packages=(g++ cmake ninja-build ccache clang-format clang-tidy libboost1.81-dev libzmq3-dev
    cppzmq-dev libprotobuf-dev nlohmann-json3-dev libeasyloggingpp-dev libgtest-dev libgmock-dev
    librapidcheck-dev libxxhash-dev)
readonly build=build
readonly sanitized=build-sanitized

# Installs the declared packages that are missing.
installPackages() {
    local missing=()
    for it in "${packages[@]}"; do
        dpkg-query -W -f='${Status}\n' "$it" 2>/dev/null | grep -q '^install ok installed$' || missing+=("$it")
    done
    [ ${#missing[@]} -eq 0 ] && return
    echo "installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
}

configure() {
    [ -f "$1/build.ninja" ] || cmake -S . -B "$1" -G Ninja "${@:2}" >/dev/null
}

buildAll() {
    installPackages
    configure $build -DCMAKE_BUILD_TYPE=RelWithDebInfo
    cmake --build $build -- -k 1 "$@"
}

# The demo and what it starts; no tests.
buildDemo() {
    installPackages
    configure $build -DCMAKE_BUILD_TYPE=RelWithDebInfo
    cmake --build $build --target citronpitch-demo citronpitchd citronpitch citronpitch-fakeupstream
}

buildSanitized() {
    installPackages
    configure $sanitized -DCMAKE_BUILD_TYPE=Debug -DCITRONPITCH_SANITIZE=ON
    cmake --build $sanitized --target decisiontests decodertests fuzztests
}

sources() {
    git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.' | sort -u
}

format() {
    installPackages
    sources | xargs -r -P "$(nproc)" -n 8 clang-format -i
}

checkFormat() {
    sources | xargs -r -P "$(nproc)" -n 8 clang-format --dry-run --Werror
}

# Lints the sources that changed, or whose headers changed, since their last clean run.
lint() {
    installPackages
    # Always configured anew: nothing is built there, so that new files and definitions would else stay unknown.
    cmake -S . -B build-lint -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
    mkdir -p build-lint/clean
    sources | grep '\.cpp$' | xargs -r -P "$(nproc)" -n 1 bash tools/lintfile.sh build-lint
}

runTests() {
    buildAll
    checkFormat
    lint
    buildSanitized
    bash tools/knownred.sh $build $sanitized
}

case "${1:-help}" in
build) buildAll "${@:2}" ;;
format) format ;;
lint) lint ;;
test) runTests ;;
demo) buildDemo && $build/bench/citronpitch-demo --programs $build "${@:2}" ;;
soak) buildAll && $build/tests/citronpitch-soak --programs $build "${@:2}" ;;
fuzz) buildAll && $build/tests/citronpitch-fuzz "${@:2}" ;;
bench) buildAll && $build/bench/citronpitch-bench --programs $build "${@:2}" ;;
*) echo "usage: ./run build|format|lint|test|demo|fuzz|soak|bench" && exit 2 ;;
esac
