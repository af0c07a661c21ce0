#!/usr/bin/env bash
# Generates the C++ code for the Cap'n Proto schemas into generated/.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile --src-prefix=schema -I/usr/include -oc++:generated schema/*.capnp
for file in generated/*.capnp.c++; do
  mv "$file" "${file%.c++}.cpp"
done
