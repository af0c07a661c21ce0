#!/usr/bin/env bash
# Runs one deployment on loopback: a platform stub, hosts, upstream stubs and
# callers. Kills one host half-way and starts a new one. Exits non-zero when an
# answer was wrong, lost or duplicated, or a feed broke.
#
#   scripts/demo.sh SITE HOSTS       SITE is the name of a file of examples/
#
# Variables: DEMO_SECONDS (20), DEMO_RATE (150 requests a second), DEMO_FEEDS (120),
# DEMO_NET (127.0; the first two octets of all addresses, so that concurrent runs
# can use different addresses).
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
site=${1:-alliance}
hosts=${2:-3}
bin=build/bin
net=${DEMO_NET:-127.0}
seconds=${DEMO_SECONDS:-20}
rate=${DEMO_RATE:-150}
feeds=${DEMO_FEEDS:-120}
work=$(mktemp -d /tmp/galenabay-demo.XXXXXX)
. scripts/fleet.sh
trap 'stop_fleet' EXIT

fail() {
  echo "demo failed: $1; logs in $work"
  exit 1
}

sed "s/127\.0\./$net./g" "examples/$site.yaml" >"$work/$site.yaml" || fail "cannot read examples/$site.yaml"
mapfile -t services < <(site_field "$work/$site.yaml" name | tail -n +1)
mapfile -t ports < <(site_field "$work/$site.yaml" port)
mapfile -t data_centres < <(site_data_centres "$work/$site.yaml")

echo "demo: $hosts hosts, services ${services[*]}"
start_platform || fail "the platform stub did not start"
for ((i = 0; i < hosts; i++)); do
  start_host "${data_centres[i % ${#data_centres[@]}]}-$((i + 1))" "$net.1.$((i + 1))"
  fabric_add "$net.1.$((i + 1))"
done
run_program "$work/upstreams-1.log" "$bin/upstream_stub" --service "${services[0]}" --listen-range "$net.2.1:${ports[0]}" \
  --count 14 --record "$work/runs-1.txt"
run_program "$work/upstreams-2.log" "$bin/upstream_stub" --service "${services[1]}" --listen-range "$net.2.21:${ports[1]}" \
  --count 4 --record "$work/runs-2.txt" --seed 2
"$bin/galenactl" --platform "$platform" apply --wait --timeout 30 "$work/$site.yaml" || fail "galenactl could not apply $work/$site.yaml"
for address in "${host_address[@]}"; do
  wait_for 10 is_ready "$address" || fail "$address did not become ready"
done

"$bin/caller_load" --hosts-file "$work/fabric" --feeds "$feeds" --requests-per-second "$rate" --swing 3@5 \
  --service "${services[0]}=${ports[0]}:coap:feeds,holds,profiles" --service "${services[1]}=${ports[1]}:coap:titles" \
  --duration "$seconds" --record "$work/holds.txt" --report "$work/report.txt" >"$work/callers.log" 2>&1 &
callers=$!
fleet_pids+=("$callers")

sleep $((seconds / 2))
killed_host="${data_centres[1 % ${#data_centres[@]}]}-2"
if [ "$hosts" -gt 1 ]; then
  echo "demo: killing host $killed_host"
  kill_host "$killed_host"
  sleep 1
  fabric_remove "${host_address[$killed_host]}"
  unregister_host "$killed_host"
fi
added_host="${data_centres[hosts % ${#data_centres[@]}]}-$((hosts + 1))"
echo "demo: starting host $added_host"
start_host "$added_host" "$net.1.$((hosts + 1))"
wait_for 20 is_ready "${host_address[$added_host]}" || fail "$added_host did not become ready"
fabric_add "${host_address[$added_host]}"

wait "$callers"
callers_status=$?
echo "--- callers"
cat "$work/report.txt"
echo "--- refusals and retries by reason, all running hosts"
sum_metrics 'galenabay_(refusals|retries|flow_drops)_total' "${host_address[@]}"
echo "--- records of holds"
"$bin/caller_load" --check-records "$work/holds.txt" "$work/runs-1.txt,$work/runs-2.txt" 2>"$work/record-violations.txt"
records_status=$?
cat "$work/record-violations.txt"
[ "$callers_status" -eq 0 ] || { grep -a '^violation=' "$work/callers.log" | head -20; fail "an answer was wrong or a feed broke"; }
[ "$records_status" -eq 0 ] || fail "the records of holds contradict each other"
stop_fleet
trap - EXIT
rm -rf "$work"
echo "demo passed"
