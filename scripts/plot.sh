#!/usr/bin/env bash
# Draws broken flows, imbalance, goodput and p99 latency as SVG bar charts.
#
#   scripts/plot.sh BIN BENCH_OUTPUT FOLDER
#
# BENCH_OUTPUT holds the output of run_benches.sh. The comparison of dispatch
# algorithms comes from bench_dispatch --table.
set -euo pipefail
bin=$1
bench_output=$2
folder=$3
mkdir -p "$folder"
table=$(mktemp)
trap 'rm -f "$table"' EXIT
"$bin/bench_dispatch" --table >"$table" || true

# draw TITLE: reads "NAME VALUE" lines and writes a bar chart.
draw() {
  awk -v title="$1" '
    { name[NR] = $1; value[NR] = $2; if ($2 > most) most = $2 }
    END {
      if (most == 0) most = 1
      height = 60 + NR * 28
      printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" height=\"%d\" font-family=\"sans-serif\" font-size=\"13\">\n", height
      printf "<rect width=\"640\" height=\"%d\" fill=\"white\"/>\n<text x=\"10\" y=\"24\" font-size=\"16\">%s</text>\n", height, title
      for (i = 1; i <= NR; ++i) {
        y = 40 + (i - 1) * 28
        printf "<text x=\"10\" y=\"%d\">%s</text>\n", y + 15, name[i]
        printf "<rect x=\"230\" y=\"%d\" width=\"%.1f\" height=\"20\" fill=\"#4477aa\"/>\n", y, value[i] / most * 320
        printf "<text x=\"%.1f\" y=\"%d\">%s</text>\n", 236 + value[i] / most * 320, y + 15, value[i]
      }
      print "</svg>"
    }'
}

# dispatch_column LOAD COLUMN: prints name and one column of the dispatch table's rows
# at one load. Columns: NAME LOAD p50 p99 imbalance goodput ...
dispatch_column() { awk -v load="$1" -v column="$2" '$2 == load { print $1, $column }' "$table"; }

grep -E '^flow_broken_' "$bench_output" | awk '{ sub("flow_broken_", "", $1); print $1, $2 }' |
  draw "Broken flows of 200,000 per planned change" >"$folder/broken_flows.svg"
dispatch_column 0.80 5 | draw "Imbalance: max/mean busy time at 80% load" >"$folder/imbalance.svg"
dispatch_column 4x 6 | draw "Goodput over slot capacity at a 4x crest" >"$folder/crest.svg"
dispatch_column 0.80 4 | draw "p99 of short work at 80% load, ms" >"$folder/head_of_line.svg"
