#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with their stand-ins, into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
objects=()
for source in review/support-2/*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$number" &
done
wait
