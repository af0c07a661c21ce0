#!/usr/bin/env bash
# Builds the cases and their stand-ins, one program a case, with the compiler that the deploy file's packages bring.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/[1-5]/case.cpp; do
  name=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review/case_$name" "$source" &
  pids+=("$!")
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
