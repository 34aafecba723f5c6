#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/7 and later into target/review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -I review/rig-2 "$source" -o "target/review-2/case-$number" -pthread
done
