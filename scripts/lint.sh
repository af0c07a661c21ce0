#!/usr/bin/env bash
# Runs clang-tidy in parallel over the project's own sources. A file is checked
# again only when its preprocessed text or the checks have changed.
set -euo pipefail
build=$1
jobs=$2
cache=$build/lint
mkdir -p "$cache"

lint_one() {
  local build=$1 cache=$2 file=$3
  local stamp
  stamp=$cache/$(cat "$file" .clang-tidy $(git ls-files -co --exclude-standard 'include/*.hpp' 'src/*.hpp' 'tools/*.hpp' 'bench/*.hpp') | sha256sum | cut -c1-24)
  [ -f "$stamp" ] && return 0
  clang-tidy --quiet -p "$build" "$file" 2>/dev/null && touch "$stamp"
}
export -f lint_one
git ls-files -co --exclude-standard 'src/*.cpp' 'daemons/*.cpp' 'tools/*.cpp' 'bench/*.cpp' |
  xargs -P "$jobs" -I{} bash -c 'lint_one "$@"' _ "$build" "$cache" {}
echo "lint clean"
