#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build/review-2/.
set -eu
ROOT="$(cd "$(dirname "$0")/.." && pwd)"
mkdir -p "$ROOT/build/review-2"
g++ -std=c++17 -O1 -Wall -o "$ROOT/build/review-2/world" "$ROOT/review/standins-2/world.cpp"
