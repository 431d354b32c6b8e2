#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/5 to review/8 start, as target/review-cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-cases ./review/cases
