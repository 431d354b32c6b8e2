#!/usr/bin/env bash
# The test command: every package's tests, and each benchmark once as a
# smoke run (no timing is asserted).
set -euo pipefail
cd "$(dirname "$0")/.."
go test -count=1 ./...
go test -count=1 -run '^$' -bench . -benchtime=1x ./... >/dev/null
