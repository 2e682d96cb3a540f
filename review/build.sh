#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, into target/review/.
# The router itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
compile() {
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I. "$@"
}
builds=()
objects=()
for name in net store fleet; do
  objects+=("target/review/$name.o")
  compile -c -o "target/review/$name.o" "review/standin/$name.cpp" &
  builds+=($!)
done
for case in 1 2 3 4 5; do
  compile -c -o "target/review/$case.o" "review/$case/case.cpp" &
  builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
for case in 1 2 3 4 5; do
  compile -o "target/review/case-$case" "target/review/$case.o" "${objects[@]}"
done
