# Functions to run a fleet on loopback; sourced by demo.sh and soak.sh, which set
# `bin` (the directory of the programs), `work` (an empty directory) and `net` (the
# first two octets of the loopback addresses, 127.0 in the examples).

declare -A host_pid=() host_address=()
fleet_pids=()

# run_program LOG PROGRAM ARGUMENT...: starts a program and sets `started` to its
# process id.
run_program() {
  local log=$1
  shift
  "$@" >>"$log" 2>&1 &
  started=$!
  fleet_pids+=("$started")
}

# stop_fleet: resumes and terminates every process in `fleet_pids` and waits for it.
stop_fleet() {
  local pid
  for pid in "${fleet_pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill "$pid" 2>/dev/null
  done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null; done
  fleet_pids=()
}

# http_get ADDRESS PORT PATH: prints headers and body of the response.
http_get() {
  (
    exec 3<>"/dev/tcp/$1/$2" || exit 1
    printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$3" "$1" >&3
    timeout 2 cat <&3
  ) 2>/dev/null
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds; returns 1 after
# SECONDS.
wait_for() {
  local end=$(($(date +%s) + $1))
  shift
  until "$@"; do
    [ "$(date +%s)" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# is_ready ADDRESS: succeeds when the host at this address reports that it is ready.
is_ready() { http_get "$1" 7103 /readyz | head -1 | grep -q ' 200 '; }

# start_platform [ARGUMENT...]: starts the platform stub with an empty list of hosts.
start_platform() {
  platform=$net.0.1:7000
  echo '[]' >"$work/hosts.yaml"
  run_program "$work/platform.log" "$bin/platform_stub" --listen "$platform" --hosts "$work/hosts.yaml" "$@"
  platform_pid=$started
  wait_for 10 http_get "$net.0.1" 7000 /v1/stats >/dev/null
}

# write_fleet_files: writes the platform's list of hosts and makes the platform stub
# reload it.
write_fleet_files() {
  local name
  for name in "${!host_address[@]}"; do
    local address=${host_address[$name]}
    printf -- '- {name: %s, data_centre: %s, control: "%s:7100", relay: "%s:7101", health: "%s:7103"}\n' \
      "$name" "${name%-*}" "$address" "$address" "$address"
  done >"$work/hosts.next"
  [ -s "$work/hosts.next" ] || echo '[]' >"$work/hosts.next"
  mv "$work/hosts.next" "$work/hosts.yaml"
  kill -HUP "$platform_pid"
}

# fabric_add ADDRESS, fabric_remove ADDRESS: change the list of hosts to which
# callers send; callers reload this file.
fabric_add() { echo "$1" >>"$work/fabric"; }
fabric_remove() {
  grep -vxF "$1" "$work/fabric" >"$work/fabric.next"
  mv "$work/fabric.next" "$work/fabric"
}

# start_host NAME ADDRESS: starts a host and adds it to the platform's list. NAME is
# DATA_CENTRE-NUMBER.
start_host() {
  local name=$1 address=$2
  cat >"$work/$name.yaml" <<Y
name: $name
data_centre: ${name%-*}
address: $address
platform: $platform
test: {drop_peers_file: "$work/$name.cut"}
Y
  : >"$work/$name.cut"
  run_program "$work/$name.log" "$bin/galena_balancerd" --config "$work/$name.yaml"
  host_pid[$name]=$started
  host_address[$name]=$address
  write_fleet_files
}

# kill_host NAME: kills the process with SIGKILL. The host stays on the platform's
# and the fabric's list.
kill_host() {
  kill -9 "${host_pid[$1]}"
  wait "${host_pid[$1]}" 2>/dev/null
}

# unregister_host NAME: removes the host from the platform's list.
unregister_host() {
  unset "host_address[$1]" "host_pid[$1]"
  write_fleet_files
}

# site_field FILE KEY: prints every value of a key, in the order of the file.
site_field() { sed -nE "s/^ +(- )?$2: *([^ #{]+).*/\2/p" "$1"; }

# site_data_centres FILE: prints each data centre once.
site_data_centres() { grep -oE 'data_centre: [a-z0-9-]+' "$1" | sed 's/.*: //' | awk '!seen[$0]++'; }

# sum_metrics NAME_PATTERN ADDRESS...: prints the sum of each counter over the
# hosts; leaves out sums of 0.
sum_metrics() {
  local pattern=$1 address
  shift
  for address in "$@"; do http_get "$address" 7103 /metrics; done |
    grep -aE "^($pattern)[{ ]" | tr -d '\r' |
    awk '{sum[$1] += $2} END {for (name in sum) if (sum[name] > 0) print name "=" sum[name]}' | sort
}
