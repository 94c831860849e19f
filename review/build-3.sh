#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O1 -Wall -Wextra -pthread review/standins-3/*.cc -o target/review-3/world
