#!/usr/bin/env bash
# Starts a small site of separate processes on loopback with the embedded
# default settings, drives it for a bounded time, prints the summary and
# stops every process it started, by pid. An optional argument names a load
# plan (for example scripts/plans/faults.json); the embedded plan otherwise.
set -euo pipefail
plan=${1:+$(realpath "$1")}
cd "$(dirname "$0")/.."
dir=$(mktemp -d "${TMPDIR:-/tmp}/currantford-demo.XXXXXX")
bin="$dir/currantford"
go build -o "$bin" ./cmd/currantford
pids=()
groups=()
start() {
  local name=$1
  shift
  "$bin" "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
}
# mark ends a group of processes; groups stop in reverse order, each group
# waited for before the next, so that entries drain while the platform and
# the engines still answer.
mark() { groups+=("${pids[*]}"); pids=(); }
stop_all() {
  mark
  local i p
  for ((i = ${#groups[@]} - 1; i >= 0; i--)); do
    for p in ${groups[i]}; do kill -TERM "$p" 2>/dev/null || true; done
    for p in ${groups[i]}; do wait "$p" 2>/dev/null || true; done
  done
}
trap stop_all EXIT

start platform standin platform
mark
sleep 0.3
start scorer standin scorer
start bids standin service --name bids
start logs standin service --name logs
for e in forecast-1 forecast-2 forecast-3 log-1; do
  start "$e" standin engine --id "$e"
done
mark
for e in entry-1 entry-2 entry-3; do
  start "$e" entry --id "$e"
done
mark
start trainer standin trainer --name spoilage --report "$dir/trainer.json"

# A process that could not start (a port already taken, say) ends the demo
# here, with its log, instead of skewing the figures.
sleep 0.5
for p in ${groups[*]} ${pids[*]}; do
  if ! kill -0 "$p" 2>/dev/null; then
    echo "demo: a process exited at start; logs in $dir:" >&2
    grep -h '"level":"error"\|^currantford:' "$dir"/*.log "$dir"/*.out >&2 || true
    exit 1
  fi
done

"$bin" load ${plan:+--plan "$plan"} --journal "$dir/journal.jsonl" --trainer-report "$dir/trainer.json" \
  --logs "$dir/entry-*.log" >"$dir/summary.json"
cat "$dir/summary.json"
echo "logs, journal and summary: $dir"
