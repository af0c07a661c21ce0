#!/usr/bin/env bash
# Runs real processes on loopback under faults selected by the seed: nine hosts, the
# services of both examples and callers that check every answer. Faults occur alone
# and overlapping. On a violation it prints seed, time, promise and the packet or
# request, and keeps the logs.
#
#   scripts/soak.sh SEED DURATION    DURATION in seconds
#
# Variables: SOAK_NET (127.0; first two octets of all addresses), SOAK_RATE (80
# requests a second), SOAK_FEEDS (100), both per deployment, SOAK_FAULTS (names of the
# faults to select from), SOAK_DATAGRAM_FAULTS (1; 0: no datagram is dropped,
# duplicated or delayed).
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
seed=${1:-1}
duration=${2:-60}
bin=build/bin
net=${SOAK_NET:-127.0}
rate=${SOAK_RATE:-80}
feeds=${SOAK_FEEDS:-100}
first_faults=(host_kill host_freeze platform_down answer_lost)
read -ra faults <<<"${SOAK_FAULTS:-${first_faults[*]} host_replace host_drain upstream_kill upstream_drain \
  upstream_shed upstream_lie upstream_slow upstream_cold platform_slow platform_limit apply_race data_centre_cut}"
[ -n "${SOAK_FAULTS:-}" ] && first_faults=("${faults[@]}")
data_centres=(worcester manchester hartford)
work=$(mktemp -d /tmp/galenabay-soak.XXXXXX)
. scripts/fleet.sh
trap stop_fleet EXIT
RANDOM=$seed
declare -A fault_count=() frozen=() revisions=() caller_pid=()
scheduled=() violations=0
host_number=0 apply_number=0
started_at=$(date +%s)

