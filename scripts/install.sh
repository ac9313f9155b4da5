#!/usr/bin/env bash
# Installs the Debian packages that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < <(grep -v '^#' packages.txt)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" 2>/dev/null | grep -q '^Status: install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
"${sudo[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
