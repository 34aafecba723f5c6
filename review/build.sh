#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -pthread -Wall -Wextra -o bin/rig rig/main.cpp
