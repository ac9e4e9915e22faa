#!/usr/bin/env bash
# Builds the programs of the third review's scripts into target/review-3. They need a C++ compiler
# and nothing else; the processes under test are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/support-3/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = kit ] && continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" review/support-3/kit.cpp \
        -o "target/review-3/$name"
done
