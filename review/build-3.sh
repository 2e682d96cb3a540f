#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. The router is built by the command
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cpp; do
  name="$(basename "$source" .cpp)"
  g++ -std=c++20 -O1 -pthread -Ireview/standin-3 "$source" \
    -o "target/review-3/$name"
done
