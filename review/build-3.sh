#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs only the C++ compiler and the C++ library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in review/rig-3/*.cpp; do
    name=$(basename "$program" .cpp)
    [ "$name" = rig ] || g++ -std=c++20 -O1 -Wall -pthread review/rig-3/rig.cpp "$program" -o "target/review-3/$name"
done
