#!/usr/bin/env bash
# Builds the cases of this review and their stand-ins, one program a case, with the compiler that the deploy file's
# packages bring.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
pids=()
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -f "$source" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review-2/case_$number" "$source" &
  pids+=("$!")
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
