#!/usr/bin/env bash
# Writes a copy of a deployment's site file in which all instances that serve callers
# (class "front") have the size of the weakest one. Trials with this file show whether
# the deployment depends on its strong instances.
#
#   bash scripts/weak-site.sh SITE.toml OUT.toml
set -euo pipefail
site=$1 out=$2
weakest=$(grep -E '^  \{ class = "front"' "$site" |
  grep -oE 'cpu_share = [0-9.]+, cores = [0-9.]+, memory_mb = [0-9]+, fds = [0-9]+, link_mbps = [0-9.]+' |
  sort -t= -k2 -g | head -n 1)
sed -E "/^  \{ class = \"front\"/s/cpu_share = [0-9.]+, cores = [0-9.]+, memory_mb = [0-9]+, fds = [0-9]+, link_mbps = [0-9.]+/$weakest/" \
  "$site" >"$out"
