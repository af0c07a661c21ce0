#!/usr/bin/env bash
# Runs clang-tidy in parallel over the project's own sources. A file is checked
# again only when it, a project header that it includes, or .clang-tidy changed.
# Needs an up-to-date build, whose dependency log lists what each file includes.
#
#   scripts/lint.sh BUILD JOBS
set -euo pipefail
build=$1
jobs=$2
cache=$build/lint
mkdir -p "$cache"
root=$PWD

# One line per compiled file: its path, then the project headers it includes.
ninja -C "$build" -t deps | awk -v root="$root/" '
  /^[^ ].*: #deps/ { if (line != "") print line; line = ""; next }
  /^ / {
    path = $1
    sub(/^\.\.\/\.\.\//, root, path)
    if (index(path, root) == 1) {
      path = substr(path, length(root) + 1)
      if (path !~ /^generated\//) line = (line == "" ? path : line " " path)
    }
  }
  END { if (line != "") print line }' | sort -u >"$cache/dependencies"

lint_one() {
  local build=$1 cache=$2 file=$3 headers stamp
  headers=$(awk -v file="$file" '$1 == file { print; exit }' "$cache/dependencies")
  stamp=$cache/$(cat .clang-tidy ${headers:-$file} | sha256sum | cut -c1-24)
  [ -f "$stamp" ] && return 0
  clang-tidy --quiet -p "$build" "$file" 2>/dev/null && touch "$stamp"
}
export -f lint_one
git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'daemons/*.cpp' 'tools/*.cpp' 'bench/*.cpp' |
  xargs -P "$jobs" -I{} bash -c 'lint_one "$@"' _ "$build" "$cache" {}
echo "lint clean"
