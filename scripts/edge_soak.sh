#!/usr/bin/env bash
# Runs the fault soak of galena_edged with the seeds FIRST to FIRST+SEEDS-1, JOBS at a
# time and DURATION seconds each.
#
#   scripts/edge_soak.sh BIN FIRST SEEDS DURATION JOBS
#
# Prints each run's output; exit code 1 when a run failed or violated a promise.
set -uo pipefail
bin=$1
first=$2
seeds=$3
duration=$4
jobs=$5

run_one() {
  local bin=$1 seed=$2 duration=$3 jobs=$4 log
  log=$(mktemp)
  "$bin/edge_soak" --program "$bin/galena_edged" --seed "$seed" --block $((seed % jobs)) --duration "$duration" \
    >"$log" 2>&1
  local status=$?
  cat "$log"
  rm -f "$log"
  return "$status"
}
status=0
for ((batch = first; batch < first + seeds; batch += jobs)); do
  pids=()
  for ((seed = batch; seed < batch + jobs && seed < first + seeds; ++seed)); do
    run_one "$bin" "$seed" "$duration" "$jobs" &
    pids+=("$!")
  done
  for pid in "${pids[@]}"; do
    wait "$pid" || status=1
  done
done
exit "$status"
