#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, and the programs that the scripts run, to
# target/review.test. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review.test ./review/standin
