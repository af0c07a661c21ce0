#!/usr/bin/env bash
# Runs each benchmark program of a build in turn and prints its lines
# "NAME VALUE BOUND ok|short". A benchmark that needs other running programs has a
# script with its name in scripts/.
#
#   scripts/run_benches.sh BIN
#
# Exit code 0 when every benchmark succeeded and no line is short, except those that
# KNOWN-RED.txt lists in a line "bench: NAME".
set -uo pipefail
bin=$1
here=$(dirname "$0")
known_red=KNOWN-RED.txt
short=0
failed=0
lines=0

is_known_red() {
  [ -f "$known_red" ] && grep -qE "^bench: $1( |\$)" "$known_red"
}

run_bench() {
  local program=$1 script
  script=$here/$(basename "$program").sh
  if [ -x "$script" ]; then
    "$script" "$bin"
  else
    "$program"
  fi
}

# count_verdicts: prints its input and counts the lines with the verdicts ok and short.
count_verdicts() {
  local line name verdict
  while read -r line; do
    echo "$line"
    read -r name _ _ verdict _ <<<"$line"
    case $verdict in
      ok) lines=$((lines + 1)) ;;
      short)
        lines=$((lines + 1))
        if is_known_red "$name"; then
          echo "known red: $name"
        else
          short=$((short + 1))
        fi
        ;;
    esac
  done
}

output=$(mktemp)
trap 'rm -f "$output"' EXIT
for program in "$bin"/bench_*; do
  [ -x "$program" ] || continue
  run_bench "$program" >"$output"
  status=$?
  # Exit code 1 may mean that a line is short; count_verdicts then counts that line.
  if [ "$status" -gt 1 ] || { [ "$status" -eq 1 ] && ! grep -qE ' short$' "$output"; }; then
    failed=$((failed + 1))
    echo "FAILED: $(basename "$program") ended with status $status"
  fi
  count_verdicts <"$output"
done
echo "benches: $lines figures, $short short, $failed benches failed"
[ "$lines" -gt 0 ] && [ "$short" -eq 0 ] && [ "$failed" -eq 0 ]
