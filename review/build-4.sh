#!/usr/bin/env bash
# Builds what the scripts of the fourth review start besides the system itself, into target/review-4.
# The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-4
for source in review/support-4/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-4/$(basename "$source" .cpp)" "$source"
done
