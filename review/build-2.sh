#!/bin/sh
# Builds the cases 6 to 10 and their stand-ins into target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/harness/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -c "$source" \
    -o "$out/$(basename "$source" .cpp).o"
done
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp \
  review/9/case.cpp review/10/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread "$source" "$out"/*.o \
    -o "$out/case-$number"
done