now() { date +%s; }
log_event() { echo "$(now) $*" >>"$work/events.txt"; }
# violation PROMISE DETAILS: counts and prints a violation. Its time is that of
# `time_ms=` in DETAILS, or the current time when that is missing.
violation() {
  violations=$((violations + 1))
  local time_ms=${2##*time_ms=}
  [ "$time_ms" = "$2" ] && time_ms=$(date +%s%3N)
  echo "violation seed=$seed time=$((${time_ms%% *} - started_at * 1000))ms promise=$1 $2"
}
# schedule SECONDS COMMAND: the main loop runs the command after SECONDS.
schedule() { scheduled+=("$(($(now) + $1))|$2"); }
# pick_random ITEM...: sets `picked` to a random item.
pick_random() {
  local list=("$@")
  picked=${list[RANDOM % ${#list[@]}]}
}

# --- fleet
new_host() {
  host_number=$((host_number + 1))
  local name=${data_centres[host_number % 3]}-$host_number
  start_host "$name" "$net.1.$host_number"
  schedule 1 "admit_host $name 20"
}
# admit_host NAME RETRIES: adds a host to the fabric once it is ready. Checks once a
# second; when the retries are used up, reports a violation.
admit_host() {
  [ -n "${host_address[$1]:-}" ] || return 0
  if is_ready "${host_address[$1]}"; then
    fabric_add "${host_address[$1]}"
  else
    [ "$2" -gt 0 ] && schedule 1 "admit_host $1 $(($2 - 1))" || violation host_becomes_ready "host=$1"
  fi
}
# pick_host: sets `picked` to a random host that is in the fabric and not frozen.
# Fails unless there are more than five, so that at least five keep running.
pick_host() {
  local names=()
  for name in "${!host_pid[@]}"; do
    [ -z "${frozen[$name]:-}" ] && grep -qxF "${host_address[$name]}" "$work/fabric" && names+=("$name")
  done
  [ "${#names[@]}" -gt 5 ] || return 1
  mapfile -t names < <(printf '%s\n' "${names[@]}" | sort)
  pick_random "${names[@]}"
}
stub_command() { "$bin/upstream_stub" --send "$1" --to "$net.0.1:$2" >/dev/null || violation stand_in_answers "command=$1"; }
platform_fault() { "$bin/platform_stub" --to "$platform" --fault "$1" >/dev/null; }

# write_set FILE_PREFIX DRAINED: writes the sets of both deployments, on different
# ports and with the upstream DRAINED draining.
write_set() {
  sed "s/^name: .*/name: soak/; s/127\.0\./$net./g; /name: $2,/s/}/, draining: true}/" examples/alliance.yaml >"$1-alliance.yaml"
  sed "s/^name: .*/name: soak/; s/127\.0\.2\./127.0.4./g; s/192\.0\.2\.1/192.0.2.2/; s/port: 5683/port: 5685/; s/port: 5684/port: 5686/
    s/127\.0\./$net./g; /name: $2,/s/}/, draining: true}/" examples/tshwane.yaml >"$1-tshwane.yaml"
}
# apply_set DRAINED AUTHOR: applies the sets in the background. Conflicts and outages
# are expected, so a failed apply is not a violation.
apply_set() {
  apply_number=$((apply_number + 1))
  local prefix=$work/set-$apply_number
  write_set "$prefix" "$1"
  (
    "$bin/galenactl" --platform "$platform" --author "$2" --timeout 15 apply --wait "$prefix-alliance.yaml" \
      "$prefix-tshwane.yaml" >"$prefix.log" 2>&1
    echo "$(now) apply drained=$1 author=$2 status=$?" >>"$work/events.txt"
  ) &
  fleet_pids+=($!)
}

# --- faults: each starts one fault and may schedule its end
fault_host_kill() {
  pick_host || return 1
  local name=$picked
  log_event "kill $name"
  kill_host "$name"
  schedule 1 "fabric_remove ${host_address[$name]}"
  schedule 2 "unregister_host $name; new_host"
}
fault_host_freeze() {
  pick_host || return 1
  local name=$picked
  log_event "freeze $name"
  frozen[$name]=1
  kill -STOP "${host_pid[$name]}"
  schedule 1 "fabric_remove ${host_address[$name]}"
  schedule $((6 + RANDOM % 8)) "thaw_host $name"
}
thaw_host() {
  log_event "thaw $1"
  kill -CONT "${host_pid[$1]}" && unset "frozen[$1]"
  schedule 1 "admit_host $1 20"
}
fault_host_drain() {
  pick_host || return 1
  local name=$picked
  log_event "stop $name"
  kill -TERM "${host_pid[$name]}"
  schedule 1 "fabric_remove ${host_address[$name]}"
  schedule 14 "expect_stopped $name"
}
expect_stopped() {
  if kill -0 "${host_pid[$1]}" 2>/dev/null; then
    violation planned_stop_ends "host=$1"
  elif ! wait "${host_pid[$1]}"; then
    violation planned_stop_exit_code "host=$1 log=$work/$1.log"
  fi
  grep -a 'event=stopped' "$work/$1.log" | grep -qv 'open_requests=0' &&
    violation planned_stop_cuts_no_request "host=$1 $(grep -a 'event=stopped' "$work/$1.log")"
  unregister_host "$1"
  new_host
}
fault_host_replace() {
  new_host
  fault_host_drain
}
fault_platform_down() { platform_fault '{"down": true}' && schedule $((3 + RANDOM % 10)) "platform_fault '{\"down\": false}'"; }
fault_platform_slow() { platform_fault '{"delay_ms": 800}' && schedule 8 "platform_fault '{\"delay_ms\": 0}'"; }
fault_platform_limit() { platform_fault '{"reject_every": 3}' && schedule 8 "platform_fault '{\"reject_every\": 0}'"; }
fault_answer_lost() {
  platform_fault '{"lose_write_answers": 2}'
  apply_set "parts-0$((1 + RANDOM % 9))" first
}
fault_apply_race() {
  apply_set "parts-0$((1 + RANDOM % 9))" first
  apply_set "queue-0$((1 + RANDOM % 9))" second
}
# upstream_fault COMMAND UNDO SECONDS: sends COMMAND to one of the 28 upstreams of the
# two larger services, and UNDO after SECONDS. NUMBER stands for the upstream.
upstream_fault() {
  local number=$((1 + RANDOM % 14)) deployment=$((RANDOM % 2))
  local port=$((7901 + deployment)) third_octet=$((2 + 2 * deployment)) service_port=$((5683 + 2 * deployment))
  [ "${1%% *}" = kill ] && echo "$net.$third_octet.$number:$service_port" >>"$work/excused"
  log_event "upstream ${1/NUMBER/$net.$third_octet.$number:$service_port}"
  stub_command "${1/NUMBER/$number}" "$port"
  schedule "$3" "stub_command '${2/NUMBER/$number}' $port"
}
fault_upstream_kill() { upstream_fault "kill NUMBER" "revive NUMBER" 6; }
fault_upstream_drain() { upstream_fault "drain NUMBER" "undrain NUMBER" 8; }
fault_upstream_shed() { upstream_fault "shed NUMBER" "unshed NUMBER" 5; }
fault_upstream_lie() { upstream_fault "lie NUMBER" "truth NUMBER" 8; }
fault_upstream_slow() { upstream_fault "slow NUMBER 8" "slow NUMBER 1" 8; }
fault_upstream_cold() { upstream_fault "cold NUMBER" "cold NUMBER" 1; }
# cut_data_centre NAME: cuts the data centre off from the others and the platform;
# "none" ends the partition.
cut_data_centre() {
  log_event "cut $1"
  local name other
  for name in "${!host_pid[@]}"; do
    for other in "${data_centres[@]}" platform; do
      if [ "$1" != none ] && [ "$other" != "${name%-*}" ] && { [ "${name%-*}" = "$1" ] || [ "$other" = "$1" ]; }; then
        echo "$other"
      fi
    done >"$work/$name.cut"
    kill -HUP "${host_pid[$name]}" 2>/dev/null
  done
}
fault_data_centre_cut() {
  pick_random "${data_centres[@]}"
  cut_data_centre "$picked"
  schedule 8 "cut_data_centre none"
}

# --- checks
# check_hosts: records the revision number of each host that is not frozen, and
# reports a violation when it decreased.
check_hosts() {
  local name number
  for name in "${!host_pid[@]}"; do
    [ -n "${frozen[$name]:-}" ] && continue
    number=$(http_get "${host_address[$name]}" 7103 /metrics | sed -nE 's/^galenabay_revision_number ([0-9]+).*/\1/p')
    [ -n "$number" ] || continue
    [ "$number" -ge "${revisions[$name]:-0}" ] || violation never_reverts "host=$name from=${revisions[$name]} to=$number"
    revisions[$name]=$number
  done
}
# check_logs: reports a violation for each log with a broken invariant or a crash.
check_logs() {
  local file
  for file in "$work"/*.log; do
    grep -aE 'invariant_broken|terminate called|ERROR: AddressSanitizer' "$file" | head -3 >"$work/broken.txt"
    [ -s "$work/broken.txt" ] && violation program_invariant "log=$file $(cat "$work/broken.txt")"
  done
}
# in_force_everywhere: succeeds when all hosts have the same revision in force.
in_force_everywhere() {
  revisions=()
  check_hosts
  [ "${#revisions[@]}" -eq "${#host_pid[@]}" ] && [ "$(printf '%s\n' "${revisions[@]}" | sort -u | wc -l)" -eq 1 ]
}
# report_caller_violations: reports the first ten violations that a caller_load
# printed; check_failed when it failed without printing any.
report_caller_violations() {
  local line
  [ -s "$work/caller-violations.txt" ] || echo "violation=check_failed" >"$work/caller-violations.txt"
  while read -r line; do violation "$(sed -E 's/^violation=([a-z_]+).*/\1/' <<<"$line")" "$line"; done < <(head -10 "$work/caller-violations.txt")
}
run_scheduled() {
  local entry due=() rest=()
  for entry in "${scheduled[@]}"; do
    if [ "${entry%%|*}" -le "$(now)" ]; then due+=("${entry#*|}"); else rest+=("$entry"); fi
  done
  scheduled=("${rest[@]}")
  for entry in "${due[@]}"; do eval "$entry"; done
}

# --- main program
: >"$work/fabric"
: >"$work/excused"
start_platform --list-lag 1000
for _ in 1 2 3 4 5 6 7 8 9; do new_host; done
datagram_faults=()
[ "${SOAK_DATAGRAM_FAULTS:-1}" = 1 ] && datagram_faults=(--drop-percent 0.3 --double-percent 0.5 --delay-percent 2)
start_stubs() { # LOG SERVICE RANGE COUNT CONTROL_PORT
  run_program "$work/$1.log" "$bin/upstream_stub" --service "$2" --listen-range "$3" --count "$4" --seed "$((seed + $5))" \
    --control "$net.0.1:$5" --record "$work/runs-$1.txt" --cold-s 2 --report-lag-ms 1000 "${datagram_faults[@]}"
}
start_stubs parts parts-exchange "$net.2.1:5683" 14 7901
start_stubs queue sharpening-queue "$net.4.1:5685" 14 7902
start_stubs vault title-vault "$net.2.21:5684" 4 7903
start_stubs store profile-store "$net.4.21:5686" 4 7904
write_set "$work/set-0" none
wait_for 10 "$bin/galenactl" --platform "$platform" apply --wait "$work"/set-0-*.yaml >"$work/set-0.log" 2>&1 ||
  { cat "$work/set-0.log"; exit 1; }
until [ "$(wc -l <"$work/fabric")" -ge 9 ] || [ "$(now)" -gt $((started_at + 40)) ]; do
  run_scheduled
  sleep 0.2
done
start_callers() { # NAME SEED MAIN_SERVICE STORE_SERVICE
  "$bin/caller_load" --hosts-file "$work/fabric" --feeds "$feeds" --requests-per-second "$rate" --swing 3@8 \
    --service "$3:coap:feeds,holds,profiles" --service "$4:coap:titles" --duration "$duration" --seed "$2" \
    --record "$work/holds-$1.txt" --report "$work/report-$1.txt" --excused-upstreams "$work/excused" \
    "${datagram_faults[@]}" >"$work/callers-$1.log" 2>&1 &
  caller_pid[$1]=$!
  fleet_pids+=($!)
}
start_callers alliance "$((seed * 2))" parts-exchange=5683 title-vault=5684
start_callers tshwane "$((seed * 2 + 1))" sharpening-queue=5685 profile-store=5686
load_end=$(($(now) + duration))
next_fault=$(($(now) + 3))
while [ "$(now)" -lt "$load_end" ]; do
  run_scheduled
  check_hosts
  if [ "$(now)" -ge "$next_fault" ] && [ "$(now)" -lt $((load_end - 8)) ]; then
    if [ "${#first_faults[@]}" -gt 0 ]; then
      picked=${first_faults[0]}
      first_faults=("${first_faults[@]:1}")
    else
      pick_random "${faults[@]}"
    fi
    fault=$picked
    log_event "fault $fault"
    "fault_$fault" && fault_count[$fault]=$((${fault_count[$fault]:-0} + 1))
    next_fault=$(($(now) + 1 + RANDOM % 6))
  fi
  sleep 0.5
done
while [ "${#scheduled[@]}" -gt 0 ]; do
  run_scheduled
  sleep 0.2
done
wait_for 15 in_force_everywhere || violation accepted_in_force "$(declare -p revisions)"
for name in alliance tshwane; do
  wait "${caller_pid[$name]}" && continue
  grep -a '^violation=' "$work/callers-$name.log" >"$work/caller-violations.txt"
  report_caller_violations
done
"$bin/caller_load" --check-records "$work/holds-alliance.txt,$work/holds-tshwane.txt" \
  "$work/runs-parts.txt,$work/runs-queue.txt" >"$work/records.txt" 2>"$work/caller-violations.txt" ||
  report_caller_violations
check_logs
echo "work: $(cat "$work"/report-*.txt | grep -E '^(requests|ok|refused|unknown|lost|feeds_wanted|feeds_held|feeds_broken|feeds_excused)=' |
  awk -F= '{sum[$1] += $2} END {for (name in sum) printf "%s=%d ", name, sum[name]}')"
echo "faults: $(for name in "${!fault_count[@]}"; do echo "$name=${fault_count[$name]}"; done | sort | tr '\n' ' ')"
echo "refusals and retries of the running hosts: $(sum_metrics 'galenabay_(refusals|retries|flow_drops)_total' "${host_address[@]}" |
  sed -E 's/galenabay_([a-z_]+)_total\{reason="([a-z_]+)"\}/\1.\2/' | tr '\n' ' ')"
echo "violations: $violations (seed $seed)"
stop_fleet
trap - EXIT
[ "$violations" -eq 0 ] || { echo "logs: $work" && exit 1; }
rm -rf "$work"
