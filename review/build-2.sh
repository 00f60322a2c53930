#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts of this review into
# target/review-2/. The program itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/driver.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I review "$source" \
    -o "target/review-2/case-$number" \
    -lcpprest -lboost_system -lssl -lcrypto -lpthread
done
