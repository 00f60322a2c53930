#!/usr/bin/env bash
# Builds the programs of the review's cases into target/review/, with the
# compiler alone. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++17 -O1 -Wall -Wextra -I review -o "target/review/case$number" \
    "$source" -pthread
done
