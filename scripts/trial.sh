#!/usr/bin/env bash
# Compares two policies. Starts two groups of three entry processes on loopback,
# one group per policy, and applies the same load and the same faults to both, for
# each seed of the plan. Writes OUT/report.html and OUT/report.json, prints a summary
# of each group and keeps the logs of the entry processes in OUT. Stops each process
# by its pid.
#
#   scripts/trial.sh [PLAN] [POLICY_B_JSON] [OUT]
set -euo pipefail
cd "$(dirname "$0")/.."
plan=${1:-scripts/plans/slow-engine.json}
policy_b=${2:-'{"keep_slow_runs": true}'}
out=${3:-target/trial}
mkdir -p "$out"
go build -o target/currantford ./cmd/currantford
go build -o target/currantford-node ./cmd/currantford-node
pids=()
stop() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait
}
trap stop EXIT
groups=()
start_group() { # NAME FIRST_PORT POLICY_JSON
  local name=$1 port=$2 policy=$3 entries=()
  local store=127.0.0.1:$port
  for i in 1 2 3; do
    local base=$((port + 10 * i))
    cat >"$out/$name-$i.json" <<JSON
{ "entry": "$name-$i", "failure_domain": "domain-a",
  "listen": { "callers": "127.0.0.1:$base", "ready": "127.0.0.1:$((base + 1))", "directory": "127.0.0.1:$((base + 2))",
              "peers": "127.0.0.1:$((base + 3))", "metrics": "127.0.0.1:$((base + 4))" },
  "store": { "addr": "$store", "value_bytes": 1048576 },
  "bounds": { "grace_s": 3, "lease_ms": 3000, "keep_results_s": 120 },
  "memory": { "limit_mb": 200 },
  "policy": $policy }
JSON
    target/currantford-node entry --settings "$out/$name-$i.json" >"$out/$name-$i.log" 2>&1 &
    pids+=($!)
    entries+=("127.0.0.1:$base")
  done
  groups+=(--group "$name=$store=$(IFS=,; echo "${entries[*]}")")
}
start_group now 22100 '{}'
start_group other 22200 "$policy_b"
target/currantford trial --plan "$plan" "${groups[@]}" --html "$out/report.html" --json "$out/report.json" 2>"$out/trial.log"
echo "report: $out/report.html"
