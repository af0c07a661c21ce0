#!/usr/bin/env bash
# Measures datagrams per second through one host: starts a platform stub and a
# host on loopback, applies one datagram service and runs bench_relay against it.
#
#   scripts/bench_relay.sh BIN
set -euo pipefail
bin=$1
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

cat >"$work/hosts.yaml" <<'Y'
- {name: relay-1, data_centre: bench, control: "127.0.3.1:7100", relay: "127.0.3.1:7101", health: "127.0.3.1:7103"}
Y
cat >"$work/host.yaml" <<'Y'
name: relay-1
data_centre: bench
address: 127.0.3.1
platform: 127.0.3.9:7000
Y
cat >"$work/set.yaml" <<'Y'
name: relay
services:
  - name: relay
    kind: datagram
    address: 192.0.2.20
    port: 5690
    upstreams:
      - {name: sink, address: 127.0.3.3, port: 9100, data_centre: bench}
Y
"$bin/platform_stub" --listen 127.0.3.9:7000 --hosts "$work/hosts.yaml" >"$work/platform.log" 2>&1 &
pids+=($!)
"$bin/galena_balancerd" --config "$work/host.yaml" >"$work/host.log" 2>&1 &
pids+=($!)
for _ in $(seq 50); do
  if "$bin/galenactl" --platform 127.0.3.9:7000 apply --wait --timeout 10 "$work/set.yaml" >"$work/apply.log" 2>&1; then
    break
  fi
  sleep 0.1
done
"$bin/bench_relay" --host 127.0.3.1:5690 --upstream 127.0.3.3:9100
