#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, into target/review/.
# The router itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I. -o "target/review/case-$name" \
    "$source" review/standin/net.cpp review/standin/store.cpp review/standin/fleet.cpp
done
