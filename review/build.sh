#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder into target/review/. Run it
# after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for Source in review/[1-5]/case.cc; do
  [ -e "$Source" ] || continue
  Case=$(basename "$(dirname "$Source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/support "$Source" \
    -o "target/review/case-$Case"
done
