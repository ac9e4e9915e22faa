#!/usr/bin/env bash
# Builds the drivers of the cases, each with its stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    name=case-$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -o "target/review/$name" "$source" review/support/*.cpp -pthread
done
