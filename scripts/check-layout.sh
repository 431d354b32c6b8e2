#!/usr/bin/env bash
# Fails if a package imports another one that the rules for its folder forbid.
# Imports of tests are not checked. core/ uses no sockets, files, clock, logger or
# metrics. core/ and io/ import neither the platform adapter nor a stand-in. Only
# the packages that assemble the programs import both. net/ is below all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
check() { # FOLDER FORBIDDEN_IMPORTS_REGEXP
  go list -f '{{$p := .ImportPath}}{{range .Imports}}{{$p}} {{.}}{{"\n"}}{{end}}' "./$1/..." |
    grep -v '^currantford/platform/standin ' | grep -E " ($2)\$" || true
}
found=$(
  check core 'net|net/.*|os|os/.*|syscall|time|log|log/.*|go\.uber\.org/zap.*|github\.com/prometheus/.*|currantford/(io|platform|older|testbed|nodecommands)(/.*)?'
  check io 'currantford/(platform|older|testbed|nodecommands)(/.*)?'
  check net 'currantford/(core|io|platform|older|testbed|nodecommands)(/.*)?'
  check platform 'currantford/(io|older|testbed|nodecommands|platform/standin)(/.*)?'
  check older 'currantford/(core|io|platform|nodecommands)(/.*)?' | grep -vE ' currantford/io/(cfpeer|cflog)$' || true
)
if [ -n "$found" ]; then
  echo "imports that are forbidden in their folders:" >&2
  echo "$found" >&2
  exit 1
fi
