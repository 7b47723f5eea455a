#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the demo need.
# Does nothing when all of them are installed, so that it is cheap to repeat.
set -euo pipefail

PACKAGES=(
  g++ cmake make ninja-build ccache git python3 curl
  libboost1.81-dev libnghttp2-dev prometheus-cpp-dev libcli11-dev
  libeasyloggingpp-dev cpputest libcpputest-dev
  protobuf-compiler libprotobuf-dev libssl-dev libtomlplusplus-dev libxxhash-dev libpcg-cpp-dev
  libbenchmark-dev spin valgrind
  clang-format clang-tidy
)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
