#!/usr/bin/env bash
# Installs the Debian packages that the build needs; does nothing when all are installed.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libpoco-dev libcapnp-dev capnproto prometheus-cpp-dev libeasyloggingpp-dev
  libcpputest-dev libyaml-cpp-dev libboost-dev libboost-program-options-dev
  libcoap3-dev libxxhash-dev libssl-dev rapidjson-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q '^install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update >/dev/null
DEBIAN_FRONTEND=noninteractive apt-get install -y "${missing[@]}" >/dev/null
