#!/usr/bin/env bash
# Runs the benchmarks whose figures docs/CAPACITY.md uses and prints the values
# calculated from them for the target size, one "NAME VALUE LIMIT" per line; a
# LIMIT of "-" means that there is none.
#
#   scripts/capacity.sh BIN
set -euo pipefail
bin=$1
figures=$(mktemp)
trap 'rm -f "$figures"' EXIT
for bench in bench_flow bench_dispatch bench_revision bench_control; do
  "$bin/$bench" | tee -a "$figures" | grep -E '^[a-z_0-9]+ ' || true
done
echo "--- worked out for the target size"
awk '
  { value[$1] = $2 }
  END {
    nodes = 3900; flows = 53e6; new_flows = 360000; changes = 7400; day = 86400
    addresses = 4100; data_centres = 8
    flows_per_node = flows / nodes
    new_per_node = new_flows / nodes
    changes_per_second = changes / day
    printf "flows_per_node %.0f -\n", flows_per_node
    printf "flow_table_mb_per_node %.3f 128\n", flows_per_node * value["flow_bytes_per_flow"] / 1e6
    printf "new_flows_per_second_per_node %.1f -\n", new_per_node
    printf "steering_cpu_percent_for_new_flows %.5f 1\n", new_per_node * value["flow_decision_ns_1000000"] / 1e7
    steering_cpu = value["flow_revision_cpu_ms_21000_targets"] * changes_per_second / 10
    adoption_cpu = value["revision_cpu_ms_per_change_from_peer"] * changes_per_second / 10
    printf "revision_steering_cpu_percent %.3f 1\n", steering_cpu
    printf "revision_adoption_cpu_percent %.3f 1\n", adoption_cpu
    printf "revision_total_cpu_percent %.3f 1\n", steering_cpu + adoption_cpu
    per_peer = value["control_idle_bytes_per_second_per_peer"]
    printf "full_mesh_heartbeat_bytes_per_second %.0f 22000\n", (nodes - 1) * per_peer
    printf "peers_within_22_kb_per_second %.0f -\n", 22000 / per_peer
    printf "peers_beside_revision_bytes %.0f -\n", \
      (22000 - value["revision_bytes_without_heartbeats_per_host_second_3900_worked_out"]) / per_peer
    printf "seconds_in_force %.2f 11\n", value["revision_seconds_in_force_3900_worked_out"]
    printf "platform_reads_per_second %.1f 2000\n", value["revision_platform_reads_per_second_3900_worked_out"]
    printf "platform_writes_per_second %.1f 300\n", value["revision_platform_writes_per_second_3900_worked_out"]
    printf "services_decided_per_node %.2f -\n", addresses * data_centres / nodes
    printf "requests_decided_per_second_per_core %.0f -\n", 1e9 / value["dispatch_ns_per_decision"]
  }' "$figures"
