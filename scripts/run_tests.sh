#!/usr/bin/env bash
# Runs every test program of a build; the last line is "N passed, N failed".
# Tests named in KNOWN-RED.txt ("test: GROUP.NAME ..." per entry) are run and
# printed but do not affect the exit code.
set -uo pipefail
bin=$1
passed=0
failed=0
known_red=KNOWN-RED.txt

is_known_red() {
  [ -f "$known_red" ] && grep -qE "^test: $1( |\$)" "$known_red"
}

for program in "$bin"/test_*; do
  [ -x "$program" ] || continue
  log=$(mktemp)
  timeout 600 "$program" -v >"$log" 2>&1
  status=$?
  name=$(basename "$program")
  summary=$(grep -aE '^(OK|Errors) \(' "$log" | tail -1)
  ran=$(sed -nE 's/.* ([0-9]+) ran,.*/\1/p' <<<"$summary")
  mapfile -t failures < <(grep -aE 'error: Failure in TEST\(' "$log" | sed -E 's/.*TEST\(([^,]+), ([^)]+)\).*/\1.\2/' | sort -u)
  for failure in "${failures[@]}"; do
    if is_known_red "$failure"; then
      echo "known red: $failure"
    else
      failed=$((failed + 1))
      echo "FAILED: $name $failure"
    fi
  done
  if [ -z "$summary" ] || { [ "$status" -ne 0 ] && [ "${#failures[@]}" -eq 0 ]; }; then
    failed=$((failed + 1))
    echo "FAILED: $name ended with status $status"
  fi
  if [ "$status" -ne 0 ]; then
    tail -40 "$log"
  fi
  passed=$((passed + ${ran:-0} - ${#failures[@]}))
  echo "$name: ${summary:-no summary}"
  rm -f "$log"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
