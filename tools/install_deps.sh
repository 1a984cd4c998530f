#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need; does nothing when all are present.
set -euo pipefail
packages="g++ cmake make pkg-config git clang-format clang-tidy ccache ninja-build libpoco-dev libwebsocketpp-dev
  libboost-dev libboost-system-dev libgflags-dev libspdlog-dev libcriterion-dev libyaml-cpp-dev nlohmann-json3-dev
  librapidcheck-dev libssl-dev libxxhash-dev"
# shellcheck disable=SC2086
if dpkg-query -W -f='${Status}\n' $packages 2>/dev/null | grep -c 'install ok installed' | grep -qx "$(echo $packages | wc -w)"; then
    exit 0
fi
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
# shellcheck disable=SC2086
$sudo apt-get install -y -qq --no-install-recommends $packages
