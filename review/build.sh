#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review.
# Needs g++ and nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O2 -Wall -Wextra -o target/review/world review/standins/main.cpp
