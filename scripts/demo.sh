#!/usr/bin/env bash
# Starts a small deployment of separate processes on loopback with the embedded
# default settings, applies a load for a limited time, prints the summary and
# stops each process that it started, by pid. The optional argument is a load
# plan, such as scripts/plans/faults.json; the default is the embedded plan.
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
# mark closes the current group of processes. Groups are stopped in reverse order,
# each after the previous one has exited, so that the entry processes drain while
# the platform and the engines are still running.
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

# If a process failed to start, for example because its port is in use, prints its
# errors and exits. The results would be wrong without it.
sleep 0.5
for p in ${groups[*]} ${pids[*]}; do
  if ! kill -0 "$p" 2>/dev/null; then
    echo "demo: a process exited at startup; its errors (logs are in $dir):" >&2
    grep -h '"level":"error"\|^currantford:' "$dir"/*.log "$dir"/*.out >&2 || true
    exit 1
  fi
done

"$bin" load ${plan:+--plan "$plan"} --journal "$dir/journal.jsonl" --trainer-report "$dir/trainer.json" \
  --logs "$dir/entry-*.log" >"$dir/summary.json"
cat "$dir/summary.json"
echo "logs, journal and summary: $dir"
