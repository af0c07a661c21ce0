#!/usr/bin/env bash
# Runs each torture program of a build with the seeds 1 to SEEDS.
#
#   scripts/torture.sh BIN SEEDS
#
# Exit code 0 when at least one program ran and none found a violation.
set -uo pipefail
bin=$1
seeds=$2
ran=0
failed=0
for program in "$bin"/torture_*; do
  [ -x "$program" ] || continue
  ran=$((ran + 1))
  if ! "$program" --seeds "$seeds"; then
    failed=$((failed + 1))
    echo "FAILED: $(basename "$program") --seeds $seeds"
  fi
done
echo "torture: $ran programs, $failed failed"
[ "$ran" -gt 0 ] && [ "$failed" -eq 0 ]
