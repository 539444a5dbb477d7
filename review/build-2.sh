#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review-2/review-cases \
  review/support-2/*.cc
